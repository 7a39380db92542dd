// From an order to its first byte and to its end: core, links and real connections, in orders that the test
// decides.
#include <sys/resource.h>
#include <sys/socket.h>

#include <catch2/catch.hpp>
#include <sstream>
#include <thread>

#include "config/config.h"
#include "dispatcher/dispatcher.h"
#include "fakes/sockets.h"
#include "fakes/test_connection.h"
#include "upstream/lines.h"

using namespace rookproxy;
using namespace std::chrono_literals;
using rookproxy::routing::EngineState;
using rookproxy::routing::Idempotency;
using rookproxy::routing::IdempotencyScope;

namespace {

// An engine at a word: what reaches it is kept by connection, and it says what the test says.
struct Engine {
  FileDescriptor listener = test::listen_on_free_port();
  SocketAddress address{0x7f000001, local_port(listener)};
  std::vector<test::TestConnection> peers;
  std::vector<FileDescriptor> filling;
  // The kernel drops tries to connect, and the one who tries comes again a second later.
  void fill() {
    ::listen(listener.get(), 0);
    for (int i = 0; i < 8; ++i) filling.push_back(connect_tcp(address));
  }
  void let() {
    filling.clear();
    while (test::wait_until_readable(listener, 20ms)) accept_connection(listener);
    ::listen(listener.get(), 64);
  }
  void look() {
    while (test::wait_until_readable(listener, 0ms)) peers.emplace_back(accept_connection(listener));
    for (auto& peer : peers) {
      while (peer.fd() && !peer.has_ended() && peer.read_more(0ms)) continue;
    }
  }
  // The ids of all requests that reached it.
  std::vector<std::string> ids() {
    look();
    std::vector<std::string> ids;
    for (auto& peer : peers) {
      std::istringstream lines(peer.buffer());
      for (std::string line; std::getline(lines, line);) {
        if (line.starts_with("REQ ")) ids.push_back(line.substr(4, line.find(' ', 4) - 4));
      }
    }
    return ids;
  }
  bool has(const std::string& id) {
    const auto all = ids();
    return std::find(all.begin(), all.end(), id) != all.end();
  }
  test::TestConnection& peer_of(const std::string& id) {
    for (auto& peer : peers) {
      if (peer.buffer().find("REQ " + id + " ") != std::string::npos) return peer;
    }
    throw std::runtime_error("no such request");
  }
  void serve(const std::string& id) { peer_of(id).send(id + " data parts=1 3\r\nok\n\r\n"); }
  void reset(const std::string& id) {
    const linger at_once{1, 0};
    ::setsockopt(peer_of(id).fd().get(), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    peer_of(id).close();
  }
};

rookproxy::routing::Settings settings() {
  rookproxy::routing::Settings settings;
  settings.zones = 2;
  settings.max_attempts = 4;
  settings.drain_grace_period = to_routing_duration(Duration(500ms));
  settings.machine_types = {{"k", 8, 8000}};
  const auto add = [&](const char* name, Idempotency effect, std::optional<IdempotencyScope> scope,
                       Duration window) {
    rookproxy::routing::ClassSettings cls;
    cls.name = name, cls.idempotency = effect, cls.idempotency_scope = scope;
    cls.latency_objective = cls.timeout = to_routing_duration(Duration(9s));
    if (scope) cls.idempotency_window = to_routing_duration(window);
    settings.classes.push_back(cls);
  };
  add("safe", Idempotency::kIdempotent, std::nullopt, {});
  add("unsafe", Idempotency::kNonIdempotent, std::nullopt, {});
  add("anywhere", Idempotency::kKeyed, IdempotencyScope::kAll, 800ms);
  add("cell", Idempotency::kKeyed, IdempotencyScope::kCell, 800ms);
  settings.may_cancel = true;
  return settings;
}

PoolLimits limits() {
  PoolLimits limits;
  limits.max_streams_per_connection = limits.preferred_streams_per_connection = 8;
  limits.connect_timeout = 9s;
  limits.response_timeout = 100ms;
  limits.page_timeout = 300ms;
  limits.unresponsive_timeout = Duration(0);
  return limits;
}

struct Bench final : ResponseHandler {
  explicit Bench(PoolLimits limits = ::limits())
      : log(text, LogLevel::kDebug, "h", "a"),
        core(loop, log, figures, settings(), {"z0", "z1"}, {}),
        pool(loop, log, core, figures, limits) {
    core.set_transport(pool);
    loop.on_iteration_end([this] { core.process_events(); });
  }
  void list(const std::vector<std::pair<Engine*, EngineState>>& engines) {
    std::vector<EngineEndpoint> members;
    for (const auto& [engine, state] : engines) {
      members.push_back({engine->address.to_string(), engine->address, state, "z0", "k", 0, 1, std::nullopt});
    }
    core.update_endpoints(members, false);
    core.process_events();
  }
  RequestKey ask(const char* cls, Duration ttl = 8s, std::size_t bytes = 8) {
    auto query = std::make_shared<Query>();
    query->id = std::to_string(++asked);
    query->class_name = cls;
    query->statement.assign(bytes, 'x');
    answers.emplace_back();
    const RequestKey key = core.submit(
        {query, *core.find_class(cls), 1, loop.now() + ttl, Duration(1ms), {}, false, ""}, *this, asked);
    core.process_events();
    return key;
  }
  std::string last() const { return std::to_string(asked); }
  template <class Holds>
  bool run_until(Holds holds, Duration patience = Duration(test::kWaitLimit)) {
    const Time end = loop.now() + patience;
    bool held = false;
    std::function<void()> look = [&] {
      held = holds();
      if (held || loop.now() >= end) return loop.stop();
      loop.run_at(loop.now() + 1ms, look);
    };
    loop.run_at(loop.now(), look);
    loop.run();
    return held;
  }
  ResponseStatus on_response(std::uint64_t ticket, Response answer) override {
    answers[ticket - 1] = answer;
    return answer.status;
  }

