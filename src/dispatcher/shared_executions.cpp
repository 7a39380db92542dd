#include "dispatcher/shared_executions.h"

namespace rookproxy {

using policy::ExecutionAdmission;

ExecutionAdmission SharedExecutions::begin(ExecutionId id, Time now) {
  for (const ExecutionId expired : registry_.take_expired(now)) release_claim(expired);
  const ExecutionAdmission admission = registry_.begin(id);
  if (admission != ExecutionAdmission::kAdmitted || !claims_) return admission;
  const ClaimResult claim = claims_->try_claim(id);
  if (claim == ClaimResult::kClaimed) return admission;
  registry_.end(id, false, now);
  return claim == ClaimResult::kHeldByOther ? ExecutionAdmission::kMayHaveRun
                                            : ExecutionAdmission::kUnavailable;
}

void SharedExecutions::end(ExecutionId id, bool may_have_run, Time now) {
  registry_.end(id, may_have_run, now);
  if (!may_have_run) release_claim(id);
}

void SharedExecutions::release_claim(ExecutionId id) {
  if (claims_) claims_->release_claim(id);
}

}  // namespace rookproxy
