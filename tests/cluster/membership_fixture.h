// Settings and member filters that the tests of Membership share.
#pragma once

#include <cstddef>
#include <functional>

#include "cluster/membership_settings.h"

namespace rookproxy::cluster {

inline constexpr Duration kPeriod = std::chrono::milliseconds(500);

inline MembershipSettings make_settings(std::size_t self, std::size_t member_count) {
  MembershipSettings settings;
  settings.self = static_cast<MemberId>(self);
  settings.member_count = member_count;
  return settings;
}

// Selects members.
using MemberFilter = std::function<bool(std::size_t member)>;
inline bool any_member(std::size_t) { return true; }
inline bool no_member(std::size_t) { return false; }
inline MemberFilter only(std::size_t member) {
  return [member](std::size_t other) { return other == member; };
}

}  // namespace rookproxy::cluster
