#include "decide/list_order.h"

#include <algorithm>

namespace rookproxy::decide {
namespace {
// The protocol: whatever the directory has to tell counts as told 7 s later at the latest. What is older than
// that is no list on its way.
constexpr Duration kOnItsWay = std::chrono::seconds(7);
}  // namespace

ListOrder::Place ListOrder::place(std::uint32_t serial, Time asked, Time now) {
  // Serial arithmetic (RFC 1982): datagrams overtake each other, and the numbers wrap round.
  const auto ahead = static_cast<std::int32_t>(serial - serial_);
  if (ahead >= 0) {
    serial_ = serial;
    heard_at_ = now;
    older_since_.reset();
    return ahead > 0 ? Place::kNewer : Place::kSame;
  }
  if (asked <= heard_at_) return Place::kOlder;
  if (!older_since_) {
    older_since_ = now;
    return Place::kWentBack;
  }
  if (now - *older_since_ < kOnItsWay) return Place::kOlder;
  serial_ = serial;
  heard_at_ = now;
  older_since_.reset();
  return Place::kStartedAnew;
}

Time told_since(std::optional<Time> first_unheard, Duration pause, Time now) {
  return first_unheard ? std::min(now, *first_unheard + pause) : now;
}

}  // namespace rookproxy::decide
