// The steps of the scenario language, grouped by their subject. scenario.h describes the language.
#pragma once

#include <span>
#include <string>
#include <string_view>

#include "support/scenario_state.h"
#include "support/step_reader.h"

namespace rookproxy::test {

// One verb of the language. `run` gets a reader positioned after the verb, and throws if the step fails.
struct ScenarioStep {
  std::string_view verb;
  void (*run)(ScenarioState& state, StepReader& reader);
};

// Configuration, start, signals and calls of the admin listener.
[[nodiscard]] std::span<const ScenarioStep> process_steps();
// Engines and the service discovery server that lists them.
[[nodiscard]] std::span<const ScenarioStep> engine_steps();
// Keys, tokens, certificates and revocations.
[[nodiscard]] std::span<const ScenarioStep> credential_steps();
// Clients of both frontends.
[[nodiscard]] std::span<const ScenarioStep> client_steps();
// Expectations about the dispatcher and about all engines together, by the word after `expect`.
[[nodiscard]] std::span<const ScenarioStep> dispatcher_expectations();

// Returns the step of that verb, or null if the table has none.
[[nodiscard]] const ScenarioStep* find_step(std::span<const ScenarioStep> steps, std::string_view verb);

// Run `send ENGINE WHAT ...`, `expect ENGINE WHAT ...` and `close ENGINE ...`.
void send_as_engine(ScriptedLineEngine& engine, const std::string& what, StepReader& reader);
void expect_of_engine(ScriptedLineEngine& engine, const std::string& what, StepReader& reader);
void close_engine(ScriptedLineEngine& engine, StepReader& reader);

// Runs `send CLIENT WHAT ...` for a client of the frame protocol.
void send_as_frames_client(ScenarioState& state, FramesClient& client, const std::string& what,
                           StepReader& reader);
// Runs `expect CLIENT WHAT ...` for a client of the frame protocol.
void expect_of_frames_client(FramesClient& client, const std::string& what, StepReader& reader);

// Runs `send CLIENT WHAT ...` for a client of the MySQL protocol.
void send_as_mysql_client(ScenarioState& state, MysqlClient& client, const std::string& what,
                          StepReader& reader);
// Runs `expect CLIENT WHAT ...` for a client of the MySQL protocol.
void expect_of_mysql_client(MysqlClient& client, const std::string& what, StepReader& reader);

// Polls METRICS until it contains svc.NAME=VALUE, because metrics are updated with a delay.
void wait_for_metric(ScenarioState& state, const std::string& name_and_value);

// Runs one line of a scenario. The step may run further lines.
void run_step(ScenarioState& state, const std::string& line);

}  // namespace rookproxy::test
