#include "logic/settings_check.h"

#include <string>

namespace lemonshift {

Settings checked(Settings s) {
  const auto refuse = [](const char* name) { throw BadSettings(std::string("setting ") + name); };
  if (s.routers == 0) refuse("routers: none");
  if (s.ordinal >= s.routers) refuse("ordinal: not below routers");
  if (s.classes.empty()) refuse("classes: none");
  if (s.max_attempts == 0) refuse("max_attempts: none");
  if (s.cold && !(s.cold->from > 0 && s.cold->from <= 1)) refuse("cold.from: not a share");
  if (s.cold && s.cold->span <= 0) refuse("cold.span: not a time");
  if (s.attempt_budget && s.attempt_budget->window <= 0) refuse("attempt_budget.window: not a time");
  for (const auto& c : s.classes) {
    if (c.threads < 1) refuse("class.threads: none");
    if (c.worth < 0) refuse("class.worth: negative");
    if (c.effect != Effect::kKeyed && c.repeat_window) refuse("class.repeat_window: class is not keyed");
    if (c.max_attempts == 0U) refuse("class.max_attempts: none");
  }
  return s;
}

}  // namespace lemonshift
