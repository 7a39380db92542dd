// Tests that clients which send at full speed neither delay the others nor take the dispatcher over its
// memory.
#include <signal.h>

#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "fakes/auto_reply_line_engine.h"
#include "fakes/fake_mysql_engine.h"
#include "fakes/temporary_directory.h"
#include "frontend/frame_codec.h"
#include "support/dispatcher_config.h"
#include "support/dispatcher_process.h"
#include "support/flooding_client.h"
#include "support/frames_client.h"
#include "support/mysql_client.h"
#include "support/request_frame.h"
#include "support/require.h"

namespace rookproxy::test {
namespace {

using namespace std::chrono_literals;
using std::chrono::steady_clock;

constexpr int kFloodingClients = 8;
constexpr auto kFloodTime = 2s;
constexpr std::size_t kBytesPerSend = 64 * 1024;
// How long a usual client waits for its response.
constexpr auto kTimeout = 500ms;
// Limits on the dispatcher of the tests of memory.
constexpr std::size_t kMemoryMegabytes = 48;
constexpr std::size_t kDescriptors = 256;

// Appends what `make_message` returns until there is enough to send.
template <class MakeMessage>
FloodingClient::MakeBytes repeat(MakeMessage make_message) {
  return [make_message, number = std::uint32_t{0}]() mutable {
    std::string bytes;
    while (bytes.size() < kBytesPerSend) bytes += make_message(++number);
    return bytes;
  };
}

std::string random_name() {
  static std::atomic<std::uint64_t> state{0x9e3779b97f4a7c15};
  return format_call_id(state += 0x9e3779b97f4a7c15);
}

std::string readiness_query(std::uint32_t number) {
  return frames::encode_frame(frames::kReadinessQuery, number, std::string(1, '\0'));
}

std::string request_without_id(std::uint32_t number) {
  return encode_request_frame(number, {{"op", "lookup"}}, "SELECT 1");
}

std::string request_of_unknown_class(std::uint32_t number) {
  return encode_request_frame(number, {{"op", random_name()}, {"call", random_name()}, {"ttl", "2000"}}, "");
}

std::string request_of_new_table(std::uint32_t number) {
  return encode_request_frame(number, {{"op", "lookup"}, {"call", random_name()}, {"ttl", "2000"}},
                              "SELECT a FROM marks_" + std::to_string(number) + ".t");
}

// The request has the longest timeout that its class may have.
std::string cancelled_request(std::uint32_t number) {
  return encode_request_frame(number, {{"op", "lookup"}, {"call", random_name()}, {"ttl", "12000"}},
                              "SELECT a FROM marks_1.t") +
         frames::encode_frame(frames::kCancel, number, "");
}

std::string mysql_command(char code, const std::string& arguments = "") {
  std::uint8_t sequence = 0;
  return mysql::split_into_packets(code + arguments, sequence);
}

std::string ping(std::uint32_t) { return mysql_command('\x0e'); }
std::string unknown_command(std::uint32_t) { return mysql_command('\x77'); }
std::string close_unknown_statement(std::uint32_t) { return mysql_command('\x19', std::string(4, '\x09')); }
std::string query_of_new_table(std::uint32_t number) {
  return mysql_command('\x03', "SELECT rows_1 FROM marks_" + std::to_string(number) + ".t");
}

TestConnection log_in(std::uint16_t port) {
  MysqlClient client(TestConnection::connect(port));
  if (!client.log_in({}).was_accepted()) fail_test("not logged in");
  return std::move(client.connection());
}

// A dispatcher with one frontend, and engines that answer at once.
class FloodedDispatcher {
 public:
  explicit FloodedDispatcher(bool speaks_mysql, std::size_t memory_mb = 192, std::size_t descriptors = 1024) {
    nlohmann::json config = default_dispatcher_config();
    config["log"]["level"] = "notice";
    config["limits"]["memory_mb"] = memory_mb;
    config["limits"]["sockets"] = descriptors;
    config["known"]["batch"] =
        make_known_batch({{"e1", speaks_mysql ? mysql_engine_.port() : line_engine_.port()}});
    if (speaks_mysql) enable_mysql(config);
    std::ofstream(directory_.file("config.json")) << config;
    DispatcherOptions options;
    options.directory = directory_.path();
    options.log_path = directory_.file("log");
    process_.start(options);
    process_.wait_for_log("ready to serve");
    port_ = process_.port_logged_with(speaks_mysql ? "serving mysql" : "serving frames");
  }

  DispatcherProcess& process() { return process_; }
  [[nodiscard]] std::uint16_t port() const { return port_; }

