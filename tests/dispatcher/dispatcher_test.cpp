// Tests the dispatcher with a simulated frontend and simulated engines.
#include "dispatcher/dispatcher.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "config/config.h"
#include "net/event_loop.h"
#include "net/socket_address.h"
#include "support/run_until.h"

using namespace rookproxy;
using namespace std::chrono_literals;
using routing::EngineState;

namespace {

constexpr auto kServingState = EngineState::kServing;

routing::Settings example_settings() {
  return read_config(read_toml(ROOKPROXY_ROOT "/deploy/mysql.toml")).settings;
}

EngineEndpoint make_endpoint(const std::string& id, EngineState state,
                             std::optional<Time> started_at = std::nullopt) {
  EngineEndpoint endpoint;
  endpoint.id = id;
  endpoint.address = {0x7f000001, 1};
  endpoint.state = state;
  endpoint.zone = "addis-dc1";
  endpoint.machine_type = "engine-a";
  endpoint.started_at = started_at;
  return endpoint;
}

// A dispatcher whose frontend and engine connections only record calls.
struct DispatcherFixture final : ResponseHandler, EngineTransport {
  explicit DispatcherFixture(const routing::Settings& settings = example_settings())
      : log(log_text, LogLevel::kDebug, "h", "a"),
        dispatcher(loop, log, metrics, settings, {"addis-dc1"}, {}, memory) {
    dispatcher.set_transport(*this);
    loop.on_iteration_end([this] { dispatcher.process_events(); });
  }

  void update_endpoints(const std::vector<EngineEndpoint>& endpoints) {
    dispatcher.update_endpoints(endpoints, false);
    dispatcher.process_events();
  }

  RequestKey submit(IncomingRequest incoming) {
    const RequestKey key = dispatcher.submit(incoming, *this, ++submitted);
    dispatcher.process_events();
    return key;
  }

  RequestKey submit(const char* class_name, Duration timeout = 3s) {
    IncomingRequest incoming;
    incoming.query = std::make_shared<Query>();
    incoming.class_index = *dispatcher.find_class(class_name);
    incoming.table_group = 1;
    incoming.deadline = loop.now() + timeout;
    return submit(incoming);
  }

  void end_attempt(AttemptKey key, Outcome outcome, std::string body = "") {
    dispatcher.on_attempt_ended(key, {outcome, std::nullopt, std::move(body)});
  }

  template <class Condition>
  bool run_until(Condition condition) {
    return test::run_until(loop, condition);
  }
  void run_for(Duration duration) {
    const Time start = loop.now();
    run_until([&] { return loop.now() - start > duration; });
  }

  ResponseStatus on_response(std::uint64_t, Response response) override {
    responses.push_back(std::move(response));
    return responses.back().status;
  }
  void send(const AttemptRequest& attempt) override { attempts.push_back(attempt); }
  bool cancel(AttemptKey key) override {
    cancelled.push_back(key);
    return attempts_are_unsent;
  }
  bool cancel_if_unsent(AttemptKey key) override { return attempts_are_unsent && cancel(key); }
  void set_priority(AttemptKey, int) override {}
  void probe(EngineId) override {}
  void set_engine_address(EngineId, const SocketAddress&) override {}
  void stop_new_attempts(EngineId engine) override { stopped_engines.push_back(engine); }

  std::ostringstream log_text;
  EventLoop loop;
  Logger log;
  Metrics metrics;
  std::shared_ptr<policy::MemoryLedger> memory = std::make_shared<policy::MemoryLedger>();
  Dispatcher dispatcher;
  std::uint64_t submitted = 0;
  bool attempts_are_unsent = false;
  std::vector<Response> responses;
  std::vector<AttemptRequest> attempts;
  std::vector<AttemptKey> cancelled;
  std::vector<EngineId> stopped_engines;
};

}  // namespace

TEST_CASE("dispatcher: a read cancelled because of a load is not resent in the same iteration") {
  // Guards against a request that spends all its attempts within a few milliseconds.
  DispatcherFixture fixture;
  fixture.update_endpoints({make_endpoint("a", kServingState), make_endpoint("b", kServingState)});
  const RequestKey key = fixture.submit("lookup");
  REQUIRE(fixture.attempts.size() == 1);
  fixture.dispatcher.on_attempt_update({key, 0}, routing::AttemptUpdateKind::kWaitingForLoad, 2);
  fixture.dispatcher.process_events();
  REQUIRE(fixture.cancelled.size() == 1);
  CHECK(fixture.attempts.size() == 1);
  CHECK(fixture.run_until([&] { return fixture.attempts.size() == 2; }));
  CHECK(fixture.attempts[1].engine != fixture.attempts[0].engine);
}

