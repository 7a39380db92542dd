// What differs between deployments comes from their settings: tenants, peers, the grace of a drain.
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

TEST_CASE("org: a tenant within its quota goes before one that is beyond its own") {
  // Guards against tenants that the module never hears of: all would be within quota and go by their age. One
  // core and work of 2 s each: most of the eager one's requests have to wait.
  std::string spend;  // what the eager one has saved up of its quota, 5 requests, is within it
  for (int i = 0; i < 6; ++i) spend += "send a data parts=1 done\\n\nabsorb a 100\n";
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
    )" + spend +
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

TEST_CASE("org: unusable tenants fail by name, and a request without one is served") {
  // Guards against a request lost, or a crash, for trouble with its tenant alone.
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

TEST_CASE("org: settings without tenants take no notice of it") {
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

TEST_CASE("org: what a caller has proven wins, and the field is not looked at") {
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

TEST_CASE("org: tenants change in service, and former names are good until clients go by the new ones") {
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

TEST_CASE("org: a tenant is known by its name as the settings have it, and its figures are one word a line") {
  const Config config = read_config(nlohmann::json::parse(
      R"({"listen":"127.0.0.1:1","nameserver":"127.0.0.1:2","settings":{"grades":[{"name":"q","effect":"pure",
      "target":1,"deadline":5}],"permissions":{"max_attempts":2},"parties":[{"name":"Ein, zwei","quota_rps":1}]}})"));
  REQUIRE(config.settings.tenants.size() == 1);
  CHECK(config.settings.tenants[0].name == "Ein, zwei");
  Metrics figures;
  figures.by_tenant["a b\nsvc.c=1"]["q"].served = 2;
  CHECK(format_metrics(figures, {}).find("svc.tenant.a_b_svc.c_1.passed.q=2\n") != std::string::npos);
}

TEST_CASE("org: a dropped tenant keeps its quota until the new settings bind alone") {
  rookproxy::routing::Settings former, fresh;
  former.tenants = {{"kept", 1, 0.5}, {"gone", 2, 0.5}};
  fresh.tenants = {{"new", 3, 0.5}, {"kept", 4, 0.5}};
  const auto both = merge_stricter(former, fresh).tenants;
  REQUIRE(both.size() == 3);
  CHECK(both[1].quota_per_second == 4);
  CHECK(both[2].name == "gone");
}

namespace {

nlohmann::json with_peers(const std::string& patch, bool may_tell = true) {
  auto document = nlohmann::json::parse(
      R"({"listen":"127.0.0.1:1","nameserver":"127.0.0.1:2","peer_listen":"10.0.0.9:7000","settings":{"grades":[
      {"name":"q","effect":"pure","target":1,"deadline":5}],"permissions":{"max_attempts":2}}})");
  document["settings"]["permissions"]["may_tell"] = may_tell;
  document.merge_patch(nlohmann::json::parse(patch));
  return document;
}

}  // namespace

TEST_CASE("peers: the shapes that say the same are read the same") {
  const SocketAddress first{0x0a000001, 7000}, second{0x0a000002, 7001};
  for (const char* peers :
       {R"(["10.0.0.1:7000","10.0.0.2:7001"])", R"({"0":"10.0.0.1:7000","1":"10.0.0.2:7001"})",
        R"([{"name":"0","address":"10.0.0.1:7000"},{"id":1,"host_port":"10.0.0.2:7001"}])",
        R"([{"addr":"10.0.0.1:7000"},"10.0.0.2:7001"])"}) {
    INFO(peers);
    const Config config = read_config(with_peers(std::string(R"({"peers":)") + peers + "}"));
    CHECK_FALSE(config.peers_error);
    REQUIRE(config.peers);
    CHECK(config.peers->listen == SocketAddress{0x0a000009, 7000});
    CHECK(config.peers->peers == std::vector<PeerConfig>{{"0", first}, {"1", second}});
    CHECK_FALSE(config.peers->broadcast_address);
  }
  const Config named = read_config(
      with_peers(R"({"peers":{"n10":"10.0.0.1:7000","n2":"10.0.0.2:7001"},"peers_all":"10.0.0.3:7"})"));
  REQUIRE(named.peers);
  CHECK(named.peers->peers.front().name == "n2");
  CHECK(named.peers->broadcast_address == SocketAddress{0x0a000003, 7});
}

TEST_CASE("peers: what can't be used is named by its key and stops nobody") {
  // Guards against a dispatcher that does not start, or does not reread, for want of what it can do without.
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
      const Config config = read_config(with_peers(patch, may_tell));
      REQUIRE(config.peers_error);
      CHECK(std::string(config.peers_error->what()).starts_with(fault));
      CHECK_FALSE(config.peers);
    }
  }
  for (const char* nobody : {R"({})", R"({"peers":[]})", R"({"peers":{},"peer_listen":null})"}) {
    INFO(nobody);
    CHECK_FALSE(read_config(with_peers(nobody)).peers_error);
    CHECK_FALSE(read_config(with_peers(nobody)).peers);
  }
  const Config forbidden = read_config(with_peers(R"({"peers":["10.0.0.1:7"]})", false));
  CHECK_FALSE(forbidden.peers_error);
  CHECK_FALSE(forbidden.peers);
}

