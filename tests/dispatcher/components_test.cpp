// Slots, the loop, streams, log lines and configuration.
#include <sys/socket.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "config/config.h"
#include "dispatcher/dispatcher.h"
#include "dispatcher/rules.h"
#include "fakes/sockets.h"
#include "fakes/temporary_directory.h"
#include "fakes/test_connection.h"
#include "log/log.h"
#include "net/stream.h"

using namespace rookproxy;
using namespace std::chrono_literals;

TEST_CASE("slots: a key outlives its tenant and never finds the next one") {
  SlotMap<int> table;
  const SlotKey first = table.insert(1);
  CHECK(table.take(first) == 1);
  const SlotKey second = table.insert(2);
  CHECK(second != first);
  CHECK(second > first);  // keys sort by age, also in a slot used again
  CHECK(table.find(first) == nullptr);
  CHECK_FALSE(table.take(first));
  CHECK(*table.find(second) == 2);
  CHECK(table.find(0) == nullptr);
  CHECK(table.keys() == std::vector<SlotKey>{second});
}

TEST_CASE("loop: deadlines fire in order, cancelled ones don't, one that sets itself again waits its turn") {
  EventLoop loop;
  std::string order;
  const Time now = loop.now();
  loop.run_at(now + 2ms, [&] { order += 'b'; });
  loop.run_at(now + 1ms, [&] { order += 'a'; });
  TimerId never = loop.run_at(now + 1ms, [&] { order += 'x'; });
  loop.cancel(never);
  loop.cancel(never);
  loop.run_at(now, [&] { loop.run_at(now, [&] { order += 'c'; }); });
  loop.run_at(now + 5ms, [&] { loop.stop(); });
  loop.run();
  CHECK(order.size() == 3);
  CHECK(order.find('a') < order.find('b'));
}

TEST_CASE("loop: a turn that took long is told with what it took") {
  EventLoop loop;
  std::vector<Duration> told;
  loop.on_stalled_iteration(50ms, [&](Duration took) { told.push_back(took); });
  loop.run_at(loop.now(), [] {});
  loop.run_at(loop.now() + 1ms, [] { std::this_thread::sleep_for(60ms); });
  loop.run_at(loop.now() + 2ms, [] {});
  loop.run_at(loop.now() + 100ms, [&] { loop.stop(); });
  loop.run();
  REQUIRE(!told.empty());
  CHECK(*std::max_element(told.begin(), told.end()) >= 60ms);
  for (const Duration one : told) CHECK(one >= 50ms);
}

// A timer that sets itself again at the turn's time once held the turn for ever: no wait, no new clock. On
// the full-size days a module's wake at once did so, and stopped the fleet.
TEST_CASE("loop: a deadline set again at the turn's time runs in the next turn, after a wait") {
  EventLoop loop;
  int fired = 0, this_turn = 0, most_in_a_turn = 0;
  std::function<void()> again = [&] {
    ++fired;
    ++this_turn;
    if (fired < 100) {
      loop.run_at(loop.now(), again);
    } else {
      loop.stop();
    }
  };
  loop.on_iteration_end([&] {
    most_in_a_turn = std::max(most_in_a_turn, this_turn);
    this_turn = 0;
  });
  TimerId cancelled;
  loop.run_at(loop.now(), [&] { loop.cancel(cancelled); });
  cancelled = loop.run_at(loop.now(), [&] { fired += 1000; });
  loop.run_at(loop.now(), again);
  loop.run();
  CHECK(fired == 100);
  CHECK(most_in_a_turn == 1);
}

namespace {
struct Collector final : StreamHandler {
  std::string got;
  std::string end;
  std::size_t on_bytes(std::string_view bytes) override {
    got += bytes;
    return bytes.size();
  }
  void on_closed(std::string_view why) override { end = why; }
};
}  // namespace

