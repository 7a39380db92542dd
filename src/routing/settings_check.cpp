#include "routing/settings_check.h"

#include <string>

namespace rookproxy::routing {

Settings validated(Settings s) {
  const auto refuse = [](const char* name) { throw InvalidSettings(std::string("setting ") + name); };
  if (s.instance_count == 0) refuse("routers: none");
  if (s.instance_index >= s.instance_count) refuse("ordinal: not below routers");
  if (s.classes.empty()) refuse("classes: none");
  if (s.max_attempts == 0) refuse("max_attempts: none");
  if (s.slow_start && !(s.slow_start->initial_share > 0 && s.slow_start->initial_share <= 1))
    refuse("cold.from: not a share");
  if (s.slow_start && s.slow_start->overload_window <= 0) refuse("cold.span: not a time");
  if (s.retry_budget && s.retry_budget->window <= 0) refuse("attempt_budget.window: not a time");
  for (const auto& c : s.classes) {
    if (c.threads < 1) refuse("class.threads: none");
    if (c.priority_weight < 0) refuse("class.worth: negative");
    if (c.idempotency != Idempotency::kKeyed && c.idempotency_window)
      refuse("class.repeat_window: class is not keyed");
    if (c.max_attempts == 0U) refuse("class.max_attempts: none");
  }
  return s;
}

}  // namespace rookproxy::routing
