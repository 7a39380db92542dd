// Whether a certificate revocation list can be relied on at a given time (RFC 5280, 5.1.2.4 and 5.1.2.5).
#pragma once

#include <optional>

#include "base/time.h"

namespace rookproxy::policy {

// The times that a list carries.
struct CrlTimes {
  Time this_update{};
  std::optional<Time> next_update;  // absent: the issuer announces no successor, so the list does not expire
};

// How far a list can be relied on.
enum class RevocationStatus {
  kFresh,
  kInGracePeriod,  // its successor is overdue: still relied on, with a warning
  kExpired,        // no longer relied on: no certificate is accepted
  kMissing,
  kNotYetValid  // issued in the future: some clock is wrong
};

// The status of a list at `now`. `grace` follows its next update; `leeway` allows for clocks that differ.
[[nodiscard]] RevocationStatus revocation_status(const std::optional<CrlTimes>& crl, Time now, Duration grace,
                                                 Duration leeway);
// Whether certificates have to be refused under that status.
[[nodiscard]] inline bool fails_closed(RevocationStatus status) {
  return status != RevocationStatus::kFresh && status != RevocationStatus::kInGracePeriod;
}
// Whether a list may replace the former one. An older list must not: it could lack certificates that were
// revoked since.
[[nodiscard]] bool may_replace(const std::optional<CrlTimes>& former, const CrlTimes& replacement);

}  // namespace rookproxy::policy
