// Tests that clients which send at full speed neither delay the others nor take the dispatcher over its
// memory.
#include <signal.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "support/flood_messages.h"
#include "support/flooded_dispatcher.h"
#include "support/flooding_client.h"
#include "support/frames_client.h"
#include "support/mysql_client.h"
#include "support/request_frame.h"

namespace rookproxy::test {
namespace {

using namespace std::chrono_literals;
using std::chrono::steady_clock;

constexpr int kFloodingClients = 8;
constexpr auto kFloodTime = 2s;
// How long a usual client waits for its response.
constexpr auto kTimeout = 500ms;
// Limits on the dispatcher of the tests of memory.
constexpr std::size_t kMemoryMegabytes = 48;
constexpr std::size_t kDescriptors = 256;

using Protocol = FloodedDispatcher::Protocol;
using Flood = std::vector<std::unique_ptr<FloodingClient>>;

// Starts the clients; `connect` opens the connections and `make_message` returns a message by its number.
Flood start_flood(const FloodingClient::Connect& connect, MakeMessage make_message,
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
  FloodedDispatcher dispatcher(Protocol::kFrames);
  const auto connect = [&] { return dispatcher.connect(); };
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
  FloodedDispatcher dispatcher(Protocol::kMysql);
  const auto connect = [&] { return dispatcher.connect(); };
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
    Protocol protocol;
    MakeMessage make_message;
    ResponseUse use;
  };
  const Case tried = GENERATE(Case{Protocol::kFrames, cancelled_request, ResponseUse::kRead},
                              Case{Protocol::kFrames, readiness_query, ResponseUse::kLeaveUnread},
                              Case{Protocol::kMysql, ping, ResponseUse::kLeaveUnread});
  FloodedDispatcher dispatcher(tried.protocol, kMemoryMegabytes, kDescriptors);
  const auto connect = [&] { return dispatcher.connect(); };
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
