// Behaviour that depends on a deployment's settings: tenants, peers, the grace period of drains.
#include <sys/socket.h>

#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "admin/admin_response.h"
#include "config/config.h"
#include "dispatcher/dispatcher.h"
#include "dispatcher/stricter_settings.h"

#include "dispatcher/stricter_settings.h"
#include "fakes/sockets.h"
#include "fakes/temporary_directory.h"
#include "fakes/test_connection.h"
#include "net/event_loop.h"
#include "net/file_descriptor.h"
#include "net/socket_address.h"
#include "net/sockets.h"
#include "policy/drain.h"
#include "policy/poll_schedule.h"
#include "support/scenario.h"
#include "upstream/line_protocol_connection.h"

using namespace rookproxy;
using namespace std::chrono_literals;
using test::run_scenario;

TEST_CASE("org: a tenant within its quota is served before one that exceeds its quota") {
  // Guards against tenants that are not passed to the routing module: all would count as within quota and be
  // served by age. With one core and work of 2 s each, most requests of the tenant over quota have to wait.
  std::string serve_accumulated;  // serves the 5 requests that the quota accumulated
  for (int i = 0; i < 6; ++i) serve_accumulated += "send a data parts=1 done\\n\nabsorb a 100\n";
  run_scenario(R"(
    engines a
    set /settings/domain/cpu_of_kind [1]
    set /settings/domain/ram_of_kind_mb [1024]
    set /settings/over_share_worth 0.05
    set /settings/parties [{"name":"eager","quota_rps":1,"fraction":0.5},{"name":"modest","quota_rps":100,"fraction":0.5}]
    start
    client c
    repeat 25 send c fields + op=lookup,call=new,ttl=9000,work=2000,org=eager SELECT 'eager'
    send c ready 1
    expect c ready 0
    absorb a 300
    )" + serve_accumulated +
               R"(
    client m
    send m fields 1 op=lookup,call=new,ttl=9000,work=2000,org=modest SELECT 'modest'
    send m ready 2
    expect m ready 0
    send a data parts=1 done\n
    expect a REQ modest
    send a data parts=1 mine\n
    expect figure tenant.modest.passed.lookup=1)");
}

TEST_CASE("org: an invalid tenant name fails with a reason, and a request without one is served") {
  // Guards against losing a request, or a crash, because of its tenant alone.
  const std::string overlong(300, 'x');
  run_scenario(R"(
    engines a
    set /settings/parties [{"name":"acme","quota_rps":9,"fraction":0.5}]
    start
    client c
    send c fields 1 op=lookup,call=new,ttl=3000,org=stranger SELECT 1
    expect c failed 1 field org: unknown tenant
    send c fields 2 op=lookup,call=new,ttl=3000,org=)" +
               overlong + R"( SELECT 2
    expect c failed 2 field org: longer than a name may be
    expect nolog xxxxx
    expect nolog stranger
    send c fields 3 op=lookup,call=new,ttl=3000 SELECT 3
    expect a REQ SELECT 3
    send a data parts=1 three\n
    expect c served 3 three\n
    send c fields 4 op=lookup,call=new,ttl=3000,org= SELECT 4
    expect a REQ SELECT 4
    send a data parts=1 four\n
    expect c served 4 four\n
    send c fields 5 op=lookup,call=new,ttl=3000,org=acme SELECT 5
    expect a REQ SELECT 5
    send a data parts=1 five\n
    expect c served 5 five\n
    send c fields 6 op=lookup,call=new,ttl=0,org=acme SELECT 6
    expect c failed 6 field ttl
    expect figure passed.lookup=3
    expect figure bad_gateway.lookup=3
    expect figure tenant.acme.passed.lookup=1
    expect figure tenant.acme.bad_gateway.lookup=1)");
}

TEST_CASE("org: the field is ignored if the settings have no tenants") {
  const std::string overlong(300, 'x');
  run_scenario(R"(
    engines a
    set /settings/parties []
    start
    client c
    send c fields 1 op=lookup,call=new,ttl=3000,org=)" +
               overlong + R"( SELECT 1
    expect a REQ SELECT 1
    send a data parts=1 one\n
    expect c served 1 one\n
    expect figure passed.lookup=1)");
}

