// The order in which a member probes the others.
#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>
#include <random>
#include <vector>

#include "cluster/member_table.h"

namespace rookproxy::cluster {

// All other members in random order, reshuffled after each pass (SWIM's round-robin probe target selection).
class ProbeOrder {
 public:
  ProbeOrder(MemberId self, std::size_t member_count, std::mt19937& random) {
    for (std::size_t member = 0; member < member_count; ++member) {
      if (member != self) members_.push_back(static_cast<MemberId>(member));
    }
    shuffle(random);
  }

  [[nodiscard]] const std::vector<MemberId>& members() const { return members_; }

  // Returns the next member of the pass. Requires that there is another member.
  MemberId next(std::mt19937& random) {
    if (next_ >= members_.size()) {
      next_ = 0;
      shuffle(random);
    }
    return members_[next_++];
  }

  // Returns the next member after `position` whose record satisfies the predicate, and moves `position` to
  // it. Checks each member at most once.
  template <class Predicate>
  std::optional<MemberId> next_matching(std::size_t& position, const MemberTable& table,
                                        Predicate predicate) const {
    for (std::size_t i = 0; i < members_.size(); ++i) {
      position = (position + 1) % members_.size();
      if (predicate(table[members_[position]])) return members_[position];
    }
    return std::nullopt;
  }

 private:
  void shuffle(std::mt19937& random) { std::shuffle(members_.begin(), members_.end(), random); }

  std::vector<MemberId> members_;
  std::size_t next_ = 0;
};

}  // namespace rookproxy::cluster
