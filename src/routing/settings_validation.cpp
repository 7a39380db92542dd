#include "routing/settings_validation.h"

#include <string>

namespace rookproxy::routing {
namespace {

// Throws InvalidSettings. The simulator adapter sends the message on its wire, so the texts must not change.
[[noreturn]] void reject(const char* problem) { throw InvalidSettings(std::string("setting ") + problem); }

void validate_class(const ClassSettings& settings) {
  if (settings.threads < 1) reject("class.threads: none");
  if (settings.priority_weight < 0) reject("class.worth: negative");
  if (settings.idempotency != Idempotency::kKeyed && settings.idempotency_window) {
    reject("class.repeat_window: class is not keyed");
  }
  if (settings.max_attempts == 0U) reject("class.max_attempts: none");
}

}  // namespace

Settings validated(Settings settings) {
  if (settings.instance_count == 0) reject("routers: none");
  if (settings.instance_index >= settings.instance_count) reject("ordinal: not below routers");
  if (settings.classes.empty()) reject("classes: none");
  if (settings.max_attempts == 0) reject("max_attempts: none");
  if (const auto& slow_start = settings.slow_start) {
    const bool is_share = slow_start->initial_share > 0 && slow_start->initial_share <= 1;
    if (!is_share) reject("cold.from: not a share");
    if (slow_start->overload_window <= 0) reject("cold.span: not a time");
  }
  if (settings.retry_budget && settings.retry_budget->window <= 0) {
    reject("attempt_budget.window: not a time");
  }
  for (const auto& one : settings.classes) validate_class(one);
  return settings;
}

}  // namespace rookproxy::routing
