#include "policy/list_order.h"

#include <algorithm>

namespace rookproxy::policy {
namespace {
// The protocol: whatever the directory has to tell counts as told 7 s later at the latest. What is older than
// that is no list on its way.
constexpr Duration kMaxPropagationDelay = std::chrono::seconds(7);
}  // namespace

EndpointListVersion::Ordering EndpointListVersion::classify(std::uint32_t serial, Time asked, Time now) {
  // Serial arithmetic (RFC 1982): datagrams overtake each other, and the numbers wrap round.
  const auto ahead = static_cast<std::int32_t>(serial - version_);
  if (ahead >= 0) {
    version_ = serial;
    version_seen_at_ = now;
    older_since_.reset();
    return ahead > 0 ? Ordering::kNewer : Ordering::kSame;
  }
  if (asked <= version_seen_at_) return Ordering::kOlder;
  if (!older_since_) {
    older_since_ = now;
    return Ordering::kSuspectedRestart;
  }
  if (now - *older_since_ < kMaxPropagationDelay) return Ordering::kOlder;
  version_ = serial;
  version_seen_at_ = now;
  older_since_.reset();
  return Ordering::kServerRestarted;
}

Time announced_since(std::optional<Time> first_unheard, Duration pause, Time now) {
  return first_unheard ? std::min(now, *first_unheard + pause) : now;
}

}  // namespace rookproxy::policy