TEST_CASE("org: an authenticated tenant takes precedence and the field is ignored") {
  run_scenario(R"(
    engines a
    access
    set /settings/parties [{"name":"acme","quota_rps":9,"fraction":0.5}]
    key k ES256
    publish k
    start
    client c
    token t k student
    send c as t fields 1 op=lookup,call=new,ttl=3000,org=stranger SELECT x FROM sales_17.orders
    expect a REQ
    send a data parts=1 one\n
    expect c served 1 one\n
    send c as t fields 2 op=lookup,call=new,ttl=3000,org=acme SELECT x FROM sales_17.orders
    expect a REQ
    send a data parts=1 two\n
    expect c served 2 two\n
    expect figure tenant.addis.passed.lookup=2)");
}

TEST_CASE("org: tenants change at run time, and previous names stay valid during the transition") {
  run_scenario(R"(
    engines a
    set /settings/parties [{"name":"old","quota_rps":9,"fraction":0.5}]
    start
    client c
    set /settings/parties [{"name":"new","quota_rps":9,"fraction":0.5}]
    configure
    signal HUP
    expect log reread
    send c fields 1 op=lookup,call=new,ttl=3000,org=old SELECT 1
    expect a REQ
    send a data parts=1 one\n
    expect c served 1 one\n
    send c fields 2 op=lookup,call=new,ttl=3000,org=older SELECT 2
    expect a REQ
    send a data parts=1 two\n
    expect c served 2 two\n
    expect log settings transition ended; only the new settings apply
    send c fields 3 op=lookup,call=new,ttl=3000,org=new SELECT 3
    expect a REQ
    send a data parts=1 three\n
    expect c served 3 three\n
    send c fields 4 op=lookup,call=new,ttl=3000,org=old SELECT 4
    expect c failed 4 unknown tenant
    expect figure tenant.new.passed.lookup=1
    expect figure tenant.old.passed.lookup=1)");
}

TEST_CASE("org: a tenant has its configured name, and its metric names contain no separators") {
  const Config config = read_config(nlohmann::json::parse(
      R"({"listen":"127.0.0.1:1","nameserver":"127.0.0.1:2","settings":{"grades":[{"name":"q","effect":"pure",
      "target":1,"deadline":5}],"permissions":{"max_attempts":2},"parties":[{"name":"Ein, zwei","quota_rps":1}]}})"));
  REQUIRE(config.settings.tenants.size() == 1);
  CHECK(config.settings.tenants[0].name == "Ein, zwei");
  Metrics metrics;
  metrics.by_tenant["a b\nsvc.c=1"]["q"].served = 2;
  CHECK(format_metrics(metrics, {}).find("svc.tenant.a_b_svc.c_1.passed.q=2\n") != std::string::npos);
}

TEST_CASE("org: a removed tenant keeps its quota until only the new settings apply") {
  rookproxy::routing::Settings previous, updated;
  previous.tenants = {{"kept", 1, 0.5}, {"gone", 2, 0.5}};
  updated.tenants = {{"new", 3, 0.5}, {"kept", 4, 0.5}};
  const auto merged = merge_stricter(previous, updated).tenants;
  REQUIRE(merged.size() == 3);
  CHECK(merged[1].quota_per_second == 4);
  CHECK(merged[2].name == "gone");
}

namespace {

nlohmann::json config_with_peers(const std::string& patch, bool may_tell = true) {
  auto document = nlohmann::json::parse(
      R"({"listen":"127.0.0.1:1","nameserver":"127.0.0.1:2","peer_listen":"10.0.0.9:7000","settings":{"grades":[
      {"name":"q","effect":"pure","target":1,"deadline":5}],"permissions":{"max_attempts":2}}})");
  document["settings"]["permissions"]["may_tell"] = may_tell;
  document.merge_patch(nlohmann::json::parse(patch));
  return document;
}

}  // namespace

