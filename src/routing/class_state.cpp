#include "routing/class_state.h"

#include <cstddef>

namespace rookproxy::routing {

std::vector<ClassState> carry_over(const std::vector<ClassSettings>& before,
                                   const std::vector<ClassState>& previous_states,
                                   const std::vector<ClassSettings>& after,
                                   const std::function<ClassState(const ClassSettings&)>& initial_state) {
  std::vector<ClassState> states;
  for (std::size_t i = 0; i < after.size(); ++i) {
    const bool unchanged = i < before.size() && before[i] == after[i];
    const auto same_name = std::find_if(before.begin(), before.end(),
                                        [&](const ClassSettings& one) { return one.name == after[i].name; });
    if (unchanged) {
      states.push_back(previous_states[i]);
    } else if (same_name != before.end()) {
      states.push_back(previous_states[static_cast<std::size_t>(same_name - before.begin())]);
    } else {
      states.push_back(initial_state(after[i]));
    }
  }
  return states;
}

}  // namespace rookproxy::routing