 private:
  static void enable_mysql(nlohmann::json& config) {
    config["link"] = "mysql";
    config["mysql_engines"] = {{"user", "rookproxy"}, {"password", "engine-secret"}};
    config["mysql"] = {{"listen", "127.0.0.1:0"},  {"users", {{"school", "secret"}}},
                       {"read_class", "lookup"},   {"load_class", "load"},
                       {"read_deadline_ms", 3000}, {"load_deadline_ms", 25000}};
  }

  AutoReplyLineEngine line_engine_;
  FakeMysqlEngine mysql_engine_;
  TemporaryDirectory directory_;
  DispatcherProcess process_;
  std::uint16_t port_ = 0;
};

using Flood = std::vector<std::unique_ptr<FloodingClient>>;

// Starts the clients; `connect` opens the connections and `make_message` returns a message by its number.
Flood start_flood(const FloodingClient::Connect& connect, std::string (*make_message)(std::uint32_t),
                  ResponseUse use = ResponseUse::kRead) {
  Flood flood;
  for (int client = 0; client < kFloodingClients; ++client) {
    flood.push_back(std::make_unique<FloodingClient>(connect, repeat(make_message), use));
  }
  return flood;
}

// Calls `request` for as long as the flood lasts. Returns the longest time that it took.
template <class Request>
std::chrono::milliseconds longest_time(Request request) {
  std::chrono::milliseconds longest{};
  const auto end = steady_clock::now() + kFloodTime;
  while (steady_clock::now() < end) {
    const auto sent_at = steady_clock::now();
    request();
    longest = std::max(longest, std::chrono::ceil<std::chrono::milliseconds>(steady_clock::now() - sent_at));
    std::this_thread::sleep_for(5ms);
  }
  return longest;
}

// Returns the most memory that the dispatcher uses within the time of the flood.
std::size_t most_memory(const DispatcherProcess& process) {
  std::size_t most = 0;
  const auto end = steady_clock::now() + 2 * kFloodTime;
  while (steady_clock::now() < end) {
    most = std::max(most, process.anonymous_memory());
    std::this_thread::sleep_for(5ms);
  }
  return most;
}

}  // namespace

TEST_CASE("flood: small and unsound requests of some frames clients don't delay the others") {
  const auto make_message = GENERATE(readiness_query, request_without_id, request_of_unknown_class,
                                     request_of_new_table, cancelled_request);
  FloodedDispatcher dispatcher(false);
  const auto connect = [&] { return TestConnection::connect(dispatcher.port()); };
  FramesClient usual(connect());
  const Flood flood = start_flood(connect, make_message);
  std::uint32_t stream = 0;
  const auto longest = longest_time([&] {
    usual.send(encode_request_frame(
        ++stream, {{"op", "lookup"}, {"call", random_name()}, {"ttl", std::to_string(kTimeout.count())}},
        "SELECT a FROM marks_1.t"));
    REQUIRE(usual.next_frame());
  });
  CHECK(longest < kTimeout);
}

TEST_CASE("flood: small and unsound commands of some MySQL clients don't delay the others") {
  const auto make_message = GENERATE(ping, unknown_command, close_unknown_statement, query_of_new_table);
  FloodedDispatcher dispatcher(true);
  const auto connect = [&] { return log_in(dispatcher.port()); };
  MysqlClient usual(connect());
  const Flood flood = start_flood(connect, make_message);
  const auto longest = longest_time([&] {
    usual.send_query("SELECT rows_1");
    usual.read_remaining_messages(usual.read_first_message(), mysql::ResponseTracker::Kind::kPlain);
  });
  CHECK(longest < kTimeout);
}

TEST_CASE("flood: what a dispatcher keeps for small requests doesn't take it over its memory") {
  struct Case {
    bool speaks_mysql;
    std::string (*make_message)(std::uint32_t);
    ResponseUse use;
  };
  const Case tried = GENERATE(Case{false, cancelled_request, ResponseUse::kRead},
                              Case{false, readiness_query, ResponseUse::kLeaveUnread},
                              Case{true, ping, ResponseUse::kLeaveUnread});
  FloodedDispatcher dispatcher(tried.speaks_mysql, kMemoryMegabytes, kDescriptors);
  const auto connect = [&] {
    return tried.speaks_mysql ? log_in(dispatcher.port()) : TestConnection::connect(dispatcher.port());
  };
  const Flood flood = start_flood(connect, tried.make_message, tried.use);
  const std::size_t most = most_memory(dispatcher.process());
  dispatcher.process().send_signal(SIGKILL);
  CAPTURE(most);
#ifndef __SANITIZE_ADDRESS__
  CHECK(most > 0);
  CHECK(most < kMemoryMegabytes << 20);
#endif
}

}  // namespace rookproxy::test