TEST_CASE("stream: only what has not begun to leave can be taken back") {
  // The proof that a request never ran rests on this.
  EventLoop loop;
  FileDescriptor listener = test::listen_on_free_port();
  Collector user;
  Stream stream(loop, connect_tcp({0x7f000001, local_port(listener)}), user, true, 1024);
  const auto first = stream.write("first"), second = stream.write("second");
  CHECK_FALSE(stream.has_write_started(first));
  CHECK(stream.cancel_write(first));
  CHECK_FALSE(stream.cancel_write(first));
  loop.run_at(loop.now() + 50ms, [&] { loop.stop(); });
  loop.run();
  CHECK(stream.has_write_started(second));
  CHECK_FALSE(stream.cancel_write(second));
  test::TestConnection peer(accept_connection(listener));
  REQUIRE(peer.wait_for_bytes(6));
  CHECK(peer.take(6) == "second");
}

TEST_CASE("stream: a message larger than the buffer ends the stream") {
  struct Stubborn final : StreamHandler {
    std::string end;
    std::size_t on_bytes(std::string_view) override { return 0; }
    void on_closed(std::string_view why) override { end = why; }
  } user;
  EventLoop loop;
  FileDescriptor listener = test::listen_on_free_port();
  test::TestConnection peer = test::TestConnection::connect(local_port(listener));
  REQUIRE(test::wait_until_readable(listener, test::kWaitLimit));
  Stream stream(loop, accept_connection(listener), user, false, 1024);
  peer.send(std::string(5000, 'x'));
  loop.run_at(loop.now() + 100ms, [&] { loop.stop(); });
  loop.run();
  CHECK(user.end == "a message larger than the buffer");
}

TEST_CASE("log: RFC 5424, with structured data escaped") {
  const std::string line =
      format_rfc5424(LogLevel::kWarning, 16, Time(1'767'225'600'000'042us), "a host", "rookproxy", "7", "",
                     {{"key", "say \"hi\" [\\] \n"}, {"b=d", ""}}, "text\nof two lines");
  CHECK(line ==
        "<132>1 2026-01-01T00:00:00.000042Z a_host rookproxy 7 - "
        "[rookproxy@32473 key=\"say \\\"hi\\\" [\\\\\\]  \" b_d=\"\"] text of two lines");
}

TEST_CASE("log: the level filters, and a flood is cut short and counted") {
  std::ostringstream out;
  Logger log(out, LogLevel::kNotice, "h", "a");
  log.write(LogLevel::kInfo, "x", "unwanted", {});
  CHECK(out.str().empty());
  for (int i = 0; i < 1000; ++i) log.write(LogLevel::kError, "x", "wanted", {});
  const std::string text = out.str();
  CHECK(std::count(text.begin(), text.end(), '\n') < 500);
}

TEST_CASE("log: a syslog collector gets the same line by UDP") {
  const FileDescriptor collector(::socket(AF_INET, SOCK_DGRAM, 0));
  const sockaddr_in any = SocketAddress{0x7f000001, 0}.to_sockaddr();
  REQUIRE(::bind(collector.get(), reinterpret_cast<const sockaddr*>(&any), sizeof any) == 0);
  std::ostringstream out;
  Logger log(out, LogLevel::kInfo, "h", "a");
  log.set_syslog_target(SocketAddress{0x7f000001, local_port(collector)}, 3);
  log.write(LogLevel::kNotice, "id", "text", {{"k", "v"}});
  REQUIRE(test::wait_until_readable(collector, test::kWaitLimit));
  char bytes[512];
  const auto got = ::recv(collector.get(), bytes, sizeof bytes, 0);
  CHECK(std::string(bytes, static_cast<std::size_t>(got)) + "\n" == out.str());
  CHECK(out.str().starts_with("<29>1 "));
}

namespace {
// The message that a configuration changed by one merge patch gives.
std::string fault_of(const std::string& patch) {
  auto document =
      nlohmann::json::parse(R"({"listen":"127.0.0.1:1","nameserver":"127.0.0.1:2","known":{"offset":1,
    "batch":[{"offset":1,"topology":{"complete":true,"members":[{"id":"a","host_port":"127.0.0.1:3","phase":"up"}]}}]},
    "settings":{"grades":[{"name":"q","effect":"pure","target":1,"deadline":5},
    {"name":"w","effect":"side_effect","target":1,"deadline":5}],"permissions":{"max_attempts":2}}})");
  document.merge_patch(nlohmann::json::parse(patch));
  try {
    read_config(document);
  } catch (const ConfigError& fault) {
    return fault.what();
  }
  return "";
}
}  // namespace

