// Decides whether a certificate revocation list is valid at a given time (RFC 5280, 5.1.2.4 and 5.1.2.5).
#pragma once

#include <optional>

#include "base/time.h"

namespace rookproxy::policy {

// The validity times of a revocation list.
struct CrlTimes {
  Time this_update{};
  // Absent if the issuer announces no next list; this list then does not expire.
  std::optional<Time> next_update;
};

// Whether a revocation list can be used.
enum class RevocationStatus {
  kFresh,
  kInGracePeriod,  // The next list is overdue; this one is still used, with a warning.
  kExpired,        // The list is no longer used, and no certificate is accepted.
  kMissing,
  kNotYetValid  // The list was issued in the future, so a clock is wrong.
};

// Returns the status of a list at `now`. The grace period `grace` starts at the list's next update; `leeway`
// allows for clock differences.
[[nodiscard]] RevocationStatus revocation_status(const std::optional<CrlTimes>& crl, Time now, Duration grace,
                                                 Duration leeway);
// Whether all certificates must be refused under that status.
[[nodiscard]] inline bool fails_closed(RevocationStatus status) {
  return status != RevocationStatus::kFresh && status != RevocationStatus::kInGracePeriod;
}
// Whether a list may replace the previous one. An older list must not, since it may lack certificates that
// have been revoked since it was issued.
[[nodiscard]] bool may_replace(const std::optional<CrlTimes>& previous, const CrlTimes& replacement);

}  // namespace rookproxy::policy
