#include "policy/endpoint_list_version.h"

#include <algorithm>

namespace rookproxy::policy {
namespace {

// The platform treats an announcement as received at the latest 7 s after it was made, so no older list is in
// transit after that time.
constexpr Duration kMaxPropagationDelay = std::chrono::seconds(7);

}  // namespace

EndpointListVersion::Ordering EndpointListVersion::classify(std::uint32_t version, bool has_newest_content,
                                                            Time polled_at, Time now) {
  // Serial number arithmetic (RFC 1982): the signed difference orders versions that have wrapped around.
  const auto ahead = static_cast<std::int32_t>(version - version_);
  if (ahead > 0 || (ahead == 0 && has_newest_content)) {
    accept(version, now);
    is_confirmed_ = ahead == 0;
    return ahead > 0 ? Ordering::kNewer : Ordering::kSame;
  }
  if (polled_at <= version_seen_at_ || polled_at <= last_contradicting_poll_) return Ordering::kStale;
  last_contradicting_poll_ = polled_at;
  if (++contradictions_ >= kContradictionsToDiscard && !is_confirmed_) {
    accept(version, now);
    is_confirmed_ = true;  // The preceding contradicting responses confirm it.
    return Ordering::kNewestDiscarded;
  }
  if (!contradicted_since_) {
    contradicted_since_ = now;
    return Ordering::kFirstContradicting;
  }
  if (now - *contradicted_since_ < kMaxPropagationDelay) return Ordering::kContradicting;
  accept(version, now);
  is_confirmed_ = true;
  return Ordering::kServerRestarted;
}

void EndpointListVersion::accept(std::uint32_t version, Time now) {
  version_ = version;
  version_seen_at_ = now;
  contradicted_since_.reset();
  contradictions_ = 0;
}

}  // namespace rookproxy::policy