TEST_CASE("config: faults name their key") {
  CHECK(fault_of("{}").empty());
  CHECK(fault_of(R"({"listen":"nowhere"})").starts_with("listen: "));
  CHECK(fault_of(R"({"listen":null})").starts_with("listen: missing"));
  CHECK(fault_of(R"({"seed":"xyz"})").starts_with("seed: "));
  CHECK(fault_of(R"({"limits":{"sockets":3}})").starts_with("limits.sockets: out of range"));
  CHECK(fault_of(R"({"limits":{"memory_mb":"many"}})").starts_with("limits.memory_mb: not a number"));
  CHECK(fault_of(R"({"settings":{"grades":[]}})").starts_with("settings.grades: "));
  CHECK(fault_of(R"({"settings":{"permissions":{"max_attempts":0}}})")
            .starts_with("settings.permissions.max_attempts: "));
  CHECK(fault_of(R"({"settings":{"permissions":null}})").starts_with("settings.permissions: missing"));
  const auto with_class = [](const std::string& cls) {
    return fault_of(R"({"settings":{"grades":[{"name":"q","effect":"pure","target":1,"deadline":5},)" + cls +
                    "]}}");
  };
  CHECK(with_class(R"({"name":"v","effect":"pure","target":1,"deadline":5})").empty());
  CHECK(with_class(R"({"name":"v","effect":"pure","target":1,"deadline":0})")
            .starts_with("settings.grades.1.deadline: "));
  CHECK(with_class(R"({"name":"v","effect":"pure","target":1})") == "settings.grades.1.deadline: missing");
  CHECK(with_class(R"({"name":"v","target":1,"deadline":5})") == "settings.grades.1.effect: missing");
  CHECK(with_class(R"({"name":"v","effect":"odd","target":1,"deadline":5})").find("effect") !=
        std::string::npos);
  CHECK(with_class(R"({"effect":"pure","target":1,"deadline":5})") == "settings.grades.1.name: missing");
  CHECK(with_class(R"({"name":"q","effect":"pure","target":1,"deadline":5})").find("twice") !=
        std::string::npos);
  CHECK(with_class(R"({"name":"a\nb","effect":"pure","target":1,"deadline":5})")
            .starts_with("settings.grades.1.name: "));
  CHECK(fault_of(R"({"settings":{"ordinal":9}})").find("ordinal") != std::string::npos);
  CHECK(fault_of(R"({"passed_socket":1})").starts_with("passed_socket: out of range"));
  CHECK(fault_of(R"({"ops":"somewhere"})").starts_with("ops: "));
  CHECK(fault_of(R"({"settings":{"safety":{"drain_grace":-1}}})").find("safety.drain_grace") !=
        std::string::npos);
  CHECK(fault_of(R"({"known":{"batch":[{"topology":{"members":[{"id":"a"}]}}]}})") ==
        "known.batch.0.topology.members.0.host_port: missing");
  CHECK(fault_of(R"({"engines":[{"id":"a","host_port":"127.0.0.1:9","phase":"asleep"}]})")
            .starts_with("engines.0.phase: "));
  CHECK(fault_of(R"({"link":"telex"})").starts_with("link: "));
  const std::string mysql = R"("link":"mysql","mysql_engines":{"user":"u"},"mysql":{"listen":"127.0.0.1:4",)";
  CHECK(fault_of("{" + mysql + R"("users":{"a":"b"},"read_class":"q","load_class":"w"}})").empty());
  CHECK(fault_of("{" + mysql + R"("users":{"a":"b"},"read_class":"q","load_class":"q"}})")
            .starts_with("mysql.load_class: "));
  CHECK(fault_of("{" + mysql + R"("users":{},"read_class":"q","load_class":"w"}})")
            .starts_with("mysql.users: "));
  CHECK(fault_of("{" + mysql + R"("users":{"a":"b"},"raed_class":"q","load_class":"w"}})") ==
        "mysql.raed_class: unknown key");
  CHECK(fault_of(R"({"log":{"level":"loud"}})").starts_with("log.level: "));
}