TEST_CASE("peers: equivalent notations are read as the same peers") {
  const SocketAddress first{0x0a000001, 7000}, second{0x0a000002, 7001};
  for (const char* peers :
       {R"(["10.0.0.1:7000","10.0.0.2:7001"])", R"({"0":"10.0.0.1:7000","1":"10.0.0.2:7001"})",
        R"([{"name":"0","address":"10.0.0.1:7000"},{"id":1,"host_port":"10.0.0.2:7001"}])",
        R"([{"addr":"10.0.0.1:7000"},"10.0.0.2:7001"])"}) {
    INFO(peers);
    const Config config = read_config(config_with_peers(std::string(R"({"peers":)") + peers + "}"));
    CHECK_FALSE(config.peers_error);
    REQUIRE(config.peers);
    CHECK(config.peers->listen == SocketAddress{0x0a000009, 7000});
    CHECK(config.peers->peers == std::vector<PeerConfig>{{"0", first}, {"1", second}});
    CHECK_FALSE(config.peers->broadcast_address);
  }
  const Config named = read_config(config_with_peers(
      R"({"peers":{"n10":"10.0.0.1:7000","n2":"10.0.0.2:7001"},"peers_all":"10.0.0.3:7"})"));
  REQUIRE(named.peers);
  CHECK(named.peers->peers.front().name == "n2");
  CHECK(named.peers->broadcast_address == SocketAddress{0x0a000003, 7});
}

TEST_CASE("peers: an invalid value is reported with its key and does not fail the configuration") {
  // Guards against a dispatcher that does not start or reload because of an optional setting.
  nlohmann::json many = nlohmann::json::array();
  for (int i = 0; i < 1025; ++i) many.push_back("10.0.0.1:" + std::to_string(1000 + i));
  const std::vector<std::pair<std::string, std::string>> faults{
      {R"({"peers":"10.0.0.1:7000"})", "peers: neither a list"},
      {R"({"peers":7})", "peers: neither a list"},
      {R"({"peers":["10.0.0.1:7000","somewhere"]})", "peers.1: not an address"},
      {R"({"peers":["10.0.0.1"]})", "peers.0: not an address"},
      {R"({"peers":["10.0.0.1:0"]})", "peers.0: not an address"},
      {R"({"peers":[["a","10.0.0.1:7"]]})", "peers.0: not an address"},
      {R"({"peers":{"n1":7}})", "peers.n1: not an address"},
      {R"({"peers":[{"name":"n1"}]})", "peers.0: names no"},
      {R"({"peers":[{"name":["n"],"address":"10.0.0.1:7"}]})", "peers.0.name: neither"},
      {R"({"peers":["10.0.0.1:7","10.0.0.1:7"]})", "peers: there twice"},
      {R"({"peers":[{"name":"a","address":"10.0.0.1:7"},{"name":"a","address":"10.0.0.1:8"}]})",
       "peers: two are"},
      {R"({"peers":)" + many.dump() + "}", "peers: more than 1024"},
      {R"({"peers_all":["10.0.0.1:7"]})", "peers_all: not an address"},
      {R"({"peer_listen":"here"})", "peer_listen: not an address"},
      {R"({"peers":["10.0.0.1:7"],"peer_listen":null})", "peer_listen: missing"},
      {R"({"peers":["10.0.0.1:7"],"settings":{"permissions":{"may_tell":"yes"}}})",
       "settings.permissions.may_tell: neither"},
  };
  for (const bool may_tell : {true, false}) {
    for (const auto& [patch, fault] : faults) {
      INFO(patch);
      const Config config = read_config(config_with_peers(patch, may_tell));
      REQUIRE(config.peers_error);
      CHECK(std::string(config.peers_error->what()).starts_with(fault));
      CHECK_FALSE(config.peers);
    }
  }
  for (const char* no_peers : {R"({})", R"({"peers":[]})", R"({"peers":{},"peer_listen":null})"}) {
    INFO(no_peers);
    CHECK_FALSE(read_config(config_with_peers(no_peers)).peers_error);
    CHECK_FALSE(read_config(config_with_peers(no_peers)).peers);
  }
  const Config forbidden = read_config(config_with_peers(R"({"peers":["10.0.0.1:7"]})", false));
  CHECK_FALSE(forbidden.peers_error);
  CHECK_FALSE(forbidden.peers);
}

