#include "cluster/gossip_selector.h"

#include <algorithm>
#include <cmath>

namespace rookproxy::cluster {

namespace {

GossipUpdate update_about(MemberId member, const MemberTable& table) {
  const MemberRecord& record = table[member];
  return {member, record.incarnation, record.state.value_or(MemberState::kFailed)};
}

}  // namespace

GossipSelector::GossipSelector(const MembershipSettings& settings, std::size_t first_member)
    : self_(settings.self),
      updates_per_message_(static_cast<std::size_t>(settings.gossip_updates_per_message)),
      max_transmissions_(
          static_cast<unsigned>(std::ceil(3 * std::log2(static_cast<double>(settings.member_count) + 1)))),
      next_member_(first_member) {}

bool GossipSelector::is_third_party(MemberId member, MemberId to, const MemberTable& table) const {
  return member != to && member != self_ && table[member].state.has_value();
}

std::vector<MemberId> GossipSelector::recent_changes(MemberId to, std::size_t limit,
                                                     const MemberTable& table) const {
  std::vector<MemberId> changed;
  for (std::size_t i = 0; i < table.size(); ++i) {
    const auto member = static_cast<MemberId>((next_member_ + i) % table.size());
    if (!is_third_party(member, to, table)) continue;
    if (table[member].transmissions < max_transmissions_) changed.push_back(member);
  }
  std::stable_sort(changed.begin(), changed.end(), [&](MemberId left, MemberId right) {
    return table[left].transmissions < table[right].transmissions;
  });
  if (changed.size() > limit) changed.resize(limit);
  return changed;
}

std::vector<GossipUpdate> GossipSelector::select(MemberId to, std::size_t limit, bool with_anti_entropy,
                                                 MemberTable& table) {
  std::vector<GossipUpdate> updates;
  if (!table.contains(to) || to == self_ || limit == 0) return updates;
  MemberRecord& receiver = table[to];
  const bool is_known_alive = receiver.state == MemberState::kAlive && !receiver.has_stale_incarnation;
  if (receiver.incarnation > 0 && !is_known_alive) updates.push_back(update_about(to, table));
  const std::size_t room = receiver.needs_full_table ? limit : std::min(limit, updates_per_message_);
  receiver.needs_full_table = false;

  const std::vector<MemberId> changed = recent_changes(to, room - std::min(room, updates.size()), table);
  for (const MemberId member : changed) {
    updates.push_back(update_about(member, table));
    ++table[member].transmissions;
  }
  if (!with_anti_entropy) return updates;
  for (std::size_t i = 0; i < table.size() && updates.size() < room; ++i) {
    const auto member = static_cast<MemberId>(next_member_);
    next_member_ = (next_member_ + 1) % table.size();
    if (!is_third_party(member, to, table)) continue;
    if (std::find(changed.begin(), changed.end(), member) == changed.end()) {
      updates.push_back(update_about(member, table));
    }
  }
  return updates;
}

}  // namespace rookproxy::cluster