TEST_CASE("config: a running dispatcher is not talked out of what it was told") {
  // Guards against defaults in the place of keys that a broken file has lost.
  const std::string folder = test::make_temporary_directory();
  const std::string path = folder + "/config.json";
  const auto example = read_toml(ROOKPROXY_ROOT "/deploy/mysql.toml");
  const auto write = [&](const nlohmann::json& document) { std::ofstream(path) << document.dump(); };
  write(example);
  const Environment environment{path, "127.0.0.1:9", "", folder};
  const Config running = load_config(environment, "");
  CHECK(running.admin == SocketAddress{0x7f000001, 9});  // the environment speaks of this very process
  const auto fault_without = [&](const char* pointer) {
    const nlohmann::json::json_pointer at(pointer);
    auto document = example;
    document[at.parent_pointer()].erase(at.back());
    write(document);
    try {
      load_config(environment, "", running);
    } catch (const ConfigError& fault) {
      return std::string(fault.what());
    }
    return std::string();
  };
  for (const char* key : {"/settings", "/limits", "/seed", "/settings/safety", "/settings/fleet_size",
                          "/settings/permissions/cancel", "/settings/domain/is_load"}) {
    INFO(key);
    CHECK(fault_without(key).find(nlohmann::json::json_pointer(key).back() + ": missing") !=
          std::string::npos);
  }
  auto document = example;
  document["settings"]["grades"][1].erase("late_worth");
  write(document);
  CHECK_THROWS_WITH(load_config(environment, "", running),
                    Catch::Contains("settings.grades.1.late_worth: missing"));
  CHECK(fault_without("/log").empty());
  CHECK(fault_without("/settings/permissions/keepalive").find("keepalive") != std::string::npos);
  for (const char* text : {"", "{\"settings\":{\"grades\":["}) {
    std::ofstream(path) << text;
    CHECK_THROWS_AS(load_config(environment, "", running), ConfigError);
  }
  std::filesystem::remove_all(folder);
}

TEST_CASE("config: the operator's example is fine and the known list is its events applied in order") {
  const auto example = read_toml(ROOKPROXY_ROOT "/deploy/mysql.toml");
  CHECK(read_config(example).mysql->load_class == "load");
  auto document = example;
  document.erase("engines");
  document["known"] = nlohmann::json::parse(R"({"offset":3,"batch":[
    {"topology":{"complete":true,"members":[{"id":"a","host_port":"127.0.0.1:3"},{"id":"b","host_port":"127.0.0.1:4"}]}},
    {"topology":{"complete":false,"members":[{"id":"a","phase":"removed"},
      {"id":"b","host_port":"127.0.0.1:4","phase":"draining","up_since_ms":5}]}}]})");
  const Config config = read_config(document);
  REQUIRE(config.initial_endpoints.size() == 1);
  CHECK(config.initial_endpoints[0].id == "b");
  CHECK(config.initial_endpoints[0].state == rookproxy::routing::EngineState::kDraining);
  CHECK(config.initial_endpoints[0].started_at == Time(5ms));
  CHECK(config.initial_endpoints_version == 3);
}