TEST_CASE("peers: a reload replaces peers, keeps those it does not name, and keeps the listen address") {
  const auto loaded = [](const std::string& patch, bool may_tell = true) {
    auto document = config_with_peers(patch, may_tell);
    Config config = read_config(document);
    config.document = std::make_shared<const nlohmann::json>(std::move(document));
    return config;
  };
  const Config running = loaded(R"({"peers":["10.0.0.1:7"]})");
  CHECK(peers_after_reload(running, loaded("{}")) == running.peers);
  CHECK(peers_after_reload(running, loaded(R"({"peers":7})")) == running.peers);
  CHECK_FALSE(peers_after_reload(running, loaded(R"({"peers":[]})")));
  CHECK_FALSE(peers_after_reload(running, loaded("{}", false)));
  const auto reloaded =
      peers_after_reload(running, loaded(R"({"peers":["10.0.0.2:7"],"peer_listen":"10.0.0.9:8"})"));
  REQUIRE(reloaded);
  CHECK(reloaded->listen == running.peers->listen);
  CHECK(reloaded->peers.front().address == SocketAddress{0x0a000002, 7});
}

TEST_CASE("peers: a running dispatcher reports invalid peers, serves, and reloads without them") {
  run_scenario(R"(
    engines a
    set /settings/permissions/may_tell false
    set /peers "telex"
    start
    expect log no peers: peers: neither a list
    client c
    send c request 1 lookup 3000 SELECT 1
    expect a REQ
    send a data parts=1 one\n
    expect c served 1 one\n
    set /settings/permissions/may_tell true
    set /peers {"t1":"127.0.0.1:7001","t2":"127.0.0.1:7002"}
    set /peer_listen "127.0.0.1:7001"
    configure
    signal HUP
    expect log peers known
    set /peers null
    configure
    signal HUP
    expect figure loads=2
    expect figure load_errors=0)");
}

TEST_CASE("peers: --check reports the invalid key") {
  const std::string folder = test::make_temporary_directory(), file = folder + "/peers.toml",
                    out = folder + "/out";
  std::ifstream example(ROOKPROXY_ROOT "/deploy/mysql.toml");
  std::ofstream(file) << "peers = [\"nowhere\"]\n" << example.rdbuf();
  const int status =
      std::system((ROOKPROXY_BINARY " --file " + file + " --check > " + out + " 2>&1").c_str());
  CHECK(WEXITSTATUS(status) == 2);
  CHECK(read_file(out).find("peers.0: not an address") != std::string::npos);
  std::filesystem::remove_all(folder);
}

TEST_CASE("drains: the latest send follows from the grace period and the poll interval of discovery") {
  struct Case {
    Duration poll, grace, last;  // after the announcement
  };
  // One response may be lost and the next arrives 1.1 polls later. A loop iteration takes up to 30 ms.
  for (const auto& [poll, grace, last] :
       {Case{200ms, 1s, 750ms}, Case{200ms, 2s, 1750ms}, Case{20ms, 1s, 948ms}, Case{0ms, 1s, 970ms},
        Case{1s, 1s, 0ms}, Case{200ms, 0s, 0ms}}) {
    INFO(poll.count() << " " << grace.count());
    const Duration margin = policy::drain_margin(policy::PollSchedule(poll).max_pause());
    CHECK(policy::latest_drain_start(Time(5s), grace, margin) == Time(5s + last));
  }
}

namespace {

struct DispatcherWithFakeTransport final : EngineTransport {
  explicit DispatcherWithFakeTransport(rookproxy::routing::Settings settings)
      : log(text, LogLevel::kDebug, "h", "a"), dispatcher(loop, log, metrics, settings, {"addis-dc1"}, {}) {
    dispatcher.set_transport(*this);
    loop.on_iteration_end([this] { dispatcher.process_events(); });
  }
  void update_endpoint(rookproxy::routing::EngineState a, std::optional<Time> announced_at = std::nullopt) {
    dispatcher.update_endpoints({{"a", {0x7f000001, 1}, a, "addis-dc1", "engine-a", 0, 1, std::nullopt}},
                                false, announced_at);
    dispatcher.process_events();
  }
  void run_until(Time end) {
    loop.run_at(end, [this] { loop.stop(); });
    loop.run();
  }
  void send(const AttemptRequest&) override {}
  bool cancel(AttemptKey) override { return false; }
  bool cancel_if_unsent(AttemptKey) override { return false; }
  void set_priority(AttemptKey, int) override {}
  void probe(EngineId) override {}
  void set_engine_address(EngineId, const SocketAddress&) override {}
  void stop_new_attempts(EngineId) override { closed.push_back(loop.now()); }

