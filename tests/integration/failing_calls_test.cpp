// System calls of the dispatcher process fail temporarily, as on a host that is short of a resource.
#include <catch2/catch.hpp>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <optional>
#include <string>
#include <vector>

#include "fakes/auto_reply_line_engine.h"
#include "fakes/fake_discovery_server.h"
#include "fakes/temporary_directory.h"
#include "fakes/test_connection.h"
#include "frontend/frame_codec.h"
#include "support/dispatcher_config.h"
#include "support/dispatcher_process.h"
#include "support/frames_client.h"
#include "support/request_frame.h"
#include "support/scripted_line_engine.h"

namespace rookproxy::test {
namespace {

// A dispatcher process with failing system calls, one engine and service discovery.
class FailingCallsFixture {
 public:
  // `engine_port`: the port of another engine in place of the one that answers at once.
  explicit FailingCallsFixture(const std::string& failing_calls, std::uint16_t engine_port = 0) {
    nlohmann::json config = default_dispatcher_config();
    config["nameserver"] = loopback_address(discovery_.port());
    config["known"]["batch"] = make_known_batch({{"a", engine_port == 0 ? engine_.port() : engine_port}});
    std::ofstream(directory_.file("config.json")) << config.dump();
    DispatcherOptions options{directory_.path(), directory_.file("log")};
    options.failing_calls = failing_calls;
    process.start(options);
  }

  // Whether a lookup on a new connection is served.
  [[nodiscard]] bool serves_new_client() const {
    FramesClient client(TestConnection::connect(process.port_logged_with("serving frames")));
    client.send(encode_request_frame(1, {{"op", "lookup"}, {"call", format_call_id(1)}, {"ttl", "2900"}},
                                     "SELECT 1"));
    const auto response = client.next_frame();
    return response && response->type == frames::kResponse && !response->payload.empty() &&
           response->payload.front() == static_cast<char>(frames::kServed);
  }

  DispatcherProcess process;

 private:
  TemporaryDirectory directory_;
  FakeDiscoveryServer discovery_;
  AutoReplyLineEngine engine_;
};

TEST_CASE("failing calls: a temporary failure at startup is waited for") {
  // Guards against an exit as for an invalid configuration.
  for (const std::string call : {"epoll_create1", "epoll_ctl", "socket", "listen", "signalfd"}) {
    for (const int error : {ENFILE, ENOMEM}) {
      for (const int first : {1, 2}) {
        if (first == 2 && (call == "epoll_create1" || call == "signalfd")) continue;  // called once
        const std::string fault = call + ":" + std::to_string(first) + ":2:" + std::to_string(error);
        INFO(fault);
        const FailingCallsFixture fixture(fault);
        fixture.process.wait_for_log("ready to serve");
        CHECK(fixture.serves_new_client());
      }
    }
  }
}

TEST_CASE("failing calls: a temporary shortage of descriptors shuts no client out") {
  // Guards against giving up the reserve descriptor, and with it a client, although the next call would
  // succeed.
  for (const int error : {ENFILE, EMFILE, ENOBUFS, ENOMEM, ECONNABORTED, EINTR}) {
    INFO(error);
    const FailingCallsFixture fixture("accept4:every:2:" + std::to_string(error));
    fixture.process.wait_for_log("ready to serve");
    int served = 0;
    constexpr int kClients = 12;
    for (int client = 0; client < kClients; ++client) served += fixture.serves_new_client() ? 1 : 0;
    CHECK(served == kClients);
  }
}

TEST_CASE("failing calls: interrupted and short calls and temporary connect failures cost no request") {
  // A short read of a UDP socket truncates the datagram: service discovery counts it as damaged.
  const std::string interrupted = std::to_string(EINTR);
  std::vector<std::string> faults{"recv:every:2:" + interrupted,
                                  "sendmsg:every:2:" + interrupted,
                                  "epoll_wait:every:2:" + interrupted,
                                  "recv:every:2:0",
                                  "sendmsg:every:2:0",
                                  "sendmsg:every:1:0"};
  for (const int error : {ENETUNREACH, EHOSTUNREACH, ETIMEDOUT, ECONNREFUSED, EADDRNOTAVAIL, ENOBUFS}) {
    faults.push_back("connect:every:2:" + std::to_string(error));
  }
  for (const std::string& fault : faults) {
    INFO(fault);
    const FailingCallsFixture fixture(fault);
    fixture.process.wait_for_log("ready to serve");
    int served = 0;
    constexpr int kClients = 6;
    for (int client = 0; client < kClients; ++client) served += fixture.serves_new_client() ? 1 : 0;
    CHECK(served == kClients);
  }
}

TEST_CASE("failing calls: a wall clock that is stepped by an hour changes no deadline") {
  const std::string steps = "clock_gettime:every:1:3600";
  const FailingCallsFixture serving(steps);
  serving.process.wait_for_log("ready to serve");
  CHECK(serving.serves_new_client());

  const ScriptedLineEngine silent_engine;
  const FailingCallsFixture waiting(steps, silent_engine.port());
  waiting.process.wait_for_log("ready to serve");
  FramesClient client(TestConnection::connect(waiting.process.port_logged_with("serving frames")));
  const auto sent_at = std::chrono::steady_clock::now();
  client.send(
      encode_request_frame(1, {{"op", "lookup"}, {"call", format_call_id(1)}, {"ttl", "800"}}, "SELECT 1"));
  const auto response = client.next_frame();
  REQUIRE(response);
  CHECK(std::chrono::steady_clock::now() - sent_at <= std::chrono::milliseconds(800));
  CHECK(response->payload.front() != static_cast<char>(frames::kServed));
}

}  // namespace
}  // namespace rookproxy::test
