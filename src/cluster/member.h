// Identity and liveness of the members of a cluster.
#pragma once

#include <cstddef>
#include <cstdint>

namespace rookproxy::cluster {

// A dispatcher's position, from 0, in the configured list of members. The list is the same at every member.
using MemberId = std::uint16_t;

// The largest cluster that can be configured; a longer list of members is a settings error.
inline constexpr std::size_t kMaxMembers = 1024;

// SWIM's incarnation number of one process: the microseconds since the epoch at its start, plus one for each
// suspicion that it has refuted. A restarted process therefore outranks its predecessor without stable
// storage. (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
// Protocol", 2002.)
using Incarnation = std::uint64_t;

// What one member believes about another.
enum class MemberState : std::uint8_t { kAlive = 0, kSuspect = 1, kFailed = 2 };

// One piggybacked membership update: what the sender believes about `member`.
struct GossipUpdate {
  MemberId member = 0;
  Incarnation incarnation = 0;
  MemberState state = MemberState::kAlive;
  bool operator==(const GossipUpdate&) const = default;
};

}  // namespace rookproxy::cluster