  std::ostringstream text;
  EventLoop loop;
  Logger log;
  Metrics metrics;
  Dispatcher dispatcher;
  std::vector<Time> closed;
};

rookproxy::routing::Settings settings_with_grace(Duration grace) {
  auto settings = read_config(read_toml(ROOKPROXY_ROOT "/deploy/mysql.toml")).settings;
  settings.drain_grace_period = to_routing_duration(grace);
  return settings;
}

}  // namespace

TEST_CASE("drains: a waiting attempt may be sent for most of the grace period, whatever its length") {
  // Guards against a margin that takes nearly half of a grace period of one second.
  for (const Duration grace : {Duration(1s), Duration(2s)}) {
    DispatcherWithFakeTransport fixture(settings_with_grace(grace));
    fixture.update_endpoint(rookproxy::routing::EngineState::kServing);
    fixture.update_endpoint(rookproxy::routing::EngineState::kDraining);
    const Time announced_at = fixture.loop.now();
    fixture.run_until(announced_at + grace);
    REQUIRE(fixture.closed.size() == 1);
    CHECK(fixture.closed[0] - announced_at >= grace - 300ms);
  }
}

TEST_CASE("drains: a drain that is received late ends as if it had been received on time") {
  // Guards against a request that waits for its connection and is sent a whole grace period after the late
  // announcement, when the response that carried the first one was lost.
  for (const Duration delay : {Duration(500ms), Duration(5s)}) {
    DispatcherWithFakeTransport fixture(settings_with_grace(1s));
    fixture.update_endpoint(rookproxy::routing::EngineState::kServing);
    const Time received_at = fixture.loop.now();
    fixture.update_endpoint(rookproxy::routing::EngineState::kDraining, received_at - delay);
    fixture.run_until(received_at + 1s);
    REQUIRE(fixture.closed.size() == 1);
    // A whole grace period from the late announcement, less the margin, would be 750 ms.
    CHECK((fixture.closed[0] < received_at + 650ms));
  }
}

TEST_CASE("drains: a grace period shortened by a reload applies to drains in progress") {
  DispatcherWithFakeTransport fixture(settings_with_grace(60s));
  fixture.update_endpoint(rookproxy::routing::EngineState::kServing);
  fixture.update_endpoint(rookproxy::routing::EngineState::kDraining);
  fixture.dispatcher.change_settings(settings_with_grace(300ms), {"addis-dc1"}, {});
  fixture.run_until(fixture.loop.now() + 2s);
  CHECK_FALSE(fixture.closed.empty());
}

TEST_CASE("drains: a request between two connections does not connect to an engine whose drain ended") {
  // Guards against a first byte after the grace period, on a connection established then.
  struct RecordingCallbacks final : EngineTransportCallbacks {
    std::vector<Outcome> outcomes;
    bool closed = false;  // set when the dispatcher ends the drain
    bool may_start(AttemptKey) override { return !closed; }
    void on_attempt_ended(AttemptKey, AttemptResult end) override { outcomes.push_back(end.outcome); }
    void on_attempt_update(AttemptKey, rookproxy::routing::AttemptUpdateKind, double) override {}
    void on_probe_ended(EngineId, Outcome, std::optional<LoadReport>) override {}
  } callbacks;
  std::ostringstream text;
  EventLoop loop;
  Logger log(text, LogLevel::kDebug, "h", "a");
  Metrics metrics;
  LineProtocolPool pool(loop, log, callbacks, metrics, {});
  const FileDescriptor listener = test::listen_on_free_port();
  pool.set_engine_address(0, {0x7f000001, local_port(listener)});
  auto query = std::make_shared<Query>();
  query->id = "1";
  query->class_name = "q";
  bool was_reset = false;
  std::optional<test::TestConnection> engine;
  std::function<void()> poll_engine = [&] {
    if (!engine && test::wait_until_readable(listener, 0ms)) engine.emplace(accept_connection(listener));
    if (engine && engine->read_more(1ms) && callbacks.outcomes.empty())
      engine->send("1 data parts=1 0\r\n\r\n");
    if (callbacks.outcomes.empty()) return static_cast<void>(loop.run_at(loop.now() + 1ms, poll_engine));
    const linger reset_on_close{1, 0};
    ::setsockopt(engine->fd().get(), SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
    engine->close();
    auto next = std::make_shared<Query>();
    next->id = "2";
    next->class_name = query->class_name;
    pool.send({{2, 0}, 0, next, loop.now() + 1s, {}, 1});
    loop.defer([&] {
      callbacks.closed = true;
      pool.stop_new_attempts(0);
    });
    was_reset = true;
    loop.run_at(loop.now() + 100ms, [&] { loop.stop(); });
  };
  pool.send({{1, 0}, 0, query, loop.now() + 1s, {}, 1});
  loop.run_at(loop.now(), poll_engine);
  loop.run();
  REQUIRE(was_reset);
  REQUIRE(callbacks.outcomes.size() == 2);
  CHECK(callbacks.outcomes[1] == Outcome::kNotSent);  // does not count against the engine
  CHECK_FALSE(test::wait_until_readable(listener, 0ms));
}

namespace {

// A load waits for its connection to engine a, whose accept queue is full: the kernel retries a second later.
std::string scenario_with_load_waiting_for_a(const std::string& engines, const std::string& drain_grace) {
  return "engines " + engines + "\nset /settings/safety/drain_grace " + drain_grace + R"(
    set /directory_poll_ms 200
    set /settings/permissions/dial_timeout 5000000
    start
    directory a=up
    fill a
    client c
    send c request 1 load 9000 INSERT INTO s_1.t VALUES (1)
    send c ready 1
    expect c ready 0
    )";
}

}  // namespace

