// The messages that members exchange, independent of their encoding.
//
// transport/codec.h encodes them. A message's position in MessageBody is its type number on the wire.
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

// Requests an Ack with the same number.
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

// Replies to a Ping or a PingRequest: `target` is alive. It is either the sender itself or the member that
// the sender has pinged on the receiver's behalf.
struct Ack {
  std::uint32_t number = 0;
  MemberId target = 0;
  bool operator==(const Ack&) const = default;
};

// ---- Consensus: single-decree Paxos, one instance per epoch (Lamport, "Paxos Made Simple", 2001) ----------

// The number of a proposal. Ordered by round, then by member, so that no two members use the same ballot.
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
  std::optional<Ballot> accepted;     // The highest ballot that the sender has accepted in this epoch.
  std::optional<ClusterConfig> plan;  // The plan of that ballot; present if and only if `accepted` is.
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

// Announces to learners that the plan is chosen for its epoch.
struct Chosen {
  ClusterConfig plan;
  bool operator==(const Chosen&) const = default;
};

// Requests the receiver's epoch and voting state. Sent to recover, to renew a lease and to catch up with a
// newer epoch.
struct RecoveryQuery {
  std::uint32_t number = 0;  // Returned in the reply; 0 if the sender does not count replies.
  std::uint32_t epoch = 0;   // The epoch of the plan that the sender knows.
  bool operator==(const RecoveryQuery&) const = default;
};

// Replies to a RecoveryQuery. A plan newer than the querying member's is sent separately, in a `Chosen`.
struct RecoveryReply {
  std::uint32_t number = 0;
  std::uint32_t epoch = 0;  // The epoch of the plan that the sender knows.
  bool is_voting = false;   // Whether the sender votes in the epoch after it; false until it has recovered.
  // The last epoch in which the sender may have voted, in any process. Valid only if it is voting.
  std::uint32_t highest_voted_epoch = 0;
  bool operator==(const RecoveryReply&) const = default;
};

// Grants a lease: a majority has confirmed to the sender that it holds the plan of `epoch`.
struct Lease {
  std::uint32_t epoch = 0;
  Duration remaining{};            // The remaining time of the lease when the message was sent.
  std::uint32_t query_number = 0;  // The number of the query that the majority and the receiver answered.
  bool operator==(const Lease&) const = default;
};

// A message of any type. New types are appended, since the index is the type number on the wire.
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

// A message to be sent. The transport adds the sender, its incarnation, a sequence number and the
// authentication code, and fills the remaining space with gossip.
struct OutgoingMessage {
  MemberId to = 0;
  MessageBody body;
  bool operator==(const OutgoingMessage&) const = default;
};

}  // namespace rookproxy::cluster
