#include "support/scenario.h"

#include <algorithm>
#include <exception>
#include <sstream>
#include <vector>

#include "support/require.h"
#include "support/scenario_prepared_steps.h"
#include "support/scenario_state.h"
#include "support/scenario_steps.h"

namespace rookproxy::test {
namespace {

constexpr std::size_t kMaxLineInError = 200;

// repeat N STEP
void repeat_step(ScenarioState& state, StepReader& reader) {
  const int times = reader.next_integer();
  const std::string line = reader.remaining_text();
  for (int i = 0; i < times; ++i) run_step(state, line);
}

constexpr ScenarioStep kControlSteps[] = {{"repeat", repeat_step}};

const ScenarioStep* find_step_in_all_tables(std::string_view verb) {
  for (const auto& steps : {std::span<const ScenarioStep>(kControlSteps), process_steps(), engine_steps(),
                            credential_steps(), client_steps()}) {
    if (const ScenarioStep* step = find_step(steps, verb)) return step;
  }
  return nullptr;
}

// The lines of one prepared step; an error names the line within.
void run_prepared_lines(ScenarioState& state, const std::vector<std::string>& lines) {
  for (const std::string& line : lines) {
    try {
      run_step(state, line);
    } catch (const std::exception& error) {
      fail_test("'" + line.substr(0, kMaxLineInError) + "': " + error.what());
    }
  }
}

std::string logs_of(const ScenarioState& state) {
  std::string logs;
  if (state.previous_process.started()) logs += state.previous_process.log() + "-- its successor:\n";
  if (state.process.started()) logs += state.process.log();
  return logs;
}

}  // namespace

const ScenarioStep* find_step(std::span<const ScenarioStep> steps, std::string_view verb) {
  for (const ScenarioStep& step : steps) {
    if (step.verb == verb) return &step;
  }
  return nullptr;
}

void run_step(ScenarioState& state, const std::string& line) {
  if (const auto lines = expand_prepared_step(line)) return run_prepared_lines(state, *lines);
  StepReader reader(line);
  const ScenarioStep* step = find_step_in_all_tables(reader.next_word());
  require(step != nullptr, "unknown step");
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
      fail_test("line " + std::to_string(number) + ", '" + line.substr(0, kMaxLineInError) +
                "': " + error.what() + "\n" + logs_of(state));
    }
  }
}

}  // namespace rookproxy::test
