// What differs between deployments comes from their settings: tenants, peers, the grace of a drain.
#include <sys/socket.h>

#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "config/config.h"
#include "core/dispatcher.h"
#include "core/rules.h"
#include "decide/asking.h"
#include "decide/drains.h"
#include "link/lines.h"
#include "ops/ops.h"
#include "scenario.h"
#include "standins/standins.h"

using namespace rookproxy;
using namespace std::chrono_literals;
using test::play;

TEST_CASE("drains: the last send by a deployment's grace and how often its directory is asked") {
  struct Case {
    Duration poll, grace, last;  // from the word on
  };
  // One answer may be lost and the next comes 1.1 polls later; a turn takes 30 ms.
  for (const auto& [poll, grace, last] :
       {Case{200ms, 1s, 750ms}, Case{200ms, 2s, 1750ms}, Case{20ms, 1s, 948ms}, Case{0ms, 1s, 970ms},
        Case{1s, 1s, 0ms}, Case{200ms, 0s, 0ms}}) {
    INFO(poll.count() << " " << grace.count());
    const Duration margin = decide::drain_margin(decide::AskingTimes(poll).longest_pause());
    CHECK(decide::last_send(Time(5s), grace, margin) == Time(5s + last));
  }
}

namespace {

struct Core final : EngineLinks {
  explicit Core(lemonshift::Settings settings)
      : log(text, Level::kDebug, "h", "a"), core(loop, log, figures, settings, {"addis-dc1"}, {}) {
    core.use(*this);
    loop.each_turn([this] { core.settle(); });
  }
  void list(lemonshift::EngineState a) {
    core.learn_members({{"a", {0x7f000001, 1}, a, "addis-dc1", "engine-a", 0, 1, std::nullopt}}, false);
    core.settle();
  }
  void run_to(Time end) {
    loop.at(end, [this] { loop.stop(); });
    loop.run();
  }
  void send(const Order&) override {}
  bool withdraw(AttemptKey) override { return false; }
  void set_rank(AttemptKey, int) override {}
  void probe(EngineId) override {}
  void engine_at(EngineId, const Endpoint&) override {}
  void engine_closed(EngineId) override { closed.push_back(loop.now()); }

  std::ostringstream text;
  Loop loop;
  Log log;
  Figures figures;
  Dispatcher core;
  std::vector<Time> closed;
};

lemonshift::Settings settings_with_grace(Duration grace) {
  auto settings = read_config(read_toml(ROOKPROXY_ROOT "/deploy/mysql.toml")).settings;
  settings.drain_grace = to_module(grace);
  return settings;
}

}  // namespace

TEST_CASE("drains: what waits for an engine may leave for most of the grace, whatever its length") {
  // Guards against a margin that takes nearly half of a grace of one second.
  for (const Duration grace : {Duration(1s), Duration(2s)}) {
    Core bench(settings_with_grace(grace));
    bench.list(lemonshift::EngineState::kServing);
    bench.list(lemonshift::EngineState::kDraining);
    const Time told = bench.loop.now();
    bench.run_to(told + grace);
    REQUIRE(bench.closed.size() == 1);
    CHECK(bench.closed[0] - told >= grace - 300ms);
  }
}

TEST_CASE("drains: a grace that a change of settings makes shorter holds for drains under way") {
  Core bench(settings_with_grace(60s));
  bench.list(lemonshift::EngineState::kServing);
  bench.list(lemonshift::EngineState::kDraining);
  bench.core.change(settings_with_grace(300ms), {"addis-dc1"}, {});
  bench.run_to(bench.loop.now() + 2s);
  CHECK_FALSE(bench.closed.empty());
}

TEST_CASE("drains: a request between two connections does not dial an engine that has been closed") {
  // Guards against a first byte after the grace, over a connection that is made then.
  struct Ends final : LinkEvents {
    std::vector<Outcome> outcomes;
    void attempt_ended(AttemptKey, AttemptEnd end) override { outcomes.push_back(end.outcome); }
    void attempt_noted(AttemptKey, lemonshift::NoteKind, double) override {}
    void probe_ended(EngineId, Outcome, std::optional<LoadReport>) override {}
  } ends;
  std::ostringstream text;
  Loop loop;
  Log log(text, Level::kDebug, "h", "a");
  Figures figures;
  LinesPool pool(loop, log, ends, figures, {});
  const Fd listener = test::listen_anywhere();
  pool.engine_at(0, {0x7f000001, local_port(listener)});
  auto query = std::make_shared<Query>();
  query->id = "1";
  query->class_name = "q";
  bool was_reset = false;
  std::optional<test::Peer> engine;
  std::function<void()> look = [&] {
    if (!engine && test::readable(listener, 0ms)) engine.emplace(accept_from(listener));
    if (engine && engine->more(1ms) && ends.outcomes.empty()) engine->send("1 data parts=1 0\r\n\r\n");
    if (ends.outcomes.empty()) return static_cast<void>(loop.at(loop.now() + 1ms, look));
    const linger at_once{1, 0};
    ::setsockopt(engine->fd().get(), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    engine->close();
    auto next = std::make_shared<Query>(*query);
    next->id = "2";
    pool.send({{2, 0}, 0, next, 1s, {}, 1});
    loop.defer([&] { pool.engine_closed(0); });
    was_reset = true;
    loop.at(loop.now() + 100ms, [&] { loop.stop(); });
  };
  pool.send({{1, 0}, 0, query, 1s, {}, 1});
  loop.at(loop.now(), look);
  loop.run();
  REQUIRE(was_reset);
  REQUIRE(ends.outcomes.size() == 2);
  CHECK(ends.outcomes[1] == Outcome::kNoConnection);
  CHECK_FALSE(test::readable(listener, 0ms));
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
  play(begin + "500000" + until_it_waits + R"(
    expect b REQ
    send b data parts=1 ok\n
    expect c served 1 ok\n
    expect a nothing 1000)");
  play(begin + "5000000" + until_it_waits + R"(
    expect a REQ
    send a data parts=1 ok\n
    expect c served 1 ok\n)");
}

TEST_CASE("refusals for lack of room say no longer than clients are ready to stay away") {
  play(R"(
    engines a
    set /settings/permissions/max_retry_after 300000
    start
    client c
    repeat 32 send c fields + op=lookup,call=new,ttl=3000 SELECT 1
    send c request 1 lookup 3000 SELECT 2
    expect c pushback 1 300)");
  // 0: clients heed no advice, which is no reason not to start.
  CHECK(read_config(nlohmann::json::parse(
            R"({"listen":"127.0.0.1:1","nameserver":"127.0.0.1:2","settings":{"grades":[{"name":"q","effect":"pure",
            "target":1,"deadline":5}],"permissions":{"max_attempts":2,"max_retry_after":0}}})")).refusal_pause == 1s);
}
