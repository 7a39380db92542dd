// What a list of revoked certificates is good for at a given time (RFC 5280, 5.1.2.4 and 5.1.2.5), and what
// follows for who shows a certificate.
#pragma once

#include <optional>

#include "base/time.h"

namespace rookproxy::policy {

struct CrlTimes {
  Time this_update{};
  std::optional<Time> next_update;  // none: the issuer promises no successor, so it never goes stale
};

enum class RevocationStatus {
  kFresh,
  kInGracePeriod,  // a successor is overdue: still believed, with a warning
  kExpired,        // believed no more: nobody is let in by a certificate
  kMissing,
  kNotYetValid  // its time has not come: some clock is wrong
};

RevocationStatus revocation_status(const std::optional<CrlTimes>& crl, Time now, Duration grace,
                                   Duration leeway);
inline bool fails_closed(RevocationStatus standing) {
  return standing != RevocationStatus::kFresh && standing != RevocationStatus::kInGracePeriod;
}
// May a list take a former one's place? Not one that was made before it: it could leave out who was revoked
// since.
bool may_replace(const std::optional<CrlTimes>& former, const CrlTimes& fresh);

}  // namespace rookproxy::policy
