// Attempts from their start to their end, with real connections, where the test decides in which order events
// happen.
#include <sys/socket.h>

#include <catch2/catch.hpp>
#include <string>
#include <thread>
#include <vector>

#include "fakes/test_connection.h"
#include "net/sockets.h"
#include "support/descriptor_limit.h"
#include "support/dispatcher_fixture.h"
#include "support/recording_engine.h"

using namespace rookproxy;
using namespace std::chrono_literals;
using test::DispatcherFixture;
using test::make_limits;
using test::RecordingEngine;

namespace {

constexpr auto kUp = routing::EngineState::kServing;
constexpr auto kDraining = routing::EngineState::kDraining;

// The engine is the only one, and has served request 1.
void open_idle_connection(DispatcherFixture& fixture, RecordingEngine& engine) {
  fixture.update_endpoints({{&engine, kUp}});
  fixture.submit("safe");
  REQUIRE(fixture.run_until_request(engine, "1"));
  engine.serve("1");
  REQUIRE(fixture.run_until_response(1));
}

}  // namespace

TEST_CASE("event order: no attempt leaves for a client that disconnected while it waited, in any class") {
  // Guards against a load that was left to run although no byte of it had left, up to a connect's time later.
  for (const char* class_name : {"safe", "unsafe", "anywhere", "cell"}) {
    INFO(class_name);
    RecordingEngine a;
    DispatcherFixture fixture;
    fixture.update_endpoints({{&a, kUp}});
    a.block_connects();
    const RequestKey cancelled = fixture.submit(class_name);
    fixture.cancel(cancelled);
    fixture.process_events();
    CHECK(fixture.open_request_count() == 0);  // released at once, not when its connect ends
    fixture.submit("safe");
    a.unblock_connects();
    REQUIRE(fixture.run_until_request(a, fixture.last_id()));
    CHECK(a.ids() == std::vector<std::string>{fixture.last_id()});
  }
}

TEST_CASE("event order: no attempt leaves for a client that disconnects while it is queued behind another") {
  for (const char* class_name : {"safe", "unsafe"}) {
    INFO(class_name);
    RecordingEngine a;
    DispatcherFixture fixture;
    fixture.update_endpoints({{&a, kUp}});
    fixture.submit("safe", 8s, 16u << 20);  // more than the kernel takes
    const std::string first = fixture.last_id();
    REQUIRE(fixture.run_until_connection(a));
    fixture.cancel(fixture.submit(class_name));
    fixture.submit("safe");
    const std::string last = fixture.last_id();
    REQUIRE(fixture.run_until_request(a, last));
    CHECK(a.ids() == std::vector<std::string>{first, last});
  }
}

TEST_CASE("event order: no first byte after deadline, grace period or window, even if timers are late") {
  // A connection that is established late is reported before the timers that should have cancelled its
  // attempt.
  enum class Limit { kDeadline, kDrain, kWindow, kRemoved };
  for (const Limit limit : {Limit::kDeadline, Limit::kDrain, Limit::kWindow, Limit::kRemoved}) {
    INFO("limit " << static_cast<int>(limit));
    RecordingEngine a;
    RecordingEngine b;
    DispatcherFixture fixture;
    fixture.update_endpoints({{&a, kUp}});
    std::string id;
    b.block_connects();
    if (limit == Limit::kWindow) {
      fixture.submit("cell");
      id = fixture.last_id();
      REQUIRE(fixture.run_until_request(a, id));
      fixture.update_endpoints({{&b, kUp}});
      a.reset(id);
      // In that iteration it is retried, and waits for its connection.
      REQUIRE(fixture.run_until_log("reset"));
    } else {
      fixture.update_endpoints({{&b, kUp}});
      fixture.submit("safe", limit == Limit::kDeadline ? 700ms : 8s);
      id = fixture.last_id();
      if (limit == Limit::kDrain) fixture.update_endpoints({{&a, kUp}, {&b, kDraining}});
    }
    b.unblock_connects();
    if (limit == Limit::kRemoved) fixture.update_endpoints({{&a, kUp}});
    // The busy iteration; meanwhile the kernel has tried again and connected.
    std::this_thread::sleep_for(1300ms);
    const bool goes_elsewhere = limit == Limit::kDrain || limit == Limit::kRemoved;
    REQUIRE(fixture.run_until([&] {
      if (b.has(id)) return true;
      return goes_elsewhere ? a.has(id) : fixture.has_response(1);
    }));
    fixture.update_endpoints({{&b, kUp}});
    fixture.submit("safe");
    // Whatever was to leave for 'b' before this has left.
    REQUIRE(fixture.run_until_request(b, fixture.last_id()));
    CHECK_FALSE(b.has(id));
  }
}

