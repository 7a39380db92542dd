// The executions that this process and the other processes of its dispatcher have admitted.
#pragma once

#include "base/time.h"
#include "dispatcher/execution_claims.h"
#include "policy/execution_registry.h"

namespace rookproxy {

// Admits the id of a request that must not run twice once, over all processes that share the claims.
class SharedExecutions {
 public:
  using ExecutionId = policy::ExecutionRegistry::ExecutionId;

  // Without claims, no other process is known. They must exist while this object is used.
  void set_claims(ExecutionClaims& claims) { claims_ = &claims; }
  // Must be called before a request may run. If it is admitted, end() must follow.
  [[nodiscard]] policy::ExecutionAdmission begin(ExecutionId id, Time now);
  // Must be called once nothing of the request runs any more.
  void end(ExecutionId id, bool may_have_run, Time now);

 private:
  void release_claim(ExecutionId id);

  policy::ExecutionRegistry registry_;
  ExecutionClaims* claims_ = nullptr;
};

}  // namespace rookproxy