TEST_CASE(
    "drains: a request waiting for a draining engine moves at once, or uses the grace period if it must") {
  // An engine that was not listed serves only once several lists confirm it, which may take longer than the
  // kernel's next attempt to connect to engine a.
  run_scenario(scenario_with_load_waiting_for_a("a b", "5000000") + R"(
    directory a=draining b=up
    expect log from="removed" to="serving"
    let a
    expect b REQ
    send b data parts=1 ok\n
    expect c served 1 ok\n
    expect a nothing 1000)");
  run_scenario(scenario_with_load_waiting_for_a("a", "5000000") + R"(
    directory a=draining
    let a
    expect a REQ
    send a data parts=1 ok\n
    expect c served 1 ok\n)");
}

TEST_CASE("drains: a request whose connection is established after the grace period is not sent") {
  run_scenario(scenario_with_load_waiting_for_a("a", "500000") + R"(
    directory a=draining
    let a
    expect a nothing 2000)");
}

TEST_CASE("a rejection for lack of capacity has a retry delay within the configured maximum") {
  run_scenario(R"(
    engines a
    set /settings/permissions/max_retry_after 300000
    start
    client c
    repeat 32 send c fields + op=lookup,call=new,ttl=3000 SELECT 1
    send c request 1 lookup 3000 SELECT 2
    expect c pushback 1 300)");
  // 0: clients ignore retry delays, which is a valid setting.
  CHECK(read_config(config_with_peers(R"({"settings":{"permissions":{"max_retry_after":0}}})"))
            .rejection_retry_after == 1s);
}

TEST_CASE("the deduplication key of a keyed class is forwarded to engines with every attempt") {
  // Guards against a forwarded request that differs from the client's: without the key an engine can't detect
  // a repetition. An idempotent class has no key, and a key that would corrupt the line to the engine is
  // rejected with its field.
  run_scenario(R"(
    engines a
    set /settings/grades/1/effect "token"
    set /settings/grades/1/group "all"
    set /settings/grades/1/window 4000000
    set /settings/domain/is_load [false,false]
    set /settings/domain/priorities false
    start
    client c
    send c fields 1 op=load,call=new,ttl=3000,dedupe=eb45388962e73bd5 INSERT 1
    expect a REQ uniq=eb45388962e73bd5
    send a full -
    expect a REQ uniq=eb45388962e73bd5
    send a data parts=1 done\n
    expect c served 1 done\n
    send c fields 2 op=load,call=new,ttl=3000,dedupe=a=b INSERT 2
    expect c failed 2 dedupe
    send c fields 3 op=lookup,call=new,ttl=3000,dedupe=a=b SELECT 1
    expect a REQ rank=1 8
    send a data parts=1 done\n
    expect c served 3 done\n)");
}
