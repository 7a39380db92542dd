// Drains: how long an engine that is to take nothing more is still sent what waits for it.
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include "config/config.h"
#include "dispatcher/dispatcher.h"
#include "dispatcher/routing_time.h"
#include "fakes/sockets.h"
#include "fakes/test_connection.h"
#include "net/event_loop.h"
#include "net/file_descriptor.h"
#include "net/sockets.h"
#include "policy/drain.h"
#include "policy/poll_schedule.h"
#include "support/scenario.h"
#include "upstream/line_protocol_connection.h"

namespace rookproxy::test {
namespace {

using namespace std::chrono_literals;

// A deployment's settings, and until when a request may leave for a draining engine.
struct DrainCase {
  Duration poll;
  Duration grace_period;
  Duration latest_start;  // after the engine was listed as draining
};

// A dispatcher whose one engine the test lists; it records when the engine takes no new attempts any more.
class DrainFixture final : private EngineTransport {
 public:
  explicit DrainFixture(const routing::Settings& settings)
      : log_(log_text_, LogLevel::kDebug, "h", "a"),
        dispatcher_(loop_, log_, metrics_, settings, {kZone}, {}) {
    dispatcher_.set_transport(*this);
    loop_.on_iteration_end([this] {
      dispatcher_.process_events();
    });
  }

  void list_engine(routing::EngineState state, std::optional<Time> listed_at = std::nullopt) {
    EngineEndpoint endpoint;
    endpoint.id = "a";
    endpoint.address = {kLoopbackAddress, 1};
    endpoint.state = state;
    endpoint.zone = kZone;
    endpoint.machine_type = "engine-a";
    dispatcher_.update_endpoints({endpoint}, false, listed_at);
    dispatcher_.process_events();
  }

  // Lists the engine as serving and then as draining.
  void drain_engine() {
    list_engine(routing::EngineState::kServing);
    list_engine(routing::EngineState::kDraining);
  }

  void change_settings(const routing::Settings& settings) {
    dispatcher_.change_settings(settings, {kZone}, {});
  }

  void run_until(Time end) {
    loop_.run_at(end, [this] {
      loop_.stop();
    });
    loop_.run();
  }

  [[nodiscard]] Time now() const { return loop_.now(); }
  [[nodiscard]] const std::vector<Time>& stopped_at() const { return stopped_at_; }

 private:
  static constexpr const char* kZone = "addis-dc1";

  void send(const AttemptRequest&) override {}
  bool cancel(AttemptKey) override { return false; }
  bool cancel_if_unsent(AttemptKey) override { return false; }
  void set_priority(AttemptKey, int) override {}
  void probe(EngineId) override {}
  void set_engine_address(EngineId, const SocketAddress&) override {}
  void stop_new_attempts(EngineId) override { stopped_at_.push_back(loop_.now()); }

  std::ostringstream log_text_;
  EventLoop loop_;
  Logger log_;
  Metrics metrics_;
  Dispatcher dispatcher_;
  std::vector<Time> stopped_at_;
};

routing::Settings settings_with_grace(Duration grace_period) {
  auto settings = read_config(read_toml(ROOKPROXY_ROOT "/deploy/mysql.toml")).settings;
  settings.drain_grace_period = to_routing_duration(grace_period);
  return settings;
}

// Stands in for the dispatcher behind a connection pool, and records how attempts end.
struct RecordingCallbacks final : EngineTransportCallbacks {
  bool may_start(AttemptKey) override { return !is_engine_closed; }
  void on_attempt_ended(AttemptKey, AttemptResult result) override { outcomes.push_back(result.outcome); }
  void on_attempt_note(AttemptKey, routing::AttemptUpdateKind, double) override {}
  void on_probe_ended(EngineId, Outcome, std::optional<LoadReport>) override {}

  bool is_engine_closed = false;
  std::vector<Outcome> outcomes;
};

AttemptRequest make_attempt(RequestKey key, Time deadline) {
  auto query = std::make_shared<Query>();
  query->id = std::to_string(key);
  query->class_name = "q";
  AttemptRequest attempt;
  attempt.key = {key, 0};
  attempt.query = query;
  attempt.deadline = deadline;
  return attempt;
}

// A pool with one engine that serves its first request and then resets the connection.
class ResettingEngineFixture {
 public:
  ResettingEngineFixture() { pool_.set_engine_address(0, {kLoopbackAddress, local_port(listener_)}); }

  // Sends a second request over the connection that is reset, and closes the engine before it could connect
  // anew.
  void run() {
    pool_.send(make_attempt(1, loop_.now() + 1s));
    loop_.run_at(loop_.now(), [this] {
      serve_until_first_end();
    });
    loop_.run();
  }

  [[nodiscard]] bool was_reset() const { return was_reset_; }
  [[nodiscard]] const std::vector<Outcome>& outcomes() const { return callbacks_.outcomes; }
  [[nodiscard]] bool has_new_connection() const { return wait_until_readable(listener_, 0ms); }

