#include "decide/revocation.h"

namespace rookproxy::decide {

CrlStanding judge_crl(const std::optional<CrlTimes>& crl, Time now, Duration grace, Duration leeway) {
  if (!crl) return CrlStanding::kMissing;
  if (now + leeway < crl->this_update) return CrlStanding::kFromFuture;
  if (!crl->next_update || now < *crl->next_update) return CrlStanding::kFresh;
  return now < *crl->next_update + grace ? CrlStanding::kInGrace : CrlStanding::kTooOld;
}

bool may_replace(const std::optional<CrlTimes>& former, const CrlTimes& fresh) {
  return !former || fresh.this_update >= former->this_update;
}

}  // namespace rookproxy::decide
