#include "cluster/transport/plan_packing.h"

#include <algorithm>
#include <chrono>
#include <limits>

namespace rookproxy::cluster::transport {

namespace {

using std::chrono::milliseconds;

constexpr unsigned kTimeBits = 39;  // 17 years in milliseconds.
constexpr std::uint64_t kMaxTimeOffset = (std::uint64_t{1} << kTimeBits) - 1;
constexpr std::uint64_t kMaxBaseTime = std::uint64_t{1} << 43;  // Milliseconds; the year 2248.
constexpr std::uint64_t kNoTime = std::numeric_limits<std::uint64_t>::max();

// The layout of a zone's number, from the lowest bit: state, share, step, zone, time. The time has the
// highest bits, so that small time offsets result in small numbers.
constexpr unsigned kZoneShareShift = 2;
constexpr unsigned kZoneStepShift = 9;
constexpr unsigned kZoneIdShift = 17;
constexpr unsigned kZoneTimeShift = 25;
constexpr std::uint64_t kZoneStateMask = 0x3;

// The layout of a retirement's first number, from the lowest bit: state, weight, site, time.
constexpr unsigned kRetirementWeightShift = 3;
constexpr unsigned kRetirementSiteShift = 10;
constexpr unsigned kRetirementTimeShift = 18;
constexpr std::uint64_t kRetirementStateMask = 0x7;

constexpr std::uint64_t kPercentMask = 0x7f;

// Converts a time to Unix milliseconds; nothing if it is not a whole number of them or is out of range.
std::optional<std::uint64_t> to_milliseconds(Time time) {
  const auto micros = time.time_since_epoch().count();
  if (micros < 0 || micros % 1000 != 0) return std::nullopt;
  const std::uint64_t millis = static_cast<std::uint64_t>(micros) / 1000;
  if (millis > kMaxBaseTime) return std::nullopt;
  return millis;
}

std::vector<Time> times_of(const ClusterConfig& plan) {
  std::vector<Time> times;
  for (const ZonePlan& zone : plan.zones) times.push_back(zone.since);
  for (const RetirementPlan& retirement : plan.retirements) times.push_back(retirement.since);
  return times;
}

// The earliest time that is set, in Unix milliseconds; 0 if no time is set, nothing if a time is invalid.
std::optional<std::uint64_t> earliest_time(const ClusterConfig& plan) {
  std::uint64_t earliest = kNoTime;
  for (const Time time : times_of(plan)) {
    if (time == Time{}) continue;
    const auto millis = to_milliseconds(time);
    if (!millis) return std::nullopt;
    earliest = std::min(earliest, *millis);
  }
  return earliest == kNoTime ? 0 : earliest;
}

bool are_offsets_representable(const ClusterConfig& plan, std::uint64_t base_time) {
  const std::vector<Time> times = times_of(plan);
  return std::all_of(times.begin(), times.end(), [base_time](Time time) {
    return time == Time{} || *to_milliseconds(time) - base_time + 1 <= kMaxTimeOffset;
  });
}

std::uint64_t to_offset(Time time, std::uint64_t base_time) {
  return time == Time{} ? 0 : *to_milliseconds(time) - base_time + 1;
}

std::uint64_t pack_zone(const ZonePlan& zone, std::uint64_t base_time) {
  return to_offset(zone.since, base_time) << kZoneTimeShift | std::uint64_t{zone.zone} << kZoneIdShift |
         std::uint64_t{zone.step} << kZoneStepShift | std::uint64_t{zone.share} << kZoneShareShift |
         static_cast<std::uint64_t>(zone.state);
}

std::uint64_t pack_retirement(const RetirementPlan& retirement, std::uint64_t base_time) {
  return to_offset(retirement.since, base_time) << kRetirementTimeShift |
         std::uint64_t{retirement.site} << kRetirementSiteShift |
         std::uint64_t{retirement.weight} << kRetirementWeightShift |
         static_cast<std::uint64_t>(retirement.state);
}

// Converts an offset to a time; nothing if the offset is too large.
std::optional<Time> to_time(std::uint64_t offset, std::uint64_t base_time) {
  if (offset > kMaxTimeOffset) return std::nullopt;
  if (offset == 0) return Time{};
  return Time(milliseconds(base_time + offset - 1));
}

std::optional<DropReason> unpack_zone(std::uint64_t bits, std::uint64_t base_time, ClusterConfig& plan) {
  const auto since = to_time(bits >> kZoneTimeShift, base_time);
  if (!since) return DropReason::kInvalidTime;
  ZonePlan zone;
  zone.zone = static_cast<std::uint8_t>(bits >> kZoneIdShift);
  zone.step = static_cast<std::uint8_t>(bits >> kZoneStepShift);
  zone.share = static_cast<std::uint8_t>(bits >> kZoneShareShift & kPercentMask);
  zone.state = static_cast<ZoneState>(bits & kZoneStateMask);
  zone.since = *since;
  plan.zones.push_back(zone);
  return std::nullopt;
}

std::optional<DropReason> unpack_retirement(std::uint64_t bits, std::uint64_t order, std::uint64_t base_time,
                                            ClusterConfig& plan) {
  if (order > std::numeric_limits<std::uint32_t>::max()) return DropReason::kOutOfRange;
  const auto since = to_time(bits >> kRetirementTimeShift, base_time);
  if (!since) return DropReason::kInvalidTime;
  RetirementPlan retirement;
  retirement.site = static_cast<std::uint8_t>(bits >> kRetirementSiteShift);
  retirement.weight = static_cast<std::uint8_t>(bits >> kRetirementWeightShift & kPercentMask);
  retirement.state = static_cast<RetirementState>(bits & kRetirementStateMask);
  retirement.order = static_cast<std::uint32_t>(order);
  retirement.since = *since;
  plan.retirements.push_back(retirement);
  return std::nullopt;
}

}  // namespace

std::variant<PackedPlan, DropReason> pack(const ClusterConfig& plan) {
  const auto base_time = earliest_time(plan);
  if (!base_time || !are_offsets_representable(plan, *base_time)) return DropReason::kInvalidTime;
  PackedPlan packed;
  packed.base_time = *base_time;
  for (const ZonePlan& zone : plan.zones) packed.zones.push_back(pack_zone(zone, *base_time));
  for (const RetirementPlan& retirement : plan.retirements) {
    packed.retirements.push_back(pack_retirement(retirement, *base_time));
    packed.retirements.push_back(retirement.order);
  }
  return packed;
}

std::optional<DropReason> unpack(const PackedPlan& packed, ClusterConfig& plan) {
  if (packed.base_time > kMaxBaseTime) return DropReason::kInvalidTime;
  if (packed.zones.size() > kMaxZones || packed.retirements.size() > 2 * kMaxRetirements) {
    return DropReason::kTooManyEntries;
  }
  if (packed.retirements.size() % 2 != 0) return DropReason::kMalformed;
  for (const std::uint64_t bits : packed.zones) {
    if (const auto reason = unpack_zone(bits, packed.base_time, plan)) return reason;
  }
  for (std::size_t i = 0; i < packed.retirements.size(); i += 2) {
    const std::uint64_t bits = packed.retirements[i];
    const std::uint64_t order = packed.retirements[i + 1];
    if (const auto reason = unpack_retirement(bits, order, packed.base_time, plan)) return reason;
  }
  return std::nullopt;
}

}  // namespace rookproxy::cluster::transport