TEST_CASE("dispatcher: an attempt cancelled before it was sent does not eject its engine") {
  // Guards against an engine that is treated as unreachable because a client disconnected during a connect.
  DispatcherFixture fixture;
  fixture.attempts_are_unsent = true;
  fixture.update_endpoints({make_endpoint("a", kServingState)});
  fixture.dispatcher.cancel_request(fixture.submit("lookup"));
  fixture.dispatcher.process_events();
  CHECK(fixture.run_until([&] { return fixture.cancelled.size() == 1; }));
  fixture.submit("load");  // It would be held if 'a' were ejected.
  CHECK(fixture.attempts.size() == 2);
}

TEST_CASE("dispatcher: after a stall past the deadline the router responds, not the deadline timer") {
  // Guards against the dispatcher's timer preempting the router when both are due in the same iteration.
  DispatcherFixture fixture;
  fixture.update_endpoints({make_endpoint("a", kServingState)});
  fixture.submit("lookup", 400ms);
  REQUIRE(fixture.attempts.size() == 1);
  fixture.loop.run_at(fixture.loop.now(), [] { std::this_thread::sleep_for(500ms); });
  CHECK(fixture.run_until([&] { return !fixture.responses.empty(); }));
  CHECK(fixture.responses.size() == 1);
  CHECK(fixture.log_text.str().find("without a routing decision") == std::string::npos);
}

TEST_CASE("dispatcher: repeated and late ends of attempts cause no second response") {
  DispatcherFixture fixture;
  fixture.update_endpoints({make_endpoint("a", kServingState)});
  const RequestKey key = fixture.submit("lookup");
  fixture.end_attempt({key, 0}, Outcome::kServed, "rows");
  fixture.end_attempt({key, 0}, Outcome::kServed, "rows again");
  fixture.dispatcher.process_events();
  fixture.end_attempt({key, 0}, Outcome::kError);
  fixture.end_attempt({key + 1, 7}, Outcome::kServed, "unknown");
  fixture.dispatcher.process_events();
  REQUIRE(fixture.responses.size() == 1);
  CHECK(fixture.responses[0].body == "rows");
}

TEST_CASE("dispatcher: unsent attempts for a draining engine are stopped before the grace period ends") {
  DispatcherFixture fixture;
  fixture.update_endpoints({make_endpoint("a", kServingState)});
  fixture.update_endpoints({make_endpoint("a", EngineState::kDraining)});  // No engine is serving now.
  const Time announced_at = fixture.loop.now();
  CHECK(fixture.stopped_engines.empty());
  CHECK(fixture.run_until([&] { return !fixture.stopped_engines.empty(); }));
  CHECK(fixture.stopped_engines == std::vector<EngineId>{0});
  CHECK(fixture.loop.now() - announced_at >= 1s);
}

TEST_CASE("dispatcher: unsent attempts for a draining engine are stopped at once if another engine serves") {
  // Guards against attempts that keep waiting although the grace period may have started with a lost
  // response.
  DispatcherFixture fixture;
  fixture.update_endpoints({make_endpoint("a", kServingState)});
  fixture.update_endpoints({make_endpoint("a", EngineState::kDraining)});
  CHECK(fixture.stopped_engines.empty());
  fixture.update_endpoints({make_endpoint("a", EngineState::kDraining), make_endpoint("b", kServingState)});
  CHECK(fixture.stopped_engines == std::vector<EngineId>{0});
  fixture.update_endpoints({make_endpoint("a", kServingState), make_endpoint("b", kServingState)});
  fixture.update_endpoints({make_endpoint("a", EngineState::kDraining), make_endpoint("b", kServingState)});
  CHECK(fixture.stopped_engines == std::vector<EngineId>{0, 0});  // Also for a second drain.
}

TEST_CASE("dispatcher: a request beyond the buffer limit is rejected with a retry time and never sent") {
  DispatcherFixture fixture;
  fixture.memory->set_limit(policy::MemoryUse::kStatements, 32u << 20);
  fixture.update_endpoints({make_endpoint("a", kServingState)});
  auto query = std::make_shared<Query>();
  query->statement.assign(64u << 20, 'x');
  IncomingRequest incoming;
  incoming.query = query;
  incoming.deadline = fixture.loop.now() + 3s;
  fixture.dispatcher.submit(incoming, fixture, 1);
  CHECK(fixture.run_until([&] { return !fixture.responses.empty(); }));
  CHECK(fixture.responses[0].status == ResponseStatus::kRejected);
  CHECK(fixture.responses[0].retry_after);
  CHECK(fixture.attempts.empty());
}

