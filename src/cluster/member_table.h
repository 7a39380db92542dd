// What one member knows about the others: state and incarnation of each.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/time.h"
#include "cluster/member.h"
#include "cluster/membership_settings.h"

namespace rookproxy::cluster {

// Whether an incarnation can be that of a process, and leaves room for refutations.
[[nodiscard]] bool is_valid_incarnation(Incarnation incarnation);

// A change of what is known about a member; no state: unknown.
struct MemberChange {
  MemberId member = 0;
  std::optional<MemberState> before;
  std::optional<MemberState> after;
  bool operator==(const MemberChange&) const = default;
};

// What is known about one member. Small, since there is one for every configured member.
struct MemberRecord {
  Incarnation incarnation = 0;             // 0: never heard of; kept when a failed member is forgotten
  Time state_deadline{};                   // suspect: then failed; failed: then forgotten
  std::uint16_t transmissions = 0;         // times that its last change was gossiped
  std::optional<MemberState> state;        // nothing: unknown
  bool suspected_locally : 1 = false;      // the suspicion is this member's own
  bool needs_full_table : 1 = false;       // new here: its next message carries as much as fits
  bool has_stale_incarnation : 1 = false;  // its last message had an older incarnation than is known
  bool has_acked : 1 = false;              // a ping since the start or the last stall

  // Alive or suspect: a single lost datagram must not count.
  [[nodiscard]] bool counts_as_alive() const {
    return state == MemberState::kAlive || state == MemberState::kSuspect;
  }
};

// A record for every configured member, this one included (whose record stays unused).
class MemberTable {
 public:
  explicit MemberTable(const MembershipSettings& settings);

  [[nodiscard]] std::size_t size() const { return records_.size(); }
  [[nodiscard]] bool contains(MemberId member) const { return member < records_.size(); }
  const MemberRecord& operator[](MemberId member) const { return records_[member]; }
  MemberRecord& operator[](MemberId member) { return records_[member]; }

  // Members other than this one that count as alive.
  [[nodiscard]] std::size_t alive_others() const { return alive_others_; }
  // Members that have acked since the start or the last stall.
  [[nodiscard]] std::size_t acked_count() const { return acked_count_; }
  // When the first suspicion times out; `latest` if none does before.
  [[nodiscard]] Time next_suspicion_deadline(Time latest) const;

  // Starts the deadline that the state has, and lets the change be gossiped.
  void set_state(MemberId member, std::optional<MemberState> state, Incarnation incarnation, Time now);
  // Applies gossip about another member. Returns false if it is older than what is known.
  bool apply(const GossipUpdate& update, Time now);
  // A message of the member itself, with its incarnation.
  void record_sender(MemberId member, Incarnation incarnation, Time now);
  void record_ack(MemberId member);

  // Suspects that have not refuted in time become failed.
  void expire_suspicions(Time now);
  void extend_suspicions(Duration by);
  // Forgets members that failed long ago.
  void forget_failed(Time now);
  // After a stall: own suspicions are void, acks are needed anew, and nothing known is worth gossiping.
  void reset_after_stall(unsigned max_transmissions, Time now);

  // The changes since the last call.
  [[nodiscard]] std::vector<MemberChange> take_changes();

 private:
  Duration suspicion_timeout_;
  Duration failed_member_retention_;
  std::vector<MemberRecord> records_;
  std::vector<MemberChange> changes_;
  std::size_t alive_others_ = 0;
  std::size_t acked_count_ = 0;
};

}  // namespace rookproxy::cluster