TEST_CASE("event order: a waiting attempt ends when it may no longer start, not when its connect ends") {
  RecordingEngine a;
  RecordingEngine b;
  DispatcherFixture fixture;
  b.block_connects();
  fixture.update_endpoints({{&a, kUp}});
  fixture.submit("cell");
  REQUIRE(fixture.run_until_request(a, "1"));
  fixture.update_endpoints({{&b, kUp}});
  a.reset("1");
  const Time start = fixture.now();
  REQUIRE(fixture.run_until_response(1));
  CHECK(fixture.status(1) == ResponseStatus::kFailed);  // it may have run, and must not run elsewhere
  CHECK(fixture.now() - start < 4s);                    // its window is 0.8 s, its connect's time 9 s
}

TEST_CASE(
    "event order: a response that stalls or never ends closes its connection, whatever else comes on it") {
  struct Row {
    const char* starts;
    const char* continues;  // every few milliseconds
    bool others_leave;      // meanwhile requests on the same connection are cancelled
  };
  for (const Row& row : {
           Row{"1 data parts=1 100\r\nhalf", "", true},
           Row{"1 data parts=1 50000\r\nhalf", "x", false},
           Row{"1 da", "", true},
           Row{"1 data parts=3 3\r\nok\n\r\n", "2 news detail=frac,value=0.5 0\r\n\r\n", false},
           Row{"1 data parts=3 3\r\nok\n\r\n", "1 news detail=frac,value=0.5 0\r\n\r\n", false},
           Row{"1 data parts=3 3\r\nok\n\r\n", "1 page part_no=0 3\r\nok\n\r\n", false},
           Row{"1 data parts=3 3\r\nok\n\r\n", "stranger page part_no=1 3\r\nok\n\r\n", false},
           Row{"1 data parts=3 3\r\nok\n\r\n", "", true},
       }) {
    INFO(row.starts << " then " << row.continues);
    RecordingEngine a;
    DispatcherFixture fixture;
    fixture.update_endpoints({{&a, kUp}});
    fixture.submit("unsafe");
    fixture.submit("unsafe");
    REQUIRE(fixture.run_until_request_count(a, 2));
    REQUIRE(&a.connection_of("1") == &a.connection_of("2"));
    a.connection_of("1").send(row.starts);
    const Time start = fixture.now();
    RequestKey other = 0;
    int steps = 0;
    REQUIRE(fixture.run_until([&] {
      a.read_all();
      if (fixture.has_response(1) || a.connection_of("1").has_ended()) return true;
      a.connection_of("1").send(row.continues);
      if (row.others_leave && ++steps % 10 == 0) {
        if (other) fixture.cancel(other);
        other = fixture.submit("safe");
      }
      return false;
    }));
    REQUIRE(fixture.run_until_response(1));
    REQUIRE(fixture.run_until_response(2));
    CHECK(fixture.status(1) == ResponseStatus::kFailed);
    CHECK(fixture.now() - start < 3s);  // due within 0.3 s; the request's own timeout is 8 s
  }
}

