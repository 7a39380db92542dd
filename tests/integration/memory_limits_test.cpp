// Tests that a dispatcher stays within the memory of its settings while clients make it hold all they can.
#include <signal.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <fstream>
#include <functional>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "fakes/fake_mysql_engine.h"
#include "fakes/temporary_directory.h"
#include "support/dispatcher_config.h"
#include "support/dispatcher_process.h"
#include "support/mysql_client.h"

namespace rookproxy::test {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kLargeBytes = (4u << 20) - 4096;  // Just under the limit on commands.
constexpr auto kTestTime = 5s;
constexpr int kStatementsPerClient = 15;

// The limits of the settings, and how many clients use each way to make the dispatcher hold bytes.
struct Limits {
  std::size_t memory_mb;
  std::size_t sockets;
  int clients_per_way;
};

MysqlClient log_in(std::uint16_t port) {
  MysqlClient client(TestConnection::connect(port));
  if (!client.log_in({}).was_accepted()) throw std::runtime_error("not logged in");
  return client;
}

// Prepares loads and sends their long data without executing any.
void send_long_data(MysqlClient& client) {
  const std::string data(kLargeBytes / 4, 'd');
  for (int number = 1; number <= kStatementsPerClient; ++number) {
    client.send_prepare("INSERT INTO marks_1.essays_" + std::to_string(number) + " VALUES (?)");
    const mysql::Message prepared = client.read_first_message();
    client.read_remaining_messages(prepared, mysql::ResponseTracker::Kind::kPrepare);
    mysql::PayloadReader reader(prepared.payload);
    reader.integer(1);
    client.add_statement(static_cast<std::uint32_t>(reader.integer(4)));
    for (int part = 0; part < 4; ++part) client.send_long_data(static_cast<std::size_t>(number), 0, data);
  }
  client.connection().read_more(kTestTime);
}

// Prepares statements whose texts are as long as they may be.
void prepare_long_texts(MysqlClient& client) {
  for (int number = 0; number < kStatementsPerClient; ++number) {
    client.send_prepare("SELECT rows_1, '" + std::string(kLargeBytes, 'p') + std::to_string(number) + "'");
    (void)client.read_first_message();
    client.connection().buffer().clear();
  }
  client.connection().read_more(kTestTime);
}

// Sends a statement as long as it may be and the beginning of the next one, which stays in the input.
void send_long_statements(MysqlClient& client) {
  client.send_query("SELECT sleep_2000, rows_1, '" + std::string(kLargeBytes, 's') + "'");
  std::string next;
  mysql::append_integer(next, 100, 3);
  client.connection().send(next);
  (void)client.connection().wait_for_bytes(1);
  client.connection().read_more(kTestTime);
}

// Sends all but the end of a statement.
void send_incomplete_statement(MysqlClient& client) {
  std::uint8_t sequence = 0;
  const std::string command = mysql::split_into_packets("\3" + std::string(kLargeBytes, 'i'), sequence);
  client.connection().send(std::string_view(command).substr(0, kLargeBytes - 1));
  client.connection().read_more(kTestTime);
}

// Requests a large result and reads nothing of it.
void leave_result_unread(MysqlClient& client) {
  client.send_query("SELECT wide_7000000");
  std::this_thread::sleep_for(kTestTime);
}

constexpr std::array<void (*)(MysqlClient&), 5> kWays{
    send_long_data, prepare_long_texts, send_long_statements, send_incomplete_statement, leave_result_unread};

// Repeats one way to make the dispatcher hold bytes, in a new session after each error.
void run_greedy_client(std::uint16_t port, void (*way)(MysqlClient&),
                       std::chrono::steady_clock::time_point end) {
  while (std::chrono::steady_clock::now() < end) {
    try {
      MysqlClient client = log_in(port);
      way(client);
    } catch (const std::exception&) {
      std::this_thread::sleep_for(20ms);
    }
  }
}

std::string write_config(const std::string& folder, const Limits& limits,
                         const std::vector<LocalEngine>& engines) {
  nlohmann::json config = default_dispatcher_config();
  config["limits"]["memory_mb"] = limits.memory_mb;
  config["limits"]["sockets"] = limits.sockets;
  config["log"]["level"] = "notice";
  config["known"]["batch"] = make_known_batch(engines);
  config["link"] = "mysql";
  config["mysql_engines"] = {{"user", "rookproxy"}, {"password", "engine-secret"}};
  config["mysql"] = {{"listen", "127.0.0.1:0"},  {"users", {{"school", "secret"}}},
                     {"read_class", "lookup"},   {"load_class", "load"},
                     {"read_deadline_ms", 3000}, {"load_deadline_ms", 25000}};
  std::ofstream(folder + "/config.json") << config;
  return folder;
}

}  // namespace

TEST_CASE("memory: clients that hold all they can at once don't take the dispatcher over its memory") {
  // Guards against budgets that are kept one by one and exceeded together, and against buffers that no budget
  // counts.
  const Limits limits = GENERATE(Limits{32, 256, 19}, Limits{192, 1024, 19});
  CAPTURE(limits.memory_mb);
  FakeMysqlEngine first;
  FakeMysqlEngine second;
  TemporaryDirectory directory;
  DispatcherOptions options;
  options.directory = write_config(directory.path(), limits, {{"e1", first.port()}, {"e2", second.port()}});
  options.log_path = directory.file("log");
  DispatcherProcess process;
  process.start(options);
  process.wait_for_log("ready to serve");
  const std::uint16_t port = process.port_logged_with("serving mysql");

  MysqlClient usual = log_in(port);
  const auto end = std::chrono::steady_clock::now() + kTestTime;
  std::vector<std::thread> clients;
  for (const auto way : kWays) {
    for (int number = 0; number < limits.clients_per_way; ++number) {
      clients.emplace_back([=] { run_greedy_client(port, way, end); });
    }
  }
  std::size_t most_memory = 0;
  int answers = 0;
  while (std::chrono::steady_clock::now() < end) {
    usual.send_query("SELECT rows_1");
    const mysql::Message response = usual.read_first_message();
    usual.read_remaining_messages(response, mysql::ResponseTracker::Kind::kPlain);
    ++answers;
    most_memory = std::max(most_memory, process.anonymous_memory());
  }
  process.send_signal(SIGKILL);
  for (std::thread& client : clients) client.join();
  CAPTURE(most_memory, answers);
  CHECK(answers > 10);
#ifndef __SANITIZE_ADDRESS__
  CHECK(most_memory > 0);
  CHECK(most_memory < limits.memory_mb << 20);
#endif
}

}  // namespace rookproxy::test
