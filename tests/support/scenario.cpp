#include "support/scenario.h"
#include "support/require.h"

#include <algorithm>
#include <exception>
#include <map>
#include <sstream>
#include <stdexcept>

#include "fakes/auto_reply_line_engine.h"
#include "fakes/credential_fixture.h"

#include "frontend/frame_codec.h"
#include "net/file_descriptor.h"
#include "net/socket_address.h"
#include "net/sockets.h"
#include "support/descriptor_limit.h"
#include "support/dispatcher_process.h"
#include "support/require.h"
#include "support/scenario_state.h"
#include "support/scenario_steps.h"
#include "support/system_call_filter.h"
#include "upstream/line_protocol_connection.h"

namespace rookproxy::test {
namespace {

constexpr std::size_t kMaxLineLengthInError = 200;

// repeat N STEP
void repeat_step(ScenarioState& state, StepReader& reader) {
  const int times = reader.next_integer();
  const std::string line = reader.remaining_text();
  for (int i = 0; i < times; ++i) run_step(state, line);
}

constexpr ScenarioStep kControlFlowSteps[] = {{"repeat", repeat_step}};

const ScenarioStep* find_step_in_all_tables(std::string_view verb) {
  for (const auto& steps : {std::span<const ScenarioStep>(kControlFlowSteps), process_steps(), engine_steps(),
                            credential_steps(), client_steps()}) {
    if (const ScenarioStep* step = find_step(steps, verb)) return step;
  }
  return nullptr;
}

std::string collect_logs(const ScenarioState& state) {
  std::string logs;
  if (state.previous_process.started()) logs += state.previous_process.log() + "-- after the upgrade:\n";
  if (state.process.started()) logs += state.process.log();
  return logs;
}

}  // namespace

const ScenarioStep* find_step(std::span<const ScenarioStep> steps, std::string_view verb) {
  const auto found = std::find_if(steps.begin(), steps.end(),
                                  [verb](const ScenarioStep& step) { return step.verb == verb; });
  return found == steps.end() ? nullptr : &*found;
}

void run_step(ScenarioState& state, const std::string& line) {
  StepReader reader(line);
  const ScenarioStep* step = find_step_in_all_tables(reader.next_word());
  require(step != nullptr, "unknown step in the scenario");
  step->run(state, reader);
}

void run_scenario(const std::string& scenario) {
  ScenarioState state;
  std::istringstream lines(scenario);
  int number = 0;
  for (std::string line; std::getline(lines, line);) {
    ++number;
    line.erase(0, std::min(line.find_first_not_of(" \t"), line.size()));
    if (line.empty() || line.starts_with('#')) continue;
    try {
      run_step(state, line);
    } catch (const std::exception& error) {
      fail_test("line " + std::to_string(number) + ", '" + line.substr(0, kMaxLineLengthInError) +
                "': " + error.what() + "\n" + collect_logs(state));
    }
  }
}

}  // namespace rookproxy::test