TEST_CASE("event order: a response in pages may take its time, and updates of others come in between") {
  RecordingEngine a;
  DispatcherFixture fixture;
  fixture.update_endpoints({{&a, kUp}});
  fixture.submit("safe");
  fixture.submit("unsafe");
  REQUIRE(fixture.run_until_request_count(a, 2));
  a.connection_of("1").send("1 data parts=4 1\r\na\r\n");
  for (int page = 1; page < 4; ++page) {  // each later than half of the page timeout
    fixture.run_for(170ms);
    a.connection_of("2").send("2 news detail=frac,value=0.5 0\r\n\r\n");
    a.connection_of("1").send("1 page part_no=" + std::to_string(page) + " 1\r\nb\r\n");
  }
  REQUIRE(fixture.run_until_response(1));
  CHECK(fixture.response(1)->body == "abbb");
  a.serve("2");
  REQUIRE(fixture.run_until_response(2));
  CHECK(fixture.status(2) == ResponseStatus::kServed);
}

TEST_CASE(
    "event order: cut after each byte, a response ends its request, and a non-idempotent one ran once") {
  const std::string response = "1 data parts=2 3\r\nok\n\r\n1 page part_no=1 2\r\nk\n\r\n";
  PoolLimits limits = make_limits();
  limits.response_timeout = 20ms;
  limits.page_timeout = 20ms;
  for (const bool closes : {false, true}) {
    for (std::size_t cut = 1; cut < response.size(); ++cut) {
      INFO("after " << cut << (closes ? ", closed" : ", silent"));
      RecordingEngine a;
      RecordingEngine b;
      DispatcherFixture fixture(limits);
      fixture.update_endpoints({{&a, kUp}});
      fixture.submit("unsafe");
      REQUIRE(fixture.run_until_request(a, "1"));
      fixture.update_endpoints({{&a, kUp}, {&b, kUp}});
      a.connection_of("1").send(response.substr(0, cut));
      if (closes) a.connection_of("1").close();
      REQUIRE(fixture.run_until_response(1));
      CHECK(fixture.status(1) == ResponseStatus::kFailed);
      CHECK(b.ids().empty());
    }
  }
}

TEST_CASE("event order: resource exhaustion on this side does not count against an engine") {
  SECTION("at the most connections") {
    PoolLimits limits = make_limits();
    limits.max_connections = 1;
    limits.max_streams_per_connection = 1;
    limits.preferred_streams_per_connection = 1;
    RecordingEngine a;
    DispatcherFixture fixture(limits);
    fixture.update_endpoints({{&a, kUp}});
    fixture.submit("unsafe");
    fixture.submit("unsafe");
    REQUIRE(fixture.run_until_request(a, "1"));
    fixture.run_for(20ms);
    CHECK(fixture.engines_avoided() == 0);
    CHECK_FALSE(fixture.has_response(2));
    a.serve("1");
    REQUIRE(fixture.run_until_request(a, "2"));  // it waited for a free connection
    CHECK(a.connection_count() == 1);
  }
  SECTION("out of descriptors") {
    RecordingEngine a;
    RecordingEngine b;
    DispatcherFixture fixture;
    fixture.update_endpoints({{&a, kUp}});
    std::size_t engines_avoided = 0;
    bool has_response = false;
    {
      const test::DescriptorExhaustion exhaustion;
      fixture.submit("unsafe");
      fixture.run_for(20ms);
      engines_avoided = fixture.engines_avoided();
      has_response = fixture.has_response(1);
    }
    CHECK(engines_avoided == 0);
    CHECK_FALSE(has_response);
    CHECK(fixture.run_until_request(a, "1"));
  }
}

