#include "cluster/transport/message_validation.h"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace rookproxy::cluster::transport {

namespace {

constexpr std::uint8_t kMaxPercent = 100;

std::optional<DropReason> find_zone_fault(const std::vector<ZonePlan>& zones) {
  for (auto zone = zones.begin(); zone != zones.end(); ++zone) {
    if (zone->share > kMaxPercent || zone->state > ZoneState::kReturning) return DropReason::kOutOfRange;
    const auto is_same = [&](const ZonePlan& earlier) { return earlier.zone == zone->zone; };
    if (std::any_of(zones.begin(), zone, is_same)) return DropReason::kDuplicateEntry;
  }
  return std::nullopt;
}

std::optional<DropReason> find_retirement_fault(const std::vector<RetirementPlan>& retirements) {
  for (auto retirement = retirements.begin(); retirement != retirements.end(); ++retirement) {
    const bool is_known_state = retirement->state <= RetirementState::kStopped;
    if (retirement->weight > kMaxPercent || !is_known_state) return DropReason::kOutOfRange;
    const auto is_same = [&](const RetirementPlan& earlier) { return earlier.site == retirement->site; };
    if (std::any_of(retirements.begin(), retirement, is_same)) return DropReason::kDuplicateEntry;
  }
  return std::nullopt;
}

std::optional<DropReason> find_plan_fault(const ClusterConfig& plan) {
  if (!is_within_limits(plan)) return DropReason::kTooManyEntries;
  if (const auto reason = find_zone_fault(plan.zones)) return reason;
  return find_retirement_fault(plan.retirements);
}

}  // namespace

std::optional<DropReason> MessageValidator::find_fault(MemberId member) const {
  if (member >= member_count_) return DropReason::kUnknownMember;
  return std::nullopt;
}

std::optional<DropReason> MessageValidator::find_fault(const GossipUpdate& update) const {
  if (const auto reason = find_fault(update.member)) return reason;
  if (update.state > MemberState::kFailed) return DropReason::kOutOfRange;
  return std::nullopt;
}

std::optional<DropReason> MessageValidator::operator()(const PingRequest& message) const {
  return find_fault(message.target);
}

std::optional<DropReason> MessageValidator::operator()(const Ack& message) const {
  return find_fault(message.target);
}

std::optional<DropReason> MessageValidator::operator()(const Prepare& message) const {
  return find_fault(message.ballot.member);
}

std::optional<DropReason> MessageValidator::operator()(const Promise& message) const {
  if (const auto reason = find_fault(message.ballot.member)) return reason;
  if (message.accepted.has_value() != message.plan.has_value()) return DropReason::kMalformed;
  if (!message.accepted) return std::nullopt;
  if (const auto reason = find_fault(message.accepted->member)) return reason;
  return find_plan_fault(*message.plan);
}

std::optional<DropReason> MessageValidator::operator()(const Nack& message) const {
  return find_fault(message.promised.member);
}

std::optional<DropReason> MessageValidator::operator()(const Accept& message) const {
  if (const auto reason = find_fault(message.ballot.member)) return reason;
  return find_plan_fault(message.plan);
}

std::optional<DropReason> MessageValidator::operator()(const Accepted& message) const {
  return find_fault(message.ballot.member);
}

std::optional<DropReason> MessageValidator::operator()(const Chosen& message) const {
  return find_plan_fault(message.plan);
}

}  // namespace rookproxy::cluster::transport
