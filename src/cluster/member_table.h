// The membership table of one member: the state and incarnation of each of the others.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/time.h"
#include "cluster/member.h"
#include "cluster/membership_settings.h"

namespace rookproxy::cluster {

// Whether an incarnation is in the range of a process's incarnations, which leaves room for refutations.
[[nodiscard]] bool is_valid_incarnation(Incarnation incarnation);

// A change of a member's state. No state means that the member is unknown.
struct MemberChange {
  MemberId member = 0;
  std::optional<MemberState> before;
  std::optional<MemberState> after;
  bool operator==(const MemberChange&) const = default;
};

// The record of one member. Kept small, since there is one for every configured member.
struct MemberRecord {
  Incarnation incarnation = 0;             // 0 if never known; kept when a failed member is forgotten.
  Time state_deadline{};                   // When a suspect fails, or when a failed member is forgotten.
  std::uint16_t transmissions = 0;         // The number of times that the last change was gossiped.
  std::optional<MemberState> state;        // Nothing if the member is unknown.
  bool suspected_locally : 1 = false;      // Whether this process itself has raised the suspicion.
  bool needs_full_table : 1 = false;       // The next message to this new member carries all that fits.
  bool has_stale_incarnation : 1 = false;  // Its last message had an older incarnation than the known one.
  bool has_acked : 1 = false;              // It has acked a ping since the start or the last stall.

  // Suspects count as alive, since a single lost datagram may cause a suspicion.
  [[nodiscard]] bool counts_as_alive() const {
    return state == MemberState::kAlive || state == MemberState::kSuspect;
  }
};

// Holds a record for every configured member. The record of this member itself stays unused.
class MemberTable {
 public:
  explicit MemberTable(const MembershipSettings& settings);

  [[nodiscard]] std::size_t size() const { return records_.size(); }
  [[nodiscard]] bool contains(MemberId member) const { return member < records_.size(); }
  const MemberRecord& operator[](MemberId member) const { return records_[member]; }
  MemberRecord& operator[](MemberId member) { return records_[member]; }

  // The number of members other than this one that count as alive.
  [[nodiscard]] std::size_t alive_others() const { return alive_others_; }
  // The number of members that have acked since the start or the last stall.
  [[nodiscard]] std::size_t acked_count() const { return acked_count_; }
  // When the earliest suspicion times out, or `latest` if that is earlier.
  [[nodiscard]] Time next_suspicion_deadline(Time latest) const;

  // Sets a member's state, starts that state's deadline and schedules the change for gossip.
  void set_state(MemberId member, std::optional<MemberState> state, Incarnation incarnation, Time now);
  // Applies gossip about another member. Returns false if it is older than what is known.
  bool apply(const GossipUpdate& update, Time now);
  // Records a message that the member itself has sent, with its incarnation.
  void record_sender(MemberId member, Incarnation incarnation, Time now);
  void record_ack(MemberId member);

  // Marks suspects as failed that have not refuted the suspicion in time.
  void expire_suspicions(Time now);
  void extend_suspicions(Duration by);
  // Forgets failed members whose retention time is over.
  void forget_failed(Time now);
  // Called after a stall. Suspects become alive again, acks have to be received again, and known changes are
  // not gossiped any more, since they may be outdated.
  void reset_after_stall(unsigned max_transmissions, Time now);

  // Returns the changes since the last call.
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
