#include "policy/endpoint_list_version.h"

#include <algorithm>

namespace rookproxy::policy {
namespace {

// The platform counts an announcement as received 7 s after it was made at the latest, so an older list can't
// still be on its way after that.
constexpr Duration kMaxPropagationDelay = std::chrono::seconds(7);

}  // namespace

EndpointListVersion::Ordering EndpointListVersion::classify(std::uint32_t version, Time polled_at, Time now) {
  // Serial number arithmetic (RFC 1982): the difference is signed, so that wrapped versions compare
  // correctly.
  const auto ahead = static_cast<std::int32_t>(version - version_);
  if (ahead >= 0) {
    accept(version, now);
    return ahead > 0 ? Ordering::kNewer : Ordering::kSame;
  }
  if (polled_at <= version_seen_at_) return Ordering::kOlder;
  if (!older_since_) {
    older_since_ = now;
    return Ordering::kSuspectedRestart;
  }
  if (now - *older_since_ < kMaxPropagationDelay) return Ordering::kOlder;
  accept(version, now);
  return Ordering::kServerRestarted;
}

void EndpointListVersion::accept(std::uint32_t version, Time now) {
  version_ = version;
  version_seen_at_ = now;
  older_since_.reset();
}

}  // namespace rookproxy::policy
