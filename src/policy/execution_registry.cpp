#include "policy/execution_registry.h"

namespace rookproxy::policy {

ExecutionAdmission ExecutionRegistry::begin(ExecutionId id) {
  if (states_.contains(id)) return ExecutionAdmission::kMayHaveRun;
  if (states_.size() >= kMaxExecutions) return ExecutionAdmission::kUnavailable;
  states_.emplace(id, State::kOpen);
  return ExecutionAdmission::kAdmitted;
}

void ExecutionRegistry::end(ExecutionId id, bool may_have_run, Time now) {
  const auto found = states_.find(id);
  if (found == states_.end() || found->second != State::kOpen) return;
  if (!may_have_run) {
    states_.erase(found);
    return;
  }
  found->second = State::kMayHaveRun;
  ended_.push_back({now + kRetention, id});
}

std::vector<ExecutionRegistry::ExecutionId> ExecutionRegistry::take_expired(Time now) {
  std::vector<ExecutionId> expired;
  while (!ended_.empty() && ended_.front().forget_at <= now) {
    expired.push_back(ended_.front().id);
    states_.erase(ended_.front().id);
    ended_.pop_front();
  }
  return expired;
}

}  // namespace rookproxy::policy