namespace {

// The core between a front and links that only write down what they are told.
struct CoreBench final : ResponseHandler, EngineTransport {
  explicit CoreBench(rookproxy::routing::Settings settings =
                         read_config(read_toml(ROOKPROXY_ROOT "/deploy/mysql.toml")).settings)
      : log(text, LogLevel::kDebug, "h", "a"), core(loop, log, figures, settings, {"addis-dc1"}, {}) {
    core.set_transport(*this);
    loop.on_iteration_end([this] { core.process_events(); });
  }
  void list(std::vector<std::pair<std::string, rookproxy::routing::EngineState>> engines) {
    std::vector<EngineEndpoint> members;
    for (auto& [id, state] : engines) {
      members.push_back({id, {0x7f000001, 1}, state, "addis-dc1", "engine-a", 0, 1, std::nullopt});
    }
    core.update_endpoints(members, false);
    core.process_events();
  }
  RequestKey ask(const char* cls, Duration ttl = 3s) {
    auto query = std::make_shared<Query>();
    query->id = std::to_string(++asked);
    const RequestKey key =
        core.submit({query, *core.find_class(cls), 1, loop.now() + ttl, {}, {}, false, ""}, *this, asked);
    core.process_events();
    return key;
  }
  template <class Holds>
  bool run_until(Holds holds) {
    const Time end = loop.now() + Duration(test::kWaitLimit);
    std::function<void()> look = [&] {
      if (holds() || loop.now() >= end) return loop.stop();
      loop.run_at(loop.now() + 1ms, look);
    };
    loop.run_at(loop.now(), look);
    loop.run();
    return holds();
  }

  ResponseStatus on_response(std::uint64_t, Response answer) override {
    answers.push_back(std::move(answer));
    return answers.back().status;
  }
  void send(const AttemptRequest& order) override { orders.push_back(order); }
  bool cancel(AttemptKey key) override {
    withdrawn.push_back(key);
    return unsent;
  }
  bool cancel_if_unsent(AttemptKey key) override { return unsent && cancel(key); }
  void set_priority(AttemptKey, int) override {}
  void probe(EngineId) override {}
  void set_engine_address(EngineId, const SocketAddress&) override {}
  void stop_new_attempts(EngineId engine) override { closed.push_back(engine); }

  std::ostringstream text;
  EventLoop loop;
  Logger log;
  Metrics figures;
  Dispatcher core;
  std::uint64_t asked = 0;
  bool unsent = false;
  std::vector<Response> answers;
  std::vector<AttemptRequest> orders;
  std::vector<AttemptKey> withdrawn;
  std::vector<EngineId> closed;
};

constexpr auto kUp = rookproxy::routing::EngineState::kServing;

}  // namespace

TEST_CASE("core: a reader parked behind a load is not sent on in the same instant") {
  // Guards against six attempts in 5 ms: the module heard of its cancel at once and sent straight back.
  CoreBench bench;
  bench.list({{"a", kUp}, {"b", kUp}});
  const RequestKey key = bench.ask("lookup");
  REQUIRE(bench.orders.size() == 1);
  bench.core.on_attempt_note({key, 0}, rookproxy::routing::AttemptUpdateKind::kWaitingForLoad, 2);
  bench.core.process_events();
  REQUIRE(bench.withdrawn.size() == 1);
  CHECK(bench.orders.size() == 1);
  CHECK(bench.run_until([&] { return bench.orders.size() == 2; }));
  CHECK(bench.orders[1].engine != bench.orders[0].engine);
}

TEST_CASE("core: an attempt that is called off unsent is no word against its engine") {
  // Guards against an engine taken for unreachable because a client left while it was dialled.
  CoreBench bench;
  bench.unsent = true;
  bench.list({{"a", kUp}});
  bench.core.cancel_request(bench.ask("lookup"));
  bench.core.process_events();
  CHECK(bench.run_until([&] { return bench.withdrawn.size() == 1; }));
  bench.ask("load");  // would wait for a pause to end, were 'a' down
  CHECK(bench.orders.size() == 2);
}

