// Chooses the membership updates that ride on a message.
#pragma once

#include <cstddef>
#include <vector>

#include "cluster/member_table.h"

namespace rookproxy::cluster {

// First what is known against the receiver, so that it can refute; then recent changes, the least gossiped
// first; then the table in turn, which repairs what others have missed.
class GossipSelector {
 public:
  // `first_member`: where the turn through the table starts.
  GossipSelector(const MembershipSettings& settings, std::size_t first_member);

  // How often each change is gossiped: about 3 log2(member_count) times.
  [[nodiscard]] unsigned max_transmissions() const { return max_transmissions_; }
  // At most `limit` updates for the message to `to`, and counts their transmissions. `repairs`: fills the
  // room with the table in turn; a member that has just started or stalled has nothing to repair with.
  std::vector<GossipUpdate> select(MemberId to, std::size_t limit, bool repairs, MemberTable& table);

 private:
  [[nodiscard]] std::vector<MemberId> recent_changes(MemberId to, std::size_t limit,
                                                     const MemberTable& table) const;
  [[nodiscard]] bool is_about_third(MemberId member, MemberId to, const MemberTable& table) const;

  MemberId self_;
  std::size_t updates_per_message_;
  unsigned max_transmissions_;
  std::size_t next_member_;  // of the turn through the table
};

}  // namespace rookproxy::cluster
