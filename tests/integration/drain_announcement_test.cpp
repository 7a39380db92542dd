// Drain announcements of service discovery that reach the dispatcher late. After a restart of the dispatcher,
// discovery numbers its list versions anew: a list of the previous run with a higher version must not hide
// the current lists. A drain whose first announcement was lost counts from when it was announced.
#include <catch2/catch.hpp>
#include <chrono>
#include <fstream>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "fakes/fake_discovery_server.h"
#include "fakes/temporary_directory.h"
#include "fakes/test_connection.h"
#include "frontend/frame_codec.h"
#include "net/sockets.h"
#include "support/dispatcher_config.h"
#include "support/dispatcher_process.h"
#include "support/frames_client.h"
#include "support/request_frame.h"
#include "support/require.h"
#include "support/scripted_line_engine.h"

namespace rookproxy::test {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;
using routing::EngineState;
using Clock = std::chrono::steady_clock;
using ResponseMode = FakeDiscoveryServer::ResponseMode;

constexpr auto kPollInterval = 100ms;
constexpr auto kGracePeriod = 2s;
constexpr auto kGraceSlack = 50ms;
// Polls that the outdated server answers: most of the grace period.
constexpr int kOlderResponses = 14;
// Polls after those until the grace period, counted from the lost response, is over.
constexpr int kPollsUntilGraceIsOver = 9;
// Responses that announce a drain until its grace period is over.
constexpr int kPollsOfGracePeriod = 25;

// Two engines, service discovery and one dispatcher process. The dispatcher knows engine "a" from the start.
class DrainFixture {
 public:
  DrainFixture() {
    discovery_.set_endpoints({endpoint("a", EngineState::kServing)});
    json config = default_dispatcher_config();
    config["directory_poll_ms"] = kPollInterval.count();
    config["nameserver"] = loopback_address(discovery_.port());
    config["known"]["offset"] = discovery_.version();
    config["known"]["batch"] = make_known_batch({{"a", engine_a.port()}});
    config["settings"]["permissions"]["dial_timeout"] = 9'000'000;
    config["settings"]["safety"]["drain_grace"] = std::chrono::microseconds(kGracePeriod).count();
    std::ofstream(directory_.file("config.json")) << config.dump();
    process.start({directory_.path(), directory_.file("log")});
    process.wait_for_log("ready to serve");
  }

  // An idle client connection would be closed, so each test connects when it has something to send.
  void connect_client() {
    client.emplace(TestConnection::connect(process.port_logged_with("serving frames")));
  }

  // Submits a write that waits for its connection to engine "a", which accepts none.
  void submit_request_that_waits_for_engine_a() {
    engine_a.fill_accept_queue();
    connect_client();
    client->send(encode_request_frame(1, {{"op", "load"}, {"call", format_call_id(1)}, {"ttl", "9000"}},
                                      "INSERT INTO s_1.t VALUES (1)"));
    client->send(frames::encode_frame(frames::kReadinessQuery, 2, std::string(1, '\0')));
    require(client->take_frame_of_type(frames::kReadiness), "the dispatcher did not accept the request");
  }

  // Announces that "a" drains and "b" serves, and loses the first response that says so. Returns when that
  // response was sent.
  Clock::time_point announce_drain_in_lost_response() {
    discovery_.set_response_mode(ResponseMode::kLost);
    discovery_.set_endpoints({endpoint("a", EngineState::kDraining), endpoint("b", EngineState::kServing)});
    wait_until([this] { return discovery_.current_list_sent_at().has_value(); });
    return *discovery_.current_list_sent_at();
  }

  void answer_polls_with_older_list(int count) {
    discovery_.set_response_mode(ResponseMode::kOlderList);
    wait_until([this, count] { return discovery_.polls_in_mode() >= count; });
  }

  void answer_polls_with_current_list(int count) {
    discovery_.set_response_mode(ResponseMode::kCurrentList);
    process.wait_for_log("to=\"draining\"");
    wait_until([this, count] { return discovery_.polls_in_mode() >= count; });
  }