TEST_CASE("dispatcher: a statement is counted until the last connection to an engine has let go of it") {
  // Guards against statements of clients that have left, which engine connections go on sending uncounted.
  DispatcherFixture fixture;
  fixture.update_endpoints({make_endpoint("a", kServingState)});
  IncomingRequest incoming;
  incoming.query = std::make_shared<Query>();
  incoming.query->statement.assign(1000, 'x');
  incoming.query->parameters.assign(20, 'p');
  incoming.deadline = fixture.loop.now() + 3s;
  const RequestKey key = fixture.submit(incoming);
  incoming.query.reset();
  REQUIRE(fixture.run_until([&] { return fixture.attempts.size() == 1; }));
  const auto held = [&] { return fixture.memory->held(policy::MemoryUse::kStatements); };
  CHECK(held() == 1020);
  fixture.dispatcher.cancel_request(key);
  fixture.dispatcher.process_events();
  fixture.end_attempt(fixture.attempts[0].key, Outcome::kServed);
  REQUIRE(fixture.run_until([&] { return fixture.dispatcher.open_request_count() == 0; }));
  CHECK(held() == 1020);
  fixture.attempts.clear();
  CHECK(held() == 0);
}

TEST_CASE("dispatcher: open requests keep their class settings, and unused class indexes are reused") {
  // Guards against running a write twice after a settings change, and against a class table that grows with
  // each reload.
  DispatcherFixture fixture;
  fixture.update_endpoints({make_endpoint("a", kServingState), make_endpoint("b", kServingState)});
  auto settings = example_settings();
  const RequestKey load = fixture.submit("load", 9s);
  const RequestKey read = fixture.submit("lookup", 9s);
  REQUIRE(fixture.attempts.size() == 2);
  std::swap(settings.classes[0].idempotency, settings.classes[1].idempotency);
  DispatcherLimits limits;
  limits.settings_transition_time = 1ms;
  fixture.dispatcher.change_settings(settings, {"addis-dc1"}, limits);
  fixture.end_attempt({load, 0}, Outcome::kConnectionLost);
  fixture.end_attempt({read, 0}, Outcome::kConnectionLost);
  fixture.dispatcher.process_events();
  REQUIRE(fixture.responses.size() == 1);  // The response to the load.
  CHECK(fixture.responses[0].status == ResponseStatus::kFailed);
  CHECK(fixture.run_until([&] { return fixture.attempts.size() == 3; }));
  CHECK(fixture.attempts[2].key.request == read);
  fixture.end_attempt(fixture.attempts[2].key, Outcome::kServed, "rows");
  fixture.dispatcher.process_events();
  routing::ClassIndex highest_index = 0;
  for (int i = 0; i < 50; ++i) {
    settings.max_attempts = 2 + i % 3;
    fixture.dispatcher.change_settings(settings, {"addis-dc1"}, limits);
    fixture.run_for(5ms);
    highest_index = std::max(
        {highest_index, *fixture.dispatcher.find_class("lookup"), *fixture.dispatcher.find_class("load")});
  }
  CHECK(highest_index < 6);
  CHECK(fixture.dispatcher.class_settings(*fixture.dispatcher.find_class("lookup")).idempotency ==
        routing::Idempotency::kNonIdempotent);
  CHECK(fixture.metrics.by_class["load"].failed == 1);
  CHECK(fixture.metrics.by_class["lookup"].served == 1);
}

TEST_CASE("dispatcher: two processes share the slow-start limit of an engine") {
  // Guards against overloading an engine in slow start while two processes run during an upgrade.
  const auto sent_by_one_of = [](std::size_t process_count) {
    auto settings = example_settings();
    settings.slow_start = routing::SlowStart{0.3, 15'000'000, 3, 1'500'000};
    DispatcherFixture fixture(settings);
    fixture.dispatcher.set_process_count(process_count);
    fixture.update_endpoints({});
    fixture.run_for(50ms);
    fixture.update_endpoints({make_endpoint("a", kServingState, fixture.loop.now())});
    for (int i = 0; i < 100; ++i) {
      IncomingRequest incoming;
      incoming.query = std::make_shared<Query>();
      incoming.table_group = 1;
      incoming.deadline = fixture.loop.now() + 3s;
      incoming.estimated_work = Duration(200ms);
      fixture.submit(incoming);
      if (!fixture.attempts.empty()) fixture.end_attempt(fixture.attempts.back().key, Outcome::kServed);
      fixture.dispatcher.process_events();
    }
    return fixture.attempts.size();
  };
  const std::size_t sent_by_only_process = sent_by_one_of(1);
  const std::size_t sent_by_one_of_two = sent_by_one_of(2);
  CHECK(sent_by_only_process > 10);
  CHECK(sent_by_one_of_two > 4);
  CHECK(sent_by_one_of_two <= sent_by_only_process / 2 + 1);
}
