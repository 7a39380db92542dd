// The messages that members exchange, as the protocols see them: no wire format, no socket, no clock.
//
// transport/codec.h gives each its bytes. A message's position in MessageBody is its type number on the wire.
#pragma once

#include <cstdint>
#include <optional>
#include <type_traits>
#include <variant>

#include "base/time.h"
#include "cluster/cluster_config.h"
#include "cluster/member.h"

namespace rookproxy::cluster {

// ---- Membership (SWIM) ------------------------------------------------------------------------------------

// Asks the receiver for an Ack with the same number.
struct Ping {
  std::uint32_t number = 0;
  bool operator==(const Ping&) const = default;
};

// An indirect ping (SWIM's ping-req): asks the receiver to ping `target` on the sender's behalf.
struct PingRequest {
  std::uint32_t number = 0;
  MemberId target = 0;
  bool operator==(const PingRequest&) const = default;
};

// Answers a Ping or a PingRequest: `target` is alive. It is the sender itself, or the member it has pinged on
// the receiver's behalf.
struct Ack {
  std::uint32_t number = 0;
  MemberId target = 0;
  bool operator==(const Ack&) const = default;
};

// ---- Consensus: single-decree Paxos, one instance per epoch (Lamport, "Paxos Made Simple", 2001) ----------

// The number of a proposal. Ordered by round before member, so that no two members ever use the same ballot.
struct Ballot {
  std::uint32_t round = 0;
  MemberId member = 0;
  auto operator<=>(const Ballot&) const = default;  // NOLINT(modernize-use-nullptr): a false positive
};

// Phase 1a.
struct Prepare {
  std::uint32_t epoch = 0;
  Ballot ballot;
  bool operator==(const Prepare&) const = default;
};

// Phase 1b: the sender will accept nothing below `ballot`.
struct Promise {
  std::uint32_t epoch = 0;
  Ballot ballot;
  std::optional<Ballot> accepted;     // the highest ballot that the sender has accepted in this epoch
  std::optional<ClusterConfig> plan;  // accepted under that ballot; present exactly if `accepted` is
  bool operator==(const Promise&) const = default;
};

// Rejects a Prepare or an Accept: the sender has promised a higher ballot.
struct Nack {
  std::uint32_t epoch = 0;
  Ballot promised;
  bool operator==(const Nack&) const = default;
};

// Phase 2a. The instance is that of `plan.epoch`.
struct Accept {
  Ballot ballot;
  ClusterConfig plan;
  bool operator==(const Accept&) const = default;
};

// Phase 2b.
struct Accepted {
  std::uint32_t epoch = 0;
  Ballot ballot;
  bool operator==(const Accepted&) const = default;
};

// Tells learners that the plan is chosen for its epoch, for good.
struct Chosen {
  ClusterConfig plan;
  bool operator==(const Chosen&) const = default;
};

// Asks which plan the receiver knows. Sent to recover, to renew a lease, and to catch up with a newer epoch.
struct RecoveryQuery {
  std::uint32_t number = 0;  // returned in the reply; 0: the sender does not count replies
  std::uint32_t epoch = 0;   // of the plan that the sender knows
  bool operator==(const RecoveryQuery&) const = default;
};

// Answers a RecoveryQuery. A newer plan than the asker's is sent beside it, as `Chosen`.
struct RecoveryReply {
  std::uint32_t number = 0;
  std::uint32_t epoch = 0;                // of the plan that the sender knows
  bool is_voting = false;                 // in the epoch after it; false: the sender has not yet recovered
  std::uint32_t highest_voted_epoch = 0;  // if voting: the last epoch it may have voted in, restarts included
  bool operator==(const RecoveryReply&) const = default;
};

// Grants a lease: a majority has confirmed to the sender that it holds the plan of `epoch`.
struct Lease {
  std::uint32_t epoch = 0;
  Duration remaining{};            // counted from the moment of sending
  std::uint32_t query_number = 0;  // of the query that the majority, and the receiver, have answered
  bool operator==(const Lease&) const = default;
};

// A message of any kind. New kinds go to the end: the index is the type number on the wire.
using MessageBody = std::variant<Ping, PingRequest, Ack, Prepare, Promise, Nack, Accept, Accepted, Chosen,
                                 RecoveryQuery, RecoveryReply, Lease>;

// Messages that Membership handles; Consensus handles all others.
template <class Message>
concept MembershipMessage =
    std::is_same_v<Message, Ping> || std::is_same_v<Message, PingRequest> || std::is_same_v<Message, Ack>;

// Whether the message is one that Membership handles.
[[nodiscard]] inline bool is_membership_message(const MessageBody& body) {
  return std::visit([]<class Message>(const Message&) { return MembershipMessage<Message>; }, body);
}

// A message to be sent. Whoever carries it adds the sender, its incarnation, a sequence number and the
// authentication code, and fills the remaining room with gossip.
struct OutgoingMessage {
  MemberId to = 0;
  MessageBody body;
  bool operator==(const OutgoingMessage&) const = default;
};

}  // namespace rookproxy::cluster