  std::ostringstream text;
  EventLoop loop;
  Logger log;
  Metrics figures;
  Dispatcher core;
  LineProtocolPool pool;
  std::uint64_t asked = 0;
  std::vector<std::optional<Response>> answers;  // by ticket, from 1
};

constexpr auto kUp = EngineState::kServing, kDrains = EngineState::kDraining;

}  // namespace

TEST_CASE("orders: nothing leaves for a client that has gone while its order waited, of any class") {
  // Guards against a load that was 'let run to its end' before a byte of it had left, up to a dial's time
  // later.
  for (const char* cls : {"safe", "unsafe", "anywhere", "cell"}) {
    INFO(cls);
    Engine a;
    Bench bench;
    bench.list({{&a, kUp}});
    a.fill();
    const RequestKey gone = bench.ask(cls);
    bench.core.cancel_request(gone);
    bench.core.process_events();
    CHECK(bench.core.open_request_count() == 0);  // let go at once, not when its dial ends
    bench.ask("safe");
    a.let();
    REQUIRE(bench.run_until([&] { return a.has(bench.last()); }));
    CHECK(a.ids() == std::vector<std::string>{bench.last()});
  }
}

TEST_CASE("orders: nothing leaves for a client that goes while its order stands behind another's bytes") {
  for (const char* cls : {"safe", "unsafe"}) {
    INFO(cls);
    Engine a;
    Bench bench;
    bench.list({{&a, kUp}});
    bench.ask("safe", 8s, 16u << 20);  // more than the kernel takes
    const std::string first = bench.last();
    REQUIRE(bench.run_until([&] { return test::wait_until_readable(a.listener, 0ms); }));
    bench.core.cancel_request(bench.ask(cls));
    bench.ask("safe");
    const std::string kept = bench.last();
    REQUIRE(bench.run_until([&] { return a.has(kept); }));
    CHECK(a.ids() == std::vector<std::string>{first, kept});
  }
}

TEST_CASE(
    "orders: no first byte after deadline, grace or window, not even when a busy turn holds up timers") {
  // A connection that comes up late is heard of before the timers that should have taken its order back.
  enum class Limit { kDeadline, kDrain, kWindow, kGone };
  for (const Limit limit : {Limit::kDeadline, Limit::kDrain, Limit::kWindow, Limit::kGone}) {
    INFO("limit " << static_cast<int>(limit));
    Engine a, b;
    Bench bench;
    bench.list({{&a, kUp}});
    std::string id;
    b.fill();
    if (limit == Limit::kWindow) {
      bench.ask("cell");
      id = bench.last();
      REQUIRE(bench.run_until([&] { return a.has(id); }));
      bench.list({{&b, kUp}});
      a.reset(id);
      // In that turn it is sent on, and waits for its connection.
      REQUIRE(bench.run_until([&] { return bench.text.str().find("reset") != std::string::npos; }));
    } else {
      bench.list({{&b, kUp}});
      bench.ask("safe", limit == Limit::kDeadline ? 700ms : 8s);
      id = bench.last();
      if (limit == Limit::kDrain) bench.list({{&a, kUp}, {&b, kDrains}});
    }
    b.let();
    if (limit == Limit::kGone) bench.list({{&a, kUp}});
    std::this_thread::sleep_for(1300ms);  // the busy turn; meanwhile the kernel has tried again and connected
    const bool goes_elsewhere = limit == Limit::kDrain || limit == Limit::kGone;
    REQUIRE(bench.run_until(
        [&] { return b.has(id) || (goes_elsewhere ? a.has(id) : bench.answers[0].has_value()); }));
    bench.list({{&b, kUp}});
    bench.ask("safe");
    // What was to leave for 'b' before it has left.
    REQUIRE(bench.run_until([&] { return b.has(bench.last()); }));
    CHECK_FALSE(b.has(id));
  }
}

TEST_CASE("orders: one that waits is answered when it may no longer begin, not when its dial ends") {
  Engine a, b;
  Bench bench;
  b.fill();
  bench.list({{&a, kUp}});
  bench.ask("cell");
  REQUIRE(bench.run_until([&] { return a.has("1"); }));
  bench.list({{&b, kUp}});
  a.reset("1");
  const Time begun = bench.loop.now();
  REQUIRE(bench.run_until([&] { return bench.answers[0].has_value(); }));
  CHECK(bench.answers[0]->status ==
        ResponseStatus::kFailed);        // it may have run, and a repeat elsewhere may harm
  CHECK(bench.loop.now() - begun < 4s);  // of its window of 0.8 s, its dial's 9 s
}

TEST_CASE("orders: an answer that stops or never ends costs its connection, whatever else comes on it") {
  struct Row {
    const char* begins;
    const char* goes_on;  // every few milliseconds
    bool others_leave;    // meanwhile requests on the same connection are called off
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
    INFO(row.begins << " then " << row.goes_on);
    Engine a;
    Bench bench;
    bench.list({{&a, kUp}});
    bench.ask("unsafe");
    bench.ask("unsafe");
    REQUIRE(bench.run_until([&] { return a.ids().size() == 2; }));
    REQUIRE(&a.peer_of("1") == &a.peer_of("2"));
    a.peer_of("1").send(row.begins);
    const Time begun = bench.loop.now();
    RequestKey other = 0;
    int steps = 0;
    REQUIRE(bench.run_until([&] {
      a.look();
      if (bench.answers[0] || a.peer_of("1").has_ended()) return true;
      a.peer_of("1").send(row.goes_on);
      if (row.others_leave && ++steps % 10 == 0) {
        if (other) bench.core.cancel_request(other);
        other = bench.ask("safe");
      }
      return false;
    }));
    REQUIRE(bench.run_until([&] { return bench.answers[0] && bench.answers[1]; }));
    CHECK(bench.answers[0]->status == ResponseStatus::kFailed);
    CHECK(bench.loop.now() - begun < 3s);  // due within 0.3 s; the request's own time is 8 s
  }
}

TEST_CASE("orders: an answer in pages may take its time, and notes of others flow beside it") {
  Engine a;
  Bench bench;
  bench.list({{&a, kUp}});
  bench.ask("safe");
  bench.ask("unsafe");
  REQUIRE(bench.run_until([&] { return a.ids().size() == 2; }));
  a.peer_of("1").send("1 data parts=4 1\r\na\r\n");
  for (int page = 1; page < 4; ++page) {  // each later than half of what is allowed for the next one
    bench.run_until([] { return false; }, 170ms);
    a.peer_of("2").send("2 news detail=frac,value=0.5 0\r\n\r\n");
    a.peer_of("1").send("1 page part_no=" + std::to_string(page) + " 1\r\nb\r\n");
  }
  REQUIRE(bench.run_until([&] { return bench.answers[0].has_value(); }));
  CHECK(bench.answers[0]->body == "abbb");
  a.serve("2");
  REQUIRE(bench.run_until([&] { return bench.answers[1].has_value(); }));
  CHECK(bench.answers[1]->status == ResponseStatus::kServed);
}

TEST_CASE("orders: cut after each byte, an answer ends its request, and an unsafe one ran once") {
  const std::string whole = "1 data parts=2 3\r\nok\n\r\n1 page part_no=1 2\r\nk\n\r\n";
  auto quick = limits();
  quick.response_timeout = quick.page_timeout = 20ms;
  for (const bool closes : {false, true}) {
    for (std::size_t cut = 1; cut < whole.size(); ++cut) {
      INFO("after " << cut << (closes ? ", closed" : ", silent"));
      Engine a, b;
      Bench bench(quick);
      bench.list({{&a, kUp}});
      bench.ask("unsafe");
      REQUIRE(bench.run_until([&] { return a.has("1"); }));
      bench.list({{&a, kUp}, {&b, kUp}});
      a.peer_of("1").send(whole.substr(0, cut));
      if (closes) a.peer_of("1").close();
      REQUIRE(bench.run_until([&] { return bench.answers[0].has_value(); }));
      CHECK(bench.answers[0]->status == ResponseStatus::kFailed);
      CHECK(b.ids().empty());
    }
  }
}

TEST_CASE("orders: that we have no room for a connection is no word against an engine") {
  const auto avoided = [](Bench& bench) { return bench.core.gauges().engines_avoided; };
  SECTION("at the most connections") {
    auto narrow = limits();
    narrow.max_connections = narrow.max_streams_per_connection = narrow.preferred_streams_per_connection = 1;
    Engine a;
    Bench bench(narrow);
    bench.list({{&a, kUp}});
    bench.ask("unsafe");
    bench.ask("unsafe");
    REQUIRE(bench.run_until([&] { return a.has("1"); }));
    bench.run_until([] { return false; }, 20ms);
    CHECK(avoided(bench) == 0);
    CHECK_FALSE(bench.answers[1]);
    a.serve("1");
    REQUIRE(bench.run_until([&] { return a.has("2"); }));  // it waited for the room
    CHECK(a.peers.size() == 1);
  }
  SECTION("out of descriptors") {
    Engine a, b;
    Bench bench;
    bench.list({{&a, kUp}});
    std::vector<FileDescriptor> all;
    rlimit kept{};
    ::getrlimit(RLIMIT_NOFILE, &kept);
    const rlimit few{128, kept.rlim_max};
    ::setrlimit(RLIMIT_NOFILE, &few);
    for (FileDescriptor one = listen_tcp({0x7f000001, 0}); one; one = listen_tcp({0x7f000001, 0}))
      all.push_back(std::move(one));
    bench.ask("unsafe");
    bench.run_until([] { return false; }, 20ms);
    const std::size_t avoided_then = avoided(bench);
    const bool answered_then = bench.answers[0].has_value();
    all.clear();
    ::setrlimit(RLIMIT_NOFILE, &kept);
    CHECK(avoided_then == 0);
    CHECK_FALSE(answered_then);
    CHECK(bench.run_until([&] { return a.has("1"); }));
  }
}

TEST_CASE("orders: a byte with the kernel means 'may have run', none means 'never ran'") {
  for (const char* cls : {"safe", "unsafe"}) {
    INFO(cls);
    const bool unsafe = std::string(cls) == "unsafe";
    SECTION(std::string("reset long after it was written, ") + cls) {
      Engine a, b;
      Bench bench;
      bench.list({{&a, kUp}});
      bench.ask(cls);
      REQUIRE(bench.run_until([&] { return a.has("1"); }));
      bench.list({{&a, kUp}, {&b, kUp}});
      bench.run_until([] { return false; }, 300ms);
      a.reset("1");
      REQUIRE(
          bench.run_until([&] { return bench.answers[0].has_value() || b.has("1") || a.ids().size() > 0; }));
      CHECK(bench.answers[0].has_value() == unsafe);
      if (unsafe) CHECK(bench.answers[0]->status == ResponseStatus::kFailed);
    }
    SECTION(std::string("an idle connection reset before it is written to, ") + cls) {
      Engine a;
      Bench bench;
      bench.list({{&a, kUp}});
      bench.ask("safe");
      REQUIRE(bench.run_until([&] { return a.has("1"); }));
      a.serve("1");
      REQUIRE(bench.run_until([&] { return bench.answers[0].has_value(); }));
      a.reset("1");
      bench.ask(cls);  // the reset has arrived and is not read yet
      REQUIRE(bench.run_until([&] { return a.has("2"); }));
      CHECK_FALSE(bench.answers[1]);
    }
    SECTION(std::string("an idle connection closed as it is written to, ") + cls) {
      Engine a;
      Bench bench;
      bench.list({{&a, kUp}});
      bench.ask("safe");
      REQUIRE(bench.run_until([&] { return a.has("1"); }));
      a.serve("1");
      REQUIRE(bench.run_until([&] { return bench.answers[0].has_value(); }));
      ::shutdown(a.peer_of("1").fd().get(), SHUT_WR);
      bench.ask(cls);  // the kernel takes it: the engine may have read it before it closed
      REQUIRE(bench.run_until([&] { return bench.answers[1].has_value() || a.ids().size() == 3; }));
      CHECK(bench.answers[1].has_value() == unsafe);
      if (unsafe) CHECK(bench.answers[1]->status == ResponseStatus::kFailed);
    }
    SECTION(std::string("a dial that times out, ") + cls) {
      auto quick = limits();
      quick.connect_timeout = 50ms;
      Engine a, b;
      Bench bench(quick);
      a.fill();
      bench.list({{&a, kUp}});
      bench.ask(cls);
      bench.list({{&a, kUp}, {&b, kUp}});
      REQUIRE(bench.run_until([&] { return b.has("1"); }));
    }
  }
}

TEST_CASE(
    "orders: a second answer, and one for what has not begun, are dropped; a retired connection still "
    "answers") {
  Engine a;
  Bench bench;
  bench.list({{&a, kUp}});
  for (int i = 0; i < 3; ++i) bench.ask("unsafe");
  REQUIRE(bench.run_until([&] { return a.ids().size() == 3; }));
  a.serve("1");
  REQUIRE(bench.run_until([&] { return bench.answers[0].has_value(); }));
  a.peer_of("1").send("1 data parts=1 4\r\nlate\r\n1 failed - 0\r\n\r\n");
  a.serve("2");
  REQUIRE(bench.run_until([&] { return bench.answers[1].has_value(); }));
  CHECK(bench.answers[1]->status == ResponseStatus::kServed);
  CHECK(bench.figures.by_class["unsafe"].served == 2);
  // The engine goes on at another address: what runs at the former still ends there.
  Engine moved;
  EngineEndpoint member{a.address.to_string(), moved.address, kUp, "z0", "k", 0, 1, std::nullopt};
  bench.core.update_endpoints({member}, false);
  bench.core.process_events();
  moved.fill();
  bench.ask("unsafe");
  a.peer_of("3").send("4 data parts=1 4\r\nelse\r\n");  // an id that waits for a connection elsewhere
  a.serve("3");
  REQUIRE(bench.run_until([&] { return bench.answers[2].has_value(); }));
  CHECK(bench.answers[2]->status == ResponseStatus::kServed);
  CHECK_FALSE(bench.answers[3]);
}

TEST_CASE("orders: an answer to what still waits on its connection ends nothing") {
  Engine a;
  Bench bench;
  bench.list({{&a, kUp}});
  bench.ask("safe", 8s, 16u << 20);  // more than the kernel takes
  REQUIRE(bench.run_until([&] { return test::wait_until_readable(a.listener, 0ms); }));
  bench.ask("unsafe");
  test::TestConnection peer(accept_connection(a.listener));
  peer.send("2 data parts=1 5\r\nnever\r\n1 news - 0\r\n\r\n");
  a.peers.push_back(std::move(peer));
  REQUIRE(bench.run_until([&] { return a.has("2"); }));
  CHECK_FALSE(bench.answers[1]);
  a.serve("2");
  REQUIRE(bench.run_until([&] { return bench.answers[1].has_value(); }));
  CHECK(bench.answers[1]->body == "ok\n");
}