TEST_CASE("core: after a stall past a deadline the module decides, not the guard below it") {
  // Guards against the guard answering in the module's place when both come up in one turn.
  CoreBench bench;
  bench.list({{"a", kUp}});
  bench.ask("lookup", 400ms);
  REQUIRE(bench.orders.size() == 1);
  bench.loop.run_at(bench.loop.now(), [] { std::this_thread::sleep_for(500ms); });
  CHECK(bench.run_until([&] { return !bench.answers.empty(); }));
  CHECK(bench.answers.size() == 1);
  CHECK(bench.text.str().find("without a decision") == std::string::npos);
}

TEST_CASE("core: one answer, whatever comes twice or late") {
  CoreBench bench;
  bench.list({{"a", kUp}});
  const RequestKey key = bench.ask("lookup");
  bench.core.on_attempt_ended({key, 0}, {Outcome::kServed, std::nullopt, "rows"});
  bench.core.on_attempt_ended({key, 0}, {Outcome::kServed, std::nullopt, "rows again"});
  bench.core.process_events();
  bench.core.on_attempt_ended({key, 0}, {Outcome::kError, std::nullopt, ""});
  bench.core.on_attempt_ended({key + 1, 7}, {Outcome::kServed, std::nullopt, "nobody's"});
  bench.core.process_events();
  REQUIRE(bench.answers.size() == 1);
  CHECK(bench.answers[0].body == "rows");
}

TEST_CASE("core: what is unsent for a draining engine is stopped before the grace ends") {
  CoreBench bench;
  bench.list({{"a", kUp}, {"b", kUp}});
  bench.list({{"a", rookproxy::routing::EngineState::kDraining}, {"b", kUp}});
  const Time told = bench.loop.now();
  CHECK(bench.run_until([&] { return !bench.closed.empty(); }));
  CHECK(bench.closed == std::vector<EngineId>{0});
  CHECK(bench.loop.now() - told >= 1s);
}

TEST_CASE("core: more than may be held is refused at once, with a time to come back") {
  CoreBench bench;
  bench.list({{"a", kUp}});
  auto query = std::make_shared<Query>();
  query->statement.assign(64u << 20, 'x');
  bench.core.submit({query, 0, 0, bench.loop.now() + 3s, {}, {}, false, ""}, bench, 1);
  CHECK(bench.run_until([&] { return !bench.answers.empty(); }));
  CHECK(bench.answers[0].status == ResponseStatus::kRejected);
  CHECK(bench.answers[0].retry_after);
  CHECK(bench.orders.empty());
}

TEST_CASE("core: while settings change, the stricter of both bind") {
  const auto named = [](const char* name, rookproxy::routing::Idempotency effect,
                        rookproxy::routing::Time aim = 0) {
    rookproxy::routing::ClassSettings cls;
    cls.name = name, cls.idempotency = effect, cls.latency_objective = aim;
    return cls;
  };
  constexpr auto kSafe = rookproxy::routing::Idempotency::kIdempotent,
                 kUnsafe = rookproxy::routing::Idempotency::kNonIdempotent;
  rookproxy::routing::Settings former, fresh;
  former.max_attempts = 2, fresh.max_attempts = 6;
  former.classes = {named("a", kUnsafe), named("gone", kSafe), named("b", kSafe)};
  fresh.classes = {named("a", kSafe, 7), named("b", kUnsafe), named("new", kSafe)};
  const auto both = merge_stricter(former, fresh);
  REQUIRE(both.classes.size() == 4);
  CHECK(both.classes[0].idempotency == rookproxy::routing::Idempotency::kNonIdempotent);
  CHECK(both.classes[0].latency_objective == 7);
  CHECK(both.classes[1].idempotency == rookproxy::routing::Idempotency::kNonIdempotent);
  CHECK(both.classes[3].name == "gone");
  CHECK(both.max_attempts == 2);
  CHECK(merge_stricter(fresh, former).max_attempts == 2);
}

