// Claims of executions that all processes of one dispatcher share.
#pragma once

#include "policy/execution_registry.h"

namespace rookproxy {

// The result of claiming an execution.
enum class ClaimResult {
  kClaimed,
  // Another process of this dispatcher holds the claim.
  kHeldByOther,
  // It can't be found out whether another process holds it.
  kUnavailable
};

// Lets one process at a time claim the id of a request that must not run twice. A claim ends with its
// process.
class ExecutionClaims {
 public:
  using ExecutionId = policy::ExecutionRegistry::ExecutionId;

  [[nodiscard]] virtual ClaimResult try_claim(ExecutionId id) = 0;
  virtual void release_claim(ExecutionId id) = 0;

 protected:
  ~ExecutionClaims() = default;
};

}  // namespace rookproxy
