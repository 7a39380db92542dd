#include "policy/revocation_status.h"

namespace rookproxy::policy {

RevocationStatus revocation_status(const std::optional<CrlTimes>& crl, Time now, Duration grace,
                                   Duration leeway) {
  if (!crl) return RevocationStatus::kMissing;
  if (now + leeway < crl->this_update) return RevocationStatus::kNotYetValid;
  if (!crl->next_update || now < *crl->next_update) return RevocationStatus::kFresh;
  return now < *crl->next_update + grace ? RevocationStatus::kInGracePeriod : RevocationStatus::kExpired;
}

bool may_replace(const std::optional<CrlTimes>& previous, const CrlTimes& replacement) {
  return !previous || replacement.this_update >= previous->this_update;
}

}  // namespace rookproxy::policy