TEST_CASE("core: what is open keeps its rules, and a place is given back once nobody uses it") {
  // Guards against a second run of what came as a load, and against a table that grows with each SIGHUP.
  CoreBench bench;
  bench.list({{"a", kUp}, {"b", kUp}});
  auto settings = read_config(read_toml(ROOKPROXY_ROOT "/deploy/mysql.toml")).settings;
  const RequestKey load = bench.ask("load", 9s), read = bench.ask("lookup", 9s);
  REQUIRE(bench.orders.size() == 2);
  std::swap(settings.classes[0].idempotency, settings.classes[1].idempotency);
  DispatcherLimits limits;
  limits.settings_transition_time = 1ms;
  bench.core.change_settings(settings, {"addis-dc1"}, limits);
  bench.core.on_attempt_ended({load, 0}, {Outcome::kConnectionLost, std::nullopt, ""});
  bench.core.on_attempt_ended({read, 0}, {Outcome::kConnectionLost, std::nullopt, ""});
  bench.core.process_events();
  REQUIRE(bench.answers.size() == 1);  // the load's
  CHECK(bench.answers[0].status == ResponseStatus::kFailed);
  CHECK(bench.run_until([&] { return bench.orders.size() == 3; }));
  CHECK(bench.orders[2].key.request == read);
  bench.core.on_attempt_ended(bench.orders[2].key, {Outcome::kServed, std::nullopt, "rows"});
  bench.core.process_events();
  rookproxy::routing::ClassIndex highest = 0;
  for (int i = 0; i < 50; ++i) {
    settings.max_attempts = 2 + i % 3;
    bench.core.change_settings(settings, {"addis-dc1"}, limits);
    const Time now = bench.loop.now();
    bench.run_until([&] { return bench.loop.now() > now + 5ms; });
    highest = std::max({highest, *bench.core.find_class("lookup"), *bench.core.find_class("load")});
  }
  CHECK(highest < 6);
  CHECK(bench.core.class_settings(*bench.core.find_class("lookup")).idempotency ==
        rookproxy::routing::Idempotency::kNonIdempotent);
  CHECK(bench.figures.by_class["load"].failed == 1);
  CHECK(bench.figures.by_class["lookup"].served == 1);
}

TEST_CASE("core: two processes of one dispatcher share what a cold engine may be sent") {
  // Guards against an engine that has just started and is pushed over by both during an upgrade.
  const auto sent_with = [](std::size_t parts) {
    auto settings = read_config(read_toml(ROOKPROXY_ROOT "/deploy/mysql.toml")).settings;
    settings.slow_start = rookproxy::routing::SlowStart{0.3, 15'000'000, 3, 1'500'000};
    CoreBench bench(settings);
    bench.core.set_process_count(parts);
    bench.list({});
    const Time begun = bench.loop.now();
    bench.run_until([&] { return bench.loop.now() - begun > 50ms; });
    bench.core.update_endpoints(
        {{"a", {0x7f000001, 1}, kUp, "addis-dc1", "engine-a", 0, 1, bench.loop.now()}}, false);
    bench.core.process_events();
    for (int i = 0; i < 100; ++i) {
      auto query = std::make_shared<Query>();
      bench.core.submit({query, 0, 1, bench.loop.now() + 3s, Duration(200ms), {}, false, ""}, bench, 1);
      bench.core.process_events();
      if (!bench.orders.empty()) {
        bench.core.on_attempt_ended(bench.orders.back().key, {Outcome::kServed, std::nullopt, ""});
      }
      bench.core.process_events();
    }
    return bench.orders.size();
  };
  const std::size_t alone = sent_with(1), beside_another = sent_with(2);
  CHECK(alone > 10);
  CHECK(beside_another > 4);
  CHECK(beside_another <= alone / 2 + 1);
}