  // Answers one poll with a list of the previous run, in which "a" serves, with a version that the current
  // run reaches only later.
  void answer_one_poll_with_list_of_previous_run() {
    discovery_.answer_once_with(discovery_.version() + 4, {endpoint("a", EngineState::kServing)});
    wait_until([this] { return discovery_.polls_in_mode() >= 1; });
    discovery_.set_response_mode(ResponseMode::kCurrentList);
    wait_until([this] { return discovery_.polls_in_mode() >= 2; });
  }

  // Announces in every further response that "a" drains and "b" serves. Returns after the given number of
  // responses.
  void announce_drain(int responses) {
    discovery_.set_endpoints({endpoint("a", EngineState::kDraining), endpoint("b", EngineState::kServing)});
    discovery_.set_response_mode(ResponseMode::kCurrentList);
    wait_until([this, responses] { return discovery_.polls_in_mode() >= responses; });
  }

  void submit_lookup(std::uint32_t stream_id) {
    client->send(encode_request_frame(
        stream_id, {{"op", "lookup"}, {"call", format_call_id(stream_id)}, {"ttl", "2900"}}, "SELECT 1"));
  }

  ScriptedLineEngine engine_a;
  ScriptedLineEngine engine_b;
  DispatcherProcess process;
  std::optional<FramesClient> client;

 private:
  [[nodiscard]] EngineEndpoint endpoint(const std::string& id, EngineState state) const {
    EngineEndpoint endpoint;
    endpoint.id = id;
    endpoint.address = {kLoopbackAddress, id == "a" ? engine_a.port() : engine_b.port()};
    endpoint.zone = "z";
    endpoint.machine_type = "m";
    endpoint.state = state;
    return endpoint;
  }

  template <class Condition>
  static void wait_until(Condition condition) {
    const auto deadline = Clock::now() + kWaitLimit;
    while (!condition()) {
      require(Clock::now() < deadline, "condition not met within the wait limit");
      std::this_thread::sleep_for(1ms);
    }
  }

  TemporaryDirectory directory_;
  FakeDiscoveryServer discovery_;
};

TEST_CASE("drains: a list of the previous run does not hide a drain announced after a restart") {
  DrainFixture fixture;
  fixture.answer_one_poll_with_list_of_previous_run();
  fixture.announce_drain(kPollsOfGracePeriod);
  fixture.connect_client();
  constexpr std::uint32_t kLookups = 5;
  for (std::uint32_t stream_id = 1; stream_id <= kLookups; ++stream_id) fixture.submit_lookup(stream_id);
  const auto late_request = fixture.engine_a.next_command(300ms);
  INFO(fixture.process.log());
  CHECK_FALSE(late_request);
  CHECK(fixture.engine_b.next_command(kWaitLimit));
}

TEST_CASE("drains: the grace period counts from a lost announcement, even if older lists follow it") {
  DrainFixture fixture;
  fixture.submit_request_that_waits_for_engine_a();
  const auto announced_at = fixture.announce_drain_in_lost_response();
  fixture.answer_polls_with_older_list(kOlderResponses);
  fixture.answer_polls_with_current_list(kPollsUntilGraceIsOver);
  fixture.engine_a.drain_accept_queue();

  REQUIRE((Clock::now() - announced_at > kGracePeriod + kGraceSlack));
  // The kernel retries the connect after a second or two.
  const auto late_request = fixture.engine_a.next_command(2500ms);
  INFO(fixture.process.log());
  CHECK_FALSE(late_request);
  if (late_request) return;
  const auto request = fixture.engine_b.next_command(kWaitLimit);
  REQUIRE(request);
  CHECK(request->starts_with("REQ "));
  fixture.engine_b.send(fixture.engine_b.format_response("data", "parts=1", "ok\n"));
  const auto response = fixture.client->next_frame();
  REQUIRE(response);
  CHECK(response->payload.front() == static_cast<char>(frames::kServed));
}

}  // namespace
}  // namespace rookproxy::test
