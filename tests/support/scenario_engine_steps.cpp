#include <chrono>

#include "net/file_descriptor.h"
#include "net/sockets.h"
#include "support/require.h"
#include "support/scenario_steps.h"

namespace rookproxy::test {
namespace {

using namespace std::chrono_literals;

constexpr auto kQuietTime = 20ms;

std::uint16_t engine_port(ScenarioState& state, const std::string& name) {
  const auto mysql_engine = state.mysql_engines.find(name);
  if (mysql_engine != state.mysql_engines.end()) return mysql_engine->second->port();
  return state.line_engines.at(name).port();
}

void create_line_engines(ScenarioState& state, StepReader& reader) {
  std::vector<LocalEngine> engines;
  for (const std::string& name : reader.remaining_words()) {
    engines.push_back({name, state.line_engines[name].port()});
  }
  state.config["known"]["batch"] = make_known_batch(engines);
}

void create_mysql_engines(ScenarioState& state, StepReader& reader) {
  std::vector<LocalEngine> engines;
  for (const std::string& name : reader.remaining_words()) {
    state.mysql_engines[name] = std::make_unique<FakeMysqlEngine>();
    engines.push_back({name, state.mysql_engines[name]->port()});
  }
  state.config["known"]["batch"] = make_known_batch(engines);
  state.config["link"] = "mysql";
  state.config["mysql_engines"] = {{"user", "rookproxy"}, {"password", "engine-secret"}};
  state.config["mysql"] = {{"listen", "127.0.0.1:0"},
                           {"users", {{"school", "secret"}}},
                           {"read_class", "lookup"},
                           {"load_class", "load"}};
}

void create_auto_reply_engines(ScenarioState& state, StepReader& reader) {
  std::vector<LocalEngine> engines;
  for (const std::string& name : reader.remaining_words()) {
    auto engine = std::make_unique<AutoReplyLineEngine>();
    engine->record_statements();
    engines.push_back({name, engine->port()});
    state.auto_reply_engines[name] = std::move(engine);
  }
  state.config["known"]["batch"] = make_known_batch(engines);
}

// directory A=up B=draining ...: publishes this endpoint list and waits until the dispatcher applied it.
void publish_endpoints(ScenarioState& state, StepReader& reader) {
  std::vector<EngineEndpoint> endpoints;
  for (const std::string& entry : reader.remaining_words()) {
    const auto equals_sign = entry.find('=');
    EngineEndpoint endpoint;
    endpoint.id = entry.substr(0, equals_sign);
    endpoint.address = {kLoopbackAddress, engine_port(state, endpoint.id)};
    endpoint.machine_type = "m";
    if (entry.substr(equals_sign + 1) == "draining") endpoint.state = routing::EngineState::kDraining;
    endpoints.push_back(std::move(endpoint));
  }
  state.discovery_server->set_endpoints(std::move(endpoints));
  state.process.wait_for_log("new list");
  state.process.wait_for_log("serial=\"" + std::to_string(state.discovery_server->version()));
}

// move directory [silent]: replaces the discovery server; the former one is destroyed.
void move_discovery_server(ScenarioState& state, StepReader& reader) {
  reader.next_word();  // The word `directory`.
  const bool is_unresponsive = reader.next_word() == "silent";
  state.discovery_server = std::make_unique<FakeDiscoveryServer>(state.discovery_server->version());
  state.unresponsive_discovery = is_unresponsive ? bind_udp(kAnyLoopbackPort) : FileDescriptor();
}

void fill_accept_queue(ScenarioState& state, StepReader& reader) {
  state.line_engines.at(reader.next_word()).fill_accept_queue();
}

void drain_accept_queue(ScenarioState& state, StepReader& reader) {
  state.line_engines.at(reader.next_word()).drain_accept_queue();
}

void discard_commands(ScenarioState& state, StepReader& reader) {
  ScriptedLineEngine& engine = state.line_engines.at(reader.next_word());
  engine.discard_commands(reader.next_milliseconds());
}

constexpr ScenarioStep kEngineSteps[] = {
    {"engines", create_line_engines},
    {"mysql-engines", create_mysql_engines},
    {"lines-engines", create_auto_reply_engines},
    {"directory", publish_endpoints},
    {"move", move_discovery_server},
    {"fill", fill_accept_queue},
    {"let", drain_accept_queue},
    {"absorb", discard_commands},
};

void expect_no_command(ScriptedLineEngine& engine, std::chrono::milliseconds within) {
  const auto command = engine.next_command(within);
  require(!command, "unexpected command: " + command.value_or(""));
  require(engine.is_last_connection_open(), "the connection of the last command ended");
}

void expect_request_count(ScriptedLineEngine& engine, int expected_count) {
  engine.discard_commands(kQuietTime);
  require(engine.request_count() == expected_count,
          std::to_string(engine.request_count()) + " requests received");
}

void expect_command(ScriptedLineEngine& engine, const std::string& kind, const std::string& text) {
  const auto command = engine.next_command(kWaitLimit);
  require(command.has_value(), "no command within the time limit");
  const bool is_expected = command->starts_with(kind + " ") && command->find(text) != std::string::npos;
  require(is_expected, "another command was received: " + *command);
}

}  // namespace

std::span<const ScenarioStep> engine_steps() { return kEngineSteps; }

void send_as_engine(ScriptedLineEngine& engine, const std::string& what, StepReader& reader) {
  if (what == "raw") return engine.send(reader.remaining_text());
  if (what == "finish") return engine.send_second_half();
  const bool is_first_half = what == "begin";
  const std::string kind = is_first_half ? reader.next_word() : what;
  const std::string fields = reader.next_word();
  const std::string response = engine.format_response(kind, fields, reader.remaining_text());
  if (is_first_half) return engine.send_first_half(response);
  engine.send(response);
}

void expect_of_engine(ScriptedLineEngine& engine, const std::string& what, StepReader& reader) {
  if (what == "nothing") return expect_no_command(engine, reader.next_milliseconds());
  if (what == "closed")
    return require(engine.wait_for_end_of_last_connection(),
                   "the connection of the last command is still open");
  if (what == "requests") return expect_request_count(engine, reader.next_integer());
  expect_command(engine, what, reader.remaining_text());
}

// close A: closes the engine's connections; close A door: its listener; close A listener: both.
void close_engine(ScriptedLineEngine& engine, StepReader& reader) {
  const std::string what = reader.next_word();
  if (!what.empty()) engine.close_listener();
  if (what != "door") engine.close_connections();
}

}  // namespace rookproxy::test