 private:
  void serve_until_first_end() {
    if (!engine_ && wait_until_readable(listener_, 0ms)) engine_.emplace(accept_connection(listener_));
    const bool has_request = engine_ && engine_->read_more(1ms) && callbacks_.outcomes.empty();
    if (has_request) engine_->send("1 data parts=1 0\r\n\r\n");
    if (callbacks_.outcomes.empty()) {
      loop_.run_at(loop_.now() + 1ms, [this] {
        serve_until_first_end();
      });
    } else {
      reset_and_send_next();
    }
  }

  void reset_and_send_next() {
    set_reset_on_close(engine_->fd());
    engine_->close();
    pool_.send(make_attempt(2, loop_.now() + 1s));
    loop_.defer([this] {
      callbacks_.is_engine_closed = true;
      pool_.stop_new_attempts(0);
    });
    was_reset_ = true;
    loop_.run_at(loop_.now() + 100ms, [this] {
      loop_.stop();
    });
  }

  RecordingCallbacks callbacks_;
  std::ostringstream log_text_;
  EventLoop loop_;
  Logger log_{log_text_, LogLevel::kDebug, "h", "a"};
  Metrics metrics_;
  LineProtocolPool pool_{loop_, log_, callbacks_, metrics_, {}};
  FileDescriptor listener_ = listen_on_free_port();
  std::optional<TestConnection> engine_;
  bool was_reset_ = false;
};

TEST_CASE("drains: the last send by a deployment's grace and how often its directory is asked") {
  // One answer may be lost and the next comes 1.1 polls later; an iteration takes 30 ms.
  for (const auto& [poll, grace_period, latest_start] :
       {DrainCase{200ms, 1s, 750ms}, DrainCase{200ms, 2s, 1750ms}, DrainCase{20ms, 1s, 948ms},
        DrainCase{0ms, 1s, 970ms}, DrainCase{1s, 1s, 0ms}, DrainCase{200ms, 0s, 0ms}}) {
    INFO(poll.count() << " " << grace_period.count());
    const Duration margin = policy::drain_margin(policy::PollSchedule(poll).max_pause());
    CHECK(policy::latest_drain_start(Time(5s), grace_period, margin) == Time(5s + latest_start));
  }
}

TEST_CASE("drains: what waits for an engine may leave for most of the grace, whatever its length") {
  // Guards against a margin that takes nearly half of a grace of one second.
  for (const Duration grace_period : {Duration(1s), Duration(2s)}) {
    DrainFixture fixture(settings_with_grace(grace_period));
    fixture.drain_engine();
    const Time listed_at = fixture.now();
    fixture.run_until(listed_at + grace_period);
    REQUIRE(fixture.stopped_at().size() == 1);
    CHECK(fixture.stopped_at()[0] - listed_at >= grace_period - 300ms);
  }
}

TEST_CASE("drains: one that is heard late ends when it would have, had it been heard") {
  // Guards against a request that waits for its connection and leaves a whole grace after the word, when the
  // answer that held the word was lost.
  for (const Duration delay : {Duration(500ms), Duration(5s)}) {
    DrainFixture fixture(settings_with_grace(1s));
    fixture.list_engine(routing::EngineState::kServing);
    const Time received_at = fixture.now();
    fixture.list_engine(routing::EngineState::kDraining, received_at - delay);
    fixture.run_until(received_at + 1s);
    REQUIRE(fixture.stopped_at().size() == 1);
    // A whole grace from the listing on, less the margin: 750 ms.
    CHECK((fixture.stopped_at()[0] < received_at + 650ms));
  }
}

TEST_CASE("drains: a grace that a change of settings makes shorter holds for drains under way") {
  DrainFixture fixture(settings_with_grace(60s));
  fixture.drain_engine();
  fixture.change_settings(settings_with_grace(300ms));
  fixture.run_until(fixture.now() + 2s);
  CHECK_FALSE(fixture.stopped_at().empty());
}

TEST_CASE("drains: a request between two connections does not dial an engine that has been closed") {
  // Guards against a first byte after the grace, over a connection that is made then.
  ResettingEngineFixture fixture;
  fixture.run();
  REQUIRE(fixture.was_reset());
  REQUIRE(fixture.outcomes().size() == 2);
  CHECK(fixture.outcomes()[1] == Outcome::kNotSent);  // nothing is held against the engine
  CHECK_FALSE(fixture.has_new_connection());
}

TEST_CASE(
    "drains: a request whose connection comes up after a short grace goes elsewhere, within a long one it "
    "runs") {
  // The kernel tries again a second after a full queue dropped the first try: over a grace of 0.5 s, within 5
  // s.
  const std::string begin = R"(
    engines a b
    set /directory_poll_ms 200
    set /settings/permissions/dial_timeout 5000000
    set /settings/safety/drain_grace )";
  const std::string until_it_waits = R"(
    start
    directory a=up
    fill a
    client c
    send c request 1 load 9000 INSERT INTO s_1.t VALUES (1)
    send c ready 1
    expect c ready 0
    directory a=draining b=up
    let a)";
  run_scenario(begin + "500000" + until_it_waits + R"(
    expect b REQ
    answer b c 1 ok\n
    expect a nothing 1000)");
  run_scenario(begin + "5000000" + until_it_waits + R"(
    expect a REQ
    answer a c 1 ok\n)");
}

}  // namespace
}  // namespace rookproxy::test
