#include "support/require.h"
#include "support/scenario_steps.h"

namespace rookproxy::test {
namespace {

TestConnection& connection_of(ScenarioClient& client) {
  return std::visit([](auto& typed_client) -> TestConnection& { return typed_client.connection(); }, client);
}

// client C [tls [CERTIFICATE]]
void connect_frames_client(ScenarioState& state, StepReader& reader) {
  const std::string name = reader.next_word();
  const bool uses_tls = reader.next_word() == "tls";
  const std::string certificate_name = reader.next_word();
  TestConnection connection = TestConnection::connect(state.frames_port);
  if (uses_tls && certificate_name.empty()) connection.start_tls();
  if (uses_tls && !certificate_name.empty()) {
    const Certificate& certificate = state.credentials.certificate(certificate_name);
    connection.start_tls(certificate.pem(), certificate.private_key_pem());
  }
  state.clients.insert_or_assign(name, FramesClient(std::move(connection)));
}

struct MysqlLoginStep {
  MysqlLoginOptions options;
  bool is_denied = false;  // The log-in has to fail.
};

// [SCHEMA|denied] | tls [USER|-] [as TOKEN] [with CERTIFICATE] [in SCHEMA] [denied]
MysqlLoginStep read_login(const ScenarioState& state, StepReader& reader) {
  MysqlLoginStep step;
  const std::string first = reader.next_word();
  if (first != "tls") {
    step.is_denied = first == "denied";
    step.options.schema = first;
    return step;
  }
  step.options.uses_tls = true;
  const std::string user = reader.next_word();
  if (!user.empty() && user != "-") step.options.user = user;
  for (std::string word = reader.next_word(); !word.empty(); word = reader.next_word()) {
    if (word == "denied") step.is_denied = true;
    if (word == "as") step.options.token = state.token_or_text(reader.next_word());
    if (word == "with") step.options.certificate = &state.credentials.certificate(reader.next_word());
    if (word == "in") step.options.schema = reader.next_word();
  }
  return step;
}

void log_in_mysql_client(ScenarioState& state, StepReader& reader) {
  const std::string name = reader.next_word();
  const MysqlLoginStep step = read_login(state, reader);
  MysqlClient client(TestConnection::connect(state.mysql_port));
  const MysqlLoginResult result = client.log_in(step.options);
  if (step.is_denied) {
    require(result.was_denied(), "the log-in was accepted, but a denial was expected");
  } else {
    require(result.was_accepted(), "log-in denied: " + result.error_text());
  }
  state.clients.insert_or_assign(name, std::move(client));
}

void connect_silent_mysql_client(ScenarioState& state, StepReader& reader) {
  state.clients.insert_or_assign(reader.next_word(), MysqlClient(TestConnection::connect(state.mysql_port)));
}

// crowd N: opens N connections that send nothing.
void connect_crowd(ScenarioState& state, StepReader& reader) {
  for (int left = reader.next_integer(); left > 0; --left) {
    state.open_connections.push_back(TestConnection::connect(state.frames_port));
  }
}

// idlers N: connects N clients that are served once each and stay connected.
void connect_idle_clients(ScenarioState& state, StepReader& reader) {
  const int count = reader.next_integer();
  for (int number = 0; number < count; ++number) {
    const std::string name = "idler" + std::to_string(number);
    run_step(state, "client " + name);
    run_step(state, "send " + name + " request 1 lookup 3000 SELECT 1");
    run_step(state, "expect " + name + R"( served 1 a\tb\tc\n)");
  }
}

void send(ScenarioState& state, StepReader& reader) {
  const std::string name = reader.next_word();
  const std::string what = reader.next_word();
  const auto engine = state.line_engines.find(name);
  if (engine != state.line_engines.end()) return send_as_engine(engine->second, what, reader);
  ScenarioClient& client = state.clients.at(name);
  if (auto* mysql_client = std::get_if<MysqlClient>(&client)) {
    send_as_mysql_client(state, *mysql_client, what, reader);
  } else {
    send_as_frames_client(state, std::get<FramesClient>(client), what, reader);
  }
}

void expect_orderly_end(TestConnection& connection) {
  require(connection.wait_for_end(), "the connection is still open");
  require(!connection.was_reset(), "the connection was reset");
  require(connection.buffer().empty(), "unread bytes before the end of the connection");
}

void expect_silence(TestConnection& connection, std::chrono::milliseconds within) {
  const bool is_silent = connection.buffer().empty() && !connection.read_more(within);
  require(is_silent || connection.has_ended(), "unexpected bytes received");
  require(!connection.has_ended(), "the connection ended");
}

void expect_of_client(ScenarioClient& client, const std::string& what, StepReader& reader) {
  if (what == "closed") return require(connection_of(client).wait_for_end(), "the connection is still open");
  if (what == "eof") return expect_orderly_end(connection_of(client));
  if (what == "nothing") return expect_silence(connection_of(client), reader.next_milliseconds());
  if (auto* mysql_client = std::get_if<MysqlClient>(&client)) {
    expect_of_mysql_client(*mysql_client, what, reader);
  } else {
    expect_of_frames_client(std::get<FramesClient>(client), what, reader);
  }
}

void expect(ScenarioState& state, StepReader& reader) {
  const std::string name = reader.next_word();
  if (const ScenarioStep* expectation = find_step(dispatcher_expectations(), name)) {
    return expectation->run(state, reader);
  }
  const std::string what = reader.next_word();
  const auto engine = state.line_engines.find(name);
  if (engine != state.line_engines.end()) return expect_of_engine(engine->second, what, reader);
  expect_of_client(state.clients.at(name), what, reader);
}

void close(ScenarioState& state, StepReader& reader) {
  const std::string name = reader.next_word();
  const auto engine = state.line_engines.find(name);
  if (engine != state.line_engines.end()) return close_engine(engine->second, reader);
  connection_of(state.clients.at(name)).close();
}

constexpr ScenarioStep kClientSteps[] = {
    {"client", connect_frames_client},
    {"mysql", log_in_mysql_client},
    {"knock", connect_silent_mysql_client},
    {"crowd", connect_crowd},
    {"idlers", connect_idle_clients},
    {"send", send},
    {"expect", expect},
    {"close", close},
};

}  // namespace

std::span<const ScenarioStep> client_steps() { return kClientSteps; }

}  // namespace rookproxy::test
