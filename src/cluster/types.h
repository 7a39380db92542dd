// What the dispatchers of one fleet say to each other, as decisions see it: no wire, no socket, no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/time.h"

namespace rookproxy::cluster {

// A dispatcher's place in the configured list of all of them, which is the same list at each. From 0 up.
using MemberId = std::uint16_t;
constexpr std::size_t kMaxMembers = 1024;  // configured; more is a settings error

// Of one process: the microseconds of its start, then one more each time it refutes a suspicion. So a process
// that was started anew stands above its predecessor though no disk tells it of that one. SWIM (Das, Gupta,
// Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol", 2002).
using Incarnation = std::uint64_t;

enum class MemberState : std::uint8_t { kAlive = 0, kSuspect = 1, kFailed = 2 };

struct GossipUpdate {
  MemberId member = 0;
  Incarnation incarnation = 0;
  MemberState state = MemberState::kAlive;
  bool operator==(const GossipUpdate&) const = default;
};

// ---- the fleet plan: the one register that a majority changes --------------------------------------------

enum class ZoneState : std::uint8_t { kServing = 0, kStrained = 1, kAway = 2, kReturning = 3 };

// Zones and sites are known by their places in the operator's file; the plan carries its fingerprint, so that
// dispatchers with other files never read one another's numbers.
struct ZonePlan {
  std::uint8_t zone = 0;
  ZoneState state = ZoneState::kServing;
  std::uint8_t share = 100;  // percent of its usual traffic that it is given, 0 to 100
  std::uint8_t step = 0;     // of its return
  Time since{};              // start of this state or step, whole milliseconds
  bool operator==(const ZonePlan&) const = default;
};

enum class RetirementState : std::uint8_t {
  kMoving = 0,
  kPaused = 1,
  kCancelling = 2,
  kRetired = 3,
  kStopped = 4
};

struct RetirementPlan {
  std::uint8_t site = 0;
  RetirementState state = RetirementState::kMoving;
  std::uint8_t weight = 100;  // percent of its own, 0 to 100
  std::uint32_t order = 0;    // number of the operator's order that stands
  Time since{};
  bool operator==(const RetirementPlan&) const = default;
};

// At most this many entries of each kind, so that a plan fits one datagram beside its ballot and its proof.
constexpr std::size_t kMaxZones = 8, kMaxRetirements = 4;

struct ClusterConfig {
  std::uint32_t epoch = 0;        // 0: the settings, as every dispatcher has them at its start
  std::uint32_t fingerprint = 0;  // of the operator's list of zones and sites
  std::vector<ZonePlan> zones;
  std::vector<RetirementPlan> retirements;
  bool operator==(const ClusterConfig&) const = default;
};

// ---- messages ---------------------------------------------------------------------------------------------

// Orders of proposals: rounds before members, so that no two members ever use the same one.
struct Ballot {
  std::uint32_t round = 0;
  MemberId member = 0;
  auto operator<=>(const Ballot&) const = default;
};

// Membership. `about` is whom a probe asks for: the receiver itself, or a third on another's behalf.
struct Ping {
  std::uint32_t number = 0;
  bool operator==(const Ping&) const = default;
};
struct PingRequest {  // probe `about` for me
  std::uint32_t number = 0;
  MemberId about = 0;
  bool operator==(const PingRequest&) const = default;
};
struct Ack {
  std::uint32_t number = 0;
  MemberId about = 0;  // who is alive: the sender, or whom it probed for us
  bool operator==(const Ack&) const = default;
};

// Agreement (Lamport, "Paxos Made Simple", 2001): one single-decree instance an epoch.
struct Prepare {
  std::uint32_t epoch = 0;
  Ballot ballot;
  bool operator==(const Prepare&) const = default;
};
struct Promise {
  std::uint32_t epoch = 0;
  Ballot ballot;                   // promised
  std::optional<Ballot> accepted;  // with `plan`: what it has accepted in this epoch, if anything
  std::optional<ClusterConfig> plan;
  bool operator==(const Promise&) const = default;
};
struct Nack {  // a higher ballot was promised, or the epoch is decided: then the plan follows as `Chosen`
  std::uint32_t epoch = 0;
  Ballot promised;
  bool operator==(const Nack&) const = default;
};
struct Accept {
  Ballot ballot;
  ClusterConfig plan;
  bool operator==(const Accept&) const = default;
};
struct Accepted {
  std::uint32_t epoch = 0;
  Ballot ballot;
  bool operator==(const Accepted&) const = default;
};
struct Chosen {  // the plan of its epoch: decided, for good
  ClusterConfig plan;
  bool operator==(const Chosen&) const = default;
};
struct RecoveryQuery {  // what is decided? `number` comes back with the answer; also who renews a lease asks
                        // this
  std::uint32_t number = 0;
  std::uint32_t epoch = 0;  // the asker's
  bool operator==(const RecoveryQuery&) const = default;
};
struct RecoveryReply {  // the answer, where the epoch is the asker's or less; a newer plan comes as `Chosen`
                        // beside it
  std::uint32_t number = 0;
  std::uint32_t epoch = 0;
  bool votes = false;  // in the epoch after this one; false: it has started lately
  // With `votes`: the last epoch in which it may have voted, before a restart of its own too.
  std::uint32_t voted = 0;
  bool operator==(const RecoveryReply&) const = default;
};
struct Lease {  // a majority has told the sender that it holds this epoch
  std::uint32_t epoch = 0;
  Duration left{};           // from the sending on
  std::uint32_t number = 0;  // of the question that a majority answered, and the receiver too
  bool operator==(const Lease&) const = default;
};

// Evidence on zones is B's; its message joins here with it.
using MessageBody = std::variant<Ping, PingRequest, Ack, Prepare, Promise, Nack, Accept, Accepted, Chosen,
                                 RecoveryQuery, RecoveryReply, Lease>;

// What a decider wants sent. The one who carries it adds sender, incarnation, sequence and proof, and fills
// the room that is left with rumours.
struct OutgoingMessage {
  MemberId to = 0;
  MessageBody body;
  bool operator==(const OutgoingMessage&) const = default;
};

}  // namespace rookproxy::cluster
