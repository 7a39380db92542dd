// Selects the membership updates that are piggybacked on a message.
#pragma once

#include <cstddef>
#include <vector>

#include "cluster/member_table.h"

namespace rookproxy::cluster {

// Selects a suspicion or failure of the receiver first, so that the receiver can refute it; then recent
// changes, the least gossiped first; then the entries of the table in turn (anti-entropy), which repairs the
// tables of members that missed an update.
class GossipSelector {
 public:
  // `first_member`: the entry of the table at which anti-entropy starts.
  GossipSelector(const MembershipSettings& settings, std::size_t first_member);

  // The number of times that each change is gossiped: about 3 log2(member_count).
  [[nodiscard]] unsigned max_transmissions() const { return max_transmissions_; }
  // Returns at most `limit` updates for the message to `to`, and counts their transmissions.
  // `with_anti_entropy`: whether the remaining space is filled with entries of the table in turn. Not to be
  // set at a member that has just started or stalled, since its table is not up to date.
  std::vector<GossipUpdate> select(MemberId to, std::size_t limit, bool with_anti_entropy,
                                   MemberTable& table);

 private:
  [[nodiscard]] std::vector<MemberId> recent_changes(MemberId to, std::size_t limit,
                                                     const MemberTable& table) const;
  [[nodiscard]] bool is_third_party(MemberId member, MemberId to, const MemberTable& table) const;

  MemberId self_;
  std::size_t updates_per_message_;
  unsigned max_transmissions_;
  std::size_t next_member_;  // The next entry of the table for anti-entropy.
};

}  // namespace rookproxy::cluster
