#include "cluster/transport/message_validation.h"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace rookproxy::cluster::transport {

namespace {

constexpr std::uint8_t kMaxPercent = 100;

std::optional<DropReason> validate_zones(const std::vector<ZonePlan>& zones) {
  for (auto zone = zones.begin(); zone != zones.end(); ++zone) {
    if (zone->share > kMaxPercent || zone->state > ZoneState::kReturning) return DropReason::kOutOfRange;
    const auto is_same = [&](const ZonePlan& earlier) { return earlier.zone == zone->zone; };
    if (std::any_of(zones.begin(), zone, is_same)) return DropReason::kDuplicateEntry;
  }
  return std::nullopt;
}

std::optional<DropReason> validate_retirements(const std::vector<RetirementPlan>& retirements) {
  for (auto retirement = retirements.begin(); retirement != retirements.end(); ++retirement) {
    const bool is_known_state = retirement->state <= RetirementState::kStopped;
    if (retirement->weight > kMaxPercent || !is_known_state) return DropReason::kOutOfRange;
    const auto is_same = [&](const RetirementPlan& earlier) { return earlier.site == retirement->site; };
    if (std::any_of(retirements.begin(), retirement, is_same)) return DropReason::kDuplicateEntry;
  }
  return std::nullopt;
}

std::optional<DropReason> validate_plan(const ClusterConfig& plan) {
  if (!is_within_limits(plan)) return DropReason::kTooManyEntries;
  if (const auto reason = validate_zones(plan.zones)) return reason;
  return validate_retirements(plan.retirements);
}

}  // namespace

std::optional<DropReason> MessageValidator::validate(MemberId member) const {
  if (member >= member_count_) return DropReason::kUnknownMember;
  return std::nullopt;
}

std::optional<DropReason> MessageValidator::validate(const GossipUpdate& update) const {
  if (const auto reason = validate(update.member)) return reason;
  if (update.state > MemberState::kFailed) return DropReason::kOutOfRange;
  return std::nullopt;
}

std::optional<DropReason> MessageValidator::operator()(const PingRequest& message) const {
  return validate(message.target);
}

std::optional<DropReason> MessageValidator::operator()(const Ack& message) const {
  return validate(message.target);
}

std::optional<DropReason> MessageValidator::operator()(const Prepare& message) const {
  return validate(message.ballot.member);
}

std::optional<DropReason> MessageValidator::operator()(const Promise& message) const {
  if (const auto reason = validate(message.ballot.member)) return reason;
  if (message.accepted.has_value() != message.plan.has_value()) return DropReason::kMalformed;
  if (!message.accepted) return std::nullopt;
  if (const auto reason = validate(message.accepted->member)) return reason;
  return validate_plan(*message.plan);
}

std::optional<DropReason> MessageValidator::operator()(const Nack& message) const {
  return validate(message.promised.member);
}

std::optional<DropReason> MessageValidator::operator()(const Accept& message) const {
  if (const auto reason = validate(message.ballot.member)) return reason;
  return validate_plan(message.plan);
}

std::optional<DropReason> MessageValidator::operator()(const Accepted& message) const {
  return validate(message.ballot.member);
}

std::optional<DropReason> MessageValidator::operator()(const Chosen& message) const {
  return validate_plan(message.plan);
}

}  // namespace rookproxy::cluster::transport