TEST_CASE(
    "peers: a change of settings takes fresh ones, keeps those it does not name and the address we hear at") {
  const auto loaded = [](const std::string& patch, bool may_tell = true) {
    auto document = with_peers(patch, may_tell);
    Config config = read_config(document);
    config.document = std::make_shared<const nlohmann::json>(std::move(document));
    return config;
  };
  const Config running = loaded(R"({"peers":["10.0.0.1:7"]})");
  CHECK(peers_after_reload(running, loaded("{}")) == running.peers);
  CHECK(peers_after_reload(running, loaded(R"({"peers":7})")) == running.peers);
  CHECK_FALSE(peers_after_reload(running, loaded(R"({"peers":[]})")));
  CHECK_FALSE(peers_after_reload(running, loaded("{}", false)));
  const auto moved =
      peers_after_reload(running, loaded(R"({"peers":["10.0.0.2:7"],"peer_listen":"10.0.0.9:8"})"));
  REQUIRE(moved);
  CHECK(moved->listen == running.peers->listen);
  CHECK(moved->peers.front().address == SocketAddress{0x0a000002, 7});
}

TEST_CASE("peers: a running dispatcher says what is wrong with them and serves, and rereads without them") {
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

TEST_CASE("peers: --check names what is wrong with them") {
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

TEST_CASE("drains: the last send by a deployment's grace and how often its directory is asked") {
  struct Case {
    Duration poll, grace, last;  // from the word on
  };
  // One answer may be lost and the next comes 1.1 polls later; a turn takes 30 ms.
  for (const auto& [poll, grace, last] :
       {Case{200ms, 1s, 750ms}, Case{200ms, 2s, 1750ms}, Case{20ms, 1s, 948ms}, Case{0ms, 1s, 970ms},
        Case{1s, 1s, 0ms}, Case{200ms, 0s, 0ms}}) {
    INFO(poll.count() << " " << grace.count());
    const Duration margin = policy::drain_margin(policy::PollSchedule(poll).max_pause());
    CHECK(policy::latest_drain_start(Time(5s), grace, margin) == Time(5s + last));
  }
}

namespace {

struct Core final : EngineTransport {
  explicit Core(rookproxy::routing::Settings settings)
      : log(text, LogLevel::kDebug, "h", "a"), core(loop, log, figures, settings, {"addis-dc1"}, {}) {
    core.set_transport(*this);
    loop.on_iteration_end([this] { core.process_events(); });
  }
  void list(rookproxy::routing::EngineState a, std::optional<Time> told = std::nullopt) {
    core.update_endpoints({{"a", {0x7f000001, 1}, a, "addis-dc1", "engine-a", 0, 1, std::nullopt}}, false,
                          told);
    core.process_events();
  }
  void run_to(Time end) {
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
  Metrics figures;
  Dispatcher core;
  std::vector<Time> closed;
};

rookproxy::routing::Settings settings_with_grace(Duration grace) {
  auto settings = read_config(read_toml(ROOKPROXY_ROOT "/deploy/mysql.toml")).settings;
  settings.drain_grace_period = to_routing_duration(grace);
  return settings;
}

}  // namespace

TEST_CASE("drains: what waits for an engine may leave for most of the grace, whatever its length") {
  // Guards against a margin that takes nearly half of a grace of one second.
  for (const Duration grace : {Duration(1s), Duration(2s)}) {
    Core bench(settings_with_grace(grace));
    bench.list(rookproxy::routing::EngineState::kServing);
    bench.list(rookproxy::routing::EngineState::kDraining);
    const Time told = bench.loop.now();
    bench.run_to(told + grace);
    REQUIRE(bench.closed.size() == 1);
    CHECK(bench.closed[0] - told >= grace - 300ms);
  }
}

TEST_CASE("drains: one that is heard late ends when it would have, had it been heard") {
  // Guards against a request that waits for its connection and leaves a whole grace after the word, when the
  // answer that held the word was lost.
  for (const Duration late : {Duration(500ms), Duration(5s)}) {
    Core bench(settings_with_grace(1s));
    bench.list(rookproxy::routing::EngineState::kServing);
    const Time heard = bench.loop.now();
    bench.list(rookproxy::routing::EngineState::kDraining, heard - late);
    bench.run_to(heard + 1s);
    REQUIRE(bench.closed.size() == 1);
    CHECK((bench.closed[0] < heard + 650ms));  // a whole grace from the word on, less the margin: 750 ms
  }
}

TEST_CASE("drains: a grace that a change of settings makes shorter holds for drains under way") {
  Core bench(settings_with_grace(60s));
  bench.list(rookproxy::routing::EngineState::kServing);
  bench.list(rookproxy::routing::EngineState::kDraining);
  bench.core.change_settings(settings_with_grace(300ms), {"addis-dc1"}, {});
  bench.run_to(bench.loop.now() + 2s);
  CHECK_FALSE(bench.closed.empty());
}

TEST_CASE("drains: a request between two connections does not dial an engine that has been closed") {
  // Guards against a first byte after the grace, over a connection that is made then.
  struct Ends final : EngineTransportCallbacks {
    std::vector<Outcome> outcomes;
    bool closed = false;  // the core's word
    bool may_start(AttemptKey) override { return !closed; }
    void on_attempt_ended(AttemptKey, AttemptResult end) override { outcomes.push_back(end.outcome); }
    void on_attempt_update(AttemptKey, rookproxy::routing::AttemptUpdateKind, double) override {}
    void on_probe_ended(EngineId, Outcome, std::optional<LoadReport>) override {}
  } ends;
  std::ostringstream text;
  EventLoop loop;
  Logger log(text, LogLevel::kDebug, "h", "a");
  Metrics figures;
  LineProtocolPool pool(loop, log, ends, figures, {});
  const FileDescriptor listener = test::listen_on_free_port();
  pool.set_engine_address(0, {0x7f000001, local_port(listener)});
  auto query = std::make_shared<Query>();
  query->id = "1";
  query->class_name = "q";
  bool was_reset = false;
  std::optional<test::TestConnection> engine;
  std::function<void()> look = [&] {
    if (!engine && test::wait_until_readable(listener, 0ms)) engine.emplace(accept_connection(listener));
    if (engine && engine->read_more(1ms) && ends.outcomes.empty()) engine->send("1 data parts=1 0\r\n\r\n");
    if (ends.outcomes.empty()) return static_cast<void>(loop.run_at(loop.now() + 1ms, look));
    const linger at_once{1, 0};
    ::setsockopt(engine->fd().get(), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    engine->close();
    auto next = std::make_shared<Query>(*query);
    next->id = "2";
    pool.send({{2, 0}, 0, next, loop.now() + 1s, {}, 1});
    loop.defer([&] {
      ends.closed = true;
      pool.stop_new_attempts(0);
    });
    was_reset = true;
    loop.run_at(loop.now() + 100ms, [&] { loop.stop(); });
  };
  pool.send({{1, 0}, 0, query, loop.now() + 1s, {}, 1});
  loop.run_at(loop.now(), look);
  loop.run();
  REQUIRE(was_reset);
  REQUIRE(ends.outcomes.size() == 2);
  CHECK(ends.outcomes[1] == Outcome::kNotSent);  // no word against the engine
  CHECK_FALSE(test::wait_until_readable(listener, 0ms));
}

namespace {

// A load waits for its connection to engine a, whose queue is full: the kernel tries again a second later.
std::string load_waits_for_a(const std::string& engines, const std::string& drain_grace) {
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

TEST_CASE("drains: what waits for a draining engine goes elsewhere at once, or uses the grace if it has to") {
  run_scenario(load_waits_for_a("a b", "5000000") + R"(
    directory a=draining b=up
    let a
    expect b REQ
    send b data parts=1 ok\n
    expect c served 1 ok\n
    expect a nothing 1000)");
  run_scenario(load_waits_for_a("a", "5000000") + R"(
    directory a=draining
    let a
    expect a REQ
    send a data parts=1 ok\n
    expect c served 1 ok\n)");
}

TEST_CASE("drains: a request whose connection comes up after a short grace does not leave") {
  run_scenario(load_waits_for_a("a", "500000") + R"(
    directory a=draining
    let a
    expect a nothing 2000)");
}

TEST_CASE("refusals for lack of room say no longer than clients are ready to stay away") {
  run_scenario(R"(
    engines a
    set /settings/permissions/max_retry_after 300000
    start
    client c
    repeat 32 send c fields + op=lookup,call=new,ttl=3000 SELECT 1
    send c request 1 lookup 3000 SELECT 2
    expect c pushback 1 300)");
  // 0: clients heed no advice, which is no reason not to start.
  CHECK(read_config(with_peers(R"({"settings":{"permissions":{"max_retry_after":0}}})"))
            .rejection_retry_after == 1s);
}

TEST_CASE("a keyed class's key against repeats goes on to engines with every attempt") {
  // Guards against a request that is not as its client sent it: an engine that is given no key knows no
  // repeat. A safe class has none, and a key that could break the line to the engine is told by name.
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
