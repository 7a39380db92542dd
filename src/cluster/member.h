// Identity and liveness of the members of a cluster.
#pragma once

#include <cstddef>
#include <cstdint>

namespace rookproxy::cluster {

// A dispatcher's position, from 0, in the configured list of members. The list is the same at every member.
using MemberId = std::uint16_t;

// The maximum number of members; a longer list is a settings error.
inline constexpr std::size_t kMaxMembers = 1024;

// SWIM's incarnation number of a process: the microseconds since the Unix epoch at its start, plus one for
// each suspicion that it has refuted. A restarted process therefore has a higher incarnation than its
// predecessor without stable storage. (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent
// Infection-style Process Group Membership Protocol", 2002.)
using Incarnation = std::uint64_t;

// The state of a member as another one considers it.
enum class MemberState : std::uint8_t { kAlive = 0, kSuspect = 1, kFailed = 2 };

// One piggybacked membership update: the state of `member` as the sender considers it.
struct GossipUpdate {
  MemberId member = 0;
  Incarnation incarnation = 0;
  MemberState state = MemberState::kAlive;
  bool operator==(const GossipUpdate&) const = default;
};

}  // namespace rookproxy::cluster
