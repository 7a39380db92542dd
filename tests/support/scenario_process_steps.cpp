#include <signal.h>

#include <chrono>
#include <fstream>
#include <optional>
#include <thread>

#include "net/sockets.h"
#include "support/descriptor_limit.h"
#include "support/require.h"
#include "support/scenario_steps.h"

namespace rookproxy::test {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr auto kPollInterval = 5ms;

void set_key(ScenarioState& state, StepReader& reader) {
  const std::string pointer = reader.next_word();
  state.config[json::json_pointer(pointer)] = json::parse(reader.remaining_text());
}

// Writes the configuration file: the text or, if it is empty, the current configuration.
void write_config(ScenarioState& state, const std::string& text) {
  const std::uint16_t discovery_port = state.unresponsive_discovery ? local_port(state.unresponsive_discovery)
                                                                    : state.discovery_server->port();
  state.config["nameserver"] = loopback_address(discovery_port);
  std::ofstream(state.directory.file("config.json")) << (text.empty() ? state.config.dump() : text);
}

void configure(ScenarioState& state, StepReader& reader) { write_config(state, reader.remaining_text()); }

void start_process(ScenarioState& state) {
  std::optional<DescriptorLimit> limit;
  if (state.descriptor_limit > 0) limit.emplace(state.descriptor_limit);
  DispatcherOptions options;
  options.directory = state.directory.path();
  options.log_path = state.directory.file("log" + std::to_string(++state.start_count));
  options.has_system_call_filter = state.has_system_call_filter;
  state.process.start(options, state.inherited_sockets);
}

void start(ScenarioState& state, StepReader&) {
  write_config(state, "");
  start_process(state);
  state.process.wait_for_log("ready to serve");
  state.frames_port =
      static_cast<std::uint16_t>(std::stoi(state.process.wait_for_log("start [rookproxy@32473 port=\"")));
  if (!state.mysql_engines.empty()) state.mysql_port = state.process.port_logged_with("serving mysql");
}

void upgrade(ScenarioState& state, StepReader& reader) {
  state.previous_process = std::move(state.process);
  state.process = DispatcherProcess();
  start(state, reader);
}

// Opens a listener that the dispatcher inherits, and sets the configured address to the listener's.
void hold_listener(ScenarioState& state, json& listen_address) {
  state.inherited_sockets.push_back(listen_on_free_port());
  listen_address = loopback_address(local_port(state.inherited_sockets.back()));
}

void pass_sockets(ScenarioState& state, StepReader&) {
  hold_listener(state, state.config["listen"]);
  if (state.mysql_engines.empty()) return;
  hold_listener(state, state.config["mysql"]["listen"]);
  state.config["mysql"]["passed_socket"] = 4;
}

void limit_descriptors(ScenarioState& state, StepReader& reader) {
  state.descriptor_limit = std::stoul(reader.next_word());
}

void filter_system_calls(ScenarioState& state, StepReader&) { state.has_system_call_filter = true; }

void send_signal(ScenarioState& state, StepReader& reader) {
  static const std::map<std::string, int> kNumbers{{"HUP", SIGHUP},   {"INT", SIGINT},   {"KILL", SIGKILL},
                                                   {"TERM", SIGTERM}, {"STOP", SIGSTOP}, {"CONT", SIGCONT}};
  std::string name = reader.next_word();
  const bool is_to_previous = name == "old";
  if (is_to_previous) name = reader.next_word();
  (is_to_previous ? state.previous_process : state.process).send_signal(kNumbers.at(name));
}

void call_admin_listener(ScenarioState& state, StepReader& reader) {
  const std::string kPreviousPrefix = "old ";
  const std::string text = reader.remaining_text();
  if (text.starts_with(kPreviousPrefix)) {
    state.admin_response = call_admin(state.previous_process, text.substr(kPreviousPrefix.size()));
  } else {
    state.admin_response = call_admin(state.process, text);
  }
}

void hold_admin_connections(ScenarioState& state, StepReader& reader) {
  const int count = reader.next_integer();
  const std::string text = reader.remaining_text();
  for (int i = 0; i < count; ++i) {
    state.open_connections.push_back(TestConnection::connect(state.process.admin_port()));
    state.open_connections.back().send(text);
  }
}

void wait(ScenarioState&, StepReader& reader) { std::this_thread::sleep_for(reader.next_milliseconds()); }

void expect_metric(ScenarioState& state, StepReader& reader) {
  wait_for_metric(state, reader.remaining_text());
}

void expect_admin_response(ScenarioState& state, StepReader& reader) {
  const bool holds_text = state.admin_response.find(reader.remaining_text()) != std::string::npos;
  require(holds_text, "text not found in the admin response:\n" + state.admin_response);
}

void expect_log(ScenarioState& state, StepReader& reader) {
  state.process.wait_for_log(reader.remaining_text());
}

void expect_no_log(ScenarioState& state, StepReader& reader) {
  const std::string text = reader.remaining_text();
  require(state.process.log().find(text) == std::string::npos, "the log contains the text");
}

void expect_exit(DispatcherProcess& process, StepReader& reader) {
  require(process.wait_for_exit() == reader.next_integer(), "unexpected exit code");
}

void expect_of_process(ScenarioState& state, StepReader& reader) {
  reader.next_word();  // The word `exit`.
  expect_exit(state.process, reader);
}

void expect_of_previous_process(ScenarioState& state, StepReader& reader) {
  if (reader.next_word() == "log") {
    state.previous_process.wait_for_log(reader.remaining_text());
  } else {
    expect_exit(state.previous_process, reader);
  }
}

std::vector<std::string> all_executed(ScenarioState& state) {
  std::vector<std::string> all;
  for (const auto& [name, engine] : state.mysql_engines) {
    const auto statements = engine->executed_statements();
    all.insert(all.end(), statements.begin(), statements.end());
  }
  return all;
}

std::vector<std::string> all_prepared(ScenarioState& state) {
  std::vector<std::string> all;
  for (const auto& [name, engine] : state.mysql_engines) {
    const auto statements = engine->prepared_statements();
    all.insert(all.end(), statements.begin(), statements.end());
  }
  return all;
}

// Waits until `count_now` returns `expected_count`. Fails at once if the count exceeds it.
template <class Count>
void wait_for_count(long expected_count, Count count_now) {
  const auto deadline = std::chrono::steady_clock::now() + kWaitLimit;
  for (;;) {
    const long count = count_now();
    if (count == expected_count) return;
    const bool may_still_match = count < expected_count && std::chrono::steady_clock::now() < deadline;
    require(may_still_match, "unexpected count " + std::to_string(count));
    std::this_thread::sleep_for(kPollInterval);
  }
}

long count_containing(const std::vector<std::string>& statements, const std::string& text) {
  return std::count_if(statements.begin(), statements.end(), [&text](const std::string& statement) {
    return statement.find(text) != std::string::npos;
  });
}

void expect_executed(ScenarioState& state, StepReader& reader) {
  const long expected_count = std::stol(reader.next_word());
  const std::string text = reader.remaining_text();
  wait_for_count(expected_count, [&] { return count_containing(all_executed(state), text); });
}

void expect_prepared(ScenarioState& state, StepReader& reader) {
  const long expected_count = std::stol(reader.next_word());
  const std::string text = reader.remaining_text();
  wait_for_count(expected_count, [&] { return count_containing(all_prepared(state), text); });
}

void expect_repeated_executions(ScenarioState& state, StepReader& reader) {
  const long expected_count = std::stol(reader.next_word());
  wait_for_count(expected_count,
                 [&] { return static_cast<long>(count_repeated_executions(all_executed(state))); });
}

constexpr ScenarioStep kProcessSteps[] = {
    {"set", set_key},
    {"configure", configure},
    {"start", start},
    {"upgrade", upgrade},
    {"pass", pass_sockets},
    {"descriptors", limit_descriptors},
    {"confine", filter_system_calls},
    {"signal", send_signal},
    {"call", call_admin_listener},
    {"hold", hold_admin_connections},
    {"wait", wait},
};

constexpr ScenarioStep kDispatcherExpectations[] = {
    {"figure", expect_metric},
    {"answer", expect_admin_response},
    {"log", expect_log},
    {"nolog", expect_no_log},
    {"dispatcher", expect_of_process},
    {"old", expect_of_previous_process},
    {"executed", expect_executed},
    {"prepared", expect_prepared},
    {"duplicates", expect_repeated_executions},
};

}  // namespace

std::span<const ScenarioStep> process_steps() { return kProcessSteps; }

std::span<const ScenarioStep> dispatcher_expectations() { return kDispatcherExpectations; }

void wait_for_metric(ScenarioState& state, const std::string& name_and_value) {
  const auto deadline = std::chrono::steady_clock::now() + kWaitLimit;
  for (;;) {
    const std::string metrics = call_admin(state.process, "METRICS");
    if (metrics.find("\nsvc." + name_and_value + "\n") != std::string::npos) return;
    require(std::chrono::steady_clock::now() < deadline, "metric not found in\n" + metrics);
    std::this_thread::sleep_for(kPollInterval);
  }
}

}  // namespace rookproxy::test