TEST_CASE("event order: a byte with the kernel means 'may have run', none means 'never ran'") {
  for (const char* class_name : {"safe", "unsafe"}) {
    INFO(class_name);
    const bool unsafe = std::string(class_name) == "unsafe";
    SECTION(std::string("reset long after it was written, ") + class_name) {
      RecordingEngine a;
      RecordingEngine b;
      DispatcherFixture fixture;
      fixture.update_endpoints({{&a, kUp}});
      fixture.submit(class_name);
      REQUIRE(fixture.run_until_request(a, "1"));
      fixture.update_endpoints({{&a, kUp}, {&b, kUp}});
      fixture.run_for(300ms);
      a.reset("1");
      REQUIRE(fixture.run_until([&] {
        if (fixture.has_response(1) || b.has("1")) return true;
        return a.ids().size() == 2;  // its first attempt, and another
      }));
      CHECK(fixture.has_response(1) == unsafe);
      if (unsafe) CHECK(fixture.status(1) == ResponseStatus::kFailed);
    }
    SECTION(std::string("an idle connection reset before it is written to, ") + class_name) {
      RecordingEngine a;
      DispatcherFixture fixture;
      open_idle_connection(fixture, a);
      a.reset("1");
      fixture.submit(class_name);  // the reset has arrived and is not read yet
      REQUIRE(fixture.run_until_request(a, "2"));
      CHECK_FALSE(fixture.has_response(2));
    }
    SECTION(std::string("an idle connection closed as it is written to, ") + class_name) {
      RecordingEngine a;
      DispatcherFixture fixture;
      open_idle_connection(fixture, a);
      ::shutdown(a.connection_of("1").fd().get(), SHUT_WR);
      fixture.submit(class_name);  // the kernel takes it: the engine may have read it before it closed
      REQUIRE(fixture.run_until([&] {
        if (fixture.has_response(2)) return true;
        return a.ids().size() == 3;
      }));
      CHECK(fixture.has_response(2) == unsafe);
      if (unsafe) CHECK(fixture.status(2) == ResponseStatus::kFailed);
    }
    SECTION(std::string("a connect that times out, ") + class_name) {
      PoolLimits limits = make_limits();
      limits.connect_timeout = 50ms;
      RecordingEngine a;
      RecordingEngine b;
      DispatcherFixture fixture(limits);
      a.block_connects();
      fixture.update_endpoints({{&a, kUp}});
      fixture.submit(class_name);
      fixture.update_endpoints({{&a, kUp}, {&b, kUp}});
      REQUIRE(fixture.run_until_request(b, "1"));
    }
  }
}

TEST_CASE(
    "event order: second responses and responses to unsent attempts are dropped, on retired connections "
    "too") {
  RecordingEngine a;
  DispatcherFixture fixture;
  fixture.update_endpoints({{&a, kUp}});
  for (int i = 0; i < 3; ++i) fixture.submit("unsafe");
  REQUIRE(fixture.run_until_request_count(a, 3));
  a.serve("1");
  REQUIRE(fixture.run_until_response(1));
  a.connection_of("1").send("1 data parts=1 4\r\nlate\r\n1 failed - 0\r\n\r\n");
  a.serve("2");
  REQUIRE(fixture.run_until_response(2));
  CHECK(fixture.status(2) == ResponseStatus::kServed);
  CHECK(fixture.served("unsafe") == 2);
  // The engine moves to another address: attempts at the previous one still end there.
  RecordingEngine moved;
  const auto moved_endpoint = DispatcherFixture::make_endpoint(a.address().to_string(), moved.address(), kUp);
  fixture.update_endpoints(std::vector<EngineEndpoint>{moved_endpoint});
  moved.block_connects();
  fixture.submit("unsafe");
  a.connection_of("3").send("4 data parts=1 4\r\nelse\r\n");  // an id that waits for a connection elsewhere
  a.serve("3");
  REQUIRE(fixture.run_until_response(3));
  CHECK(fixture.status(3) == ResponseStatus::kServed);
  CHECK_FALSE(fixture.has_response(4));
}

TEST_CASE("event order: a response to an attempt that is still unsent ends nothing") {
  RecordingEngine a;
  DispatcherFixture fixture;
  fixture.update_endpoints({{&a, kUp}});
  fixture.submit("safe", 8s, 16u << 20);  // more than the kernel takes
  REQUIRE(fixture.run_until_connection(a));
  fixture.submit("unsafe");
  test::TestConnection connection(accept_connection(a.listener()));
  connection.send("2 data parts=1 5\r\nnever\r\n1 news - 0\r\n\r\n");
  a.add_connection(std::move(connection));
  REQUIRE(fixture.run_until_request(a, "2"));
  CHECK_FALSE(fixture.has_response(2));
  a.serve("2");
  REQUIRE(fixture.run_until_response(2));
  CHECK(fixture.response(2)->body == "ok\n");
}
