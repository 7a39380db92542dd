// The service discovery client: which socket it polls from, what it logs when nothing responds, and which
// response counts, against a server that responds, delays and drops as each test says.
#include <sys/socket.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <set>
#include <sstream>

#include "discovery/dns_discovery_client.h"
#include "fakes/dns_response.h"
#include "fakes/sockets.h"
#include "net/event_loop.h"
#include "net/file_descriptor.h"
#include "net/slot_map.h"
#include "net/socket_address.h"
#include "net/sockets.h"
#include "support/descriptor_limit.h"

namespace rookproxy {
namespace {

using namespace std::chrono_literals;

constexpr SocketAddress kAnywhere{0x7f000001, 0};

// A server in the test's own loop; the test responds to each query, delays or drops it.
struct Server final : EventHandler {
  struct ReceivedQuery {
    std::string query;
    sockaddr_in from;
    std::uint16_t port() const { return ntohs(from.sin_port); }
  };
  Server(EventLoop& event_loop, std::function<void(const ReceivedQuery&)> then)
      : loop(event_loop),
        on_query(std::move(then)),
        fd(bind_udp(kAnywhere)),
        key(loop.watch(fd.get(), *this)) {}
  ~Server() { loop.unwatch(key, fd.get()); }
  SocketAddress at() const { return {kAnywhere.ip, local_port(fd)}; }
  void on_ready(std::uint32_t) override {
    char bytes[1024];
    for (;;) {
      ReceivedQuery one{};
      socklen_t size = sizeof one.from;
      const auto got =
          ::recvfrom(fd.get(), bytes, sizeof bytes, 0, reinterpret_cast<sockaddr*>(&one.from), &size);
      if (got < 0) return;
      one.query.assign(bytes, static_cast<std::size_t>(got));
      queries.push_back(one);
      on_query(queries.back());
    }
  }
  void send(const ReceivedQuery& to, const std::string& bytes) {
    ::sendto(fd.get(), bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&to.from),
             sizeof to.from);
  }
  // One engine, whose port is the serial, so that lists can be told apart.
  static std::string list(const ReceivedQuery& of, std::uint32_t serial, bool draining = false) {
    const auto state = draining ? routing::EngineState::kDraining : routing::EngineState::kServing;
    return test::make_dns_response(
        of.query, serial,
        {{"a", {kAnywhere.ip, static_cast<std::uint16_t>(serial)}, state, "z", "m", 0, 1, std::nullopt}});
  }
  void respond(const ReceivedQuery& of, std::uint32_t serial) { send(of, list(of, serial)); }
  std::set<std::uint16_t> ports() const {
    std::set<std::uint16_t> all;
    for (const auto& one : queries) all.insert(one.port());
    return all;
  }

  EventLoop& loop;
  std::function<void(const ReceivedQuery&)> on_query;
  FileDescriptor fd;
  SlotKey key;
  std::vector<ReceivedQuery> queries;
};

struct DiscoveryBench {
  explicit DiscoveryBench(std::function<void(const Server::ReceivedQuery&)> on_query, Duration interval = 5ms)
      : poll(interval), server(loop, std::move(on_query)) {}
  void start(const SocketAddress& at) {
    client.emplace(loop, log, metrics, at, "_app._tcp.cluster.lan", poll, EndpointList{1, {}}, 7,
                   [this](const std::vector<EngineEndpoint>& endpoints) {
                     reported.push_back(endpoints.at(0).address.port);
                     report_times.push_back({client->list_announced_at(), loop.now()});
                     reported_states.push_back(endpoints.at(0).state);
                   });
  }
  void run(std::function<bool()> done) {
    loop.on_iteration_end([this, done] {
      if (done()) loop.stop();
    });
    loop.run_at(loop.now() + test::kWaitLimit, [this] {
      late = true;
      loop.stop();
    });
    loop.run();
    INFO(text.str());
    REQUIRE(!late);
  }
  std::size_t lines(const std::string& of) const {
    std::size_t count = 0;
    for (auto at = text.str().find(of); at != std::string::npos; at = text.str().find(of, at + 1)) ++count;
    return count;
  }

  Duration poll;
  EventLoop loop;
  std::ostringstream text;
  Logger log{text, LogLevel::kDebug, "h", "a"};
  DiscoveryMetrics metrics;
  Server server;
  std::optional<DnsDiscoveryClient> client;
  std::vector<std::uint16_t> reported;
  std::vector<routing::EngineState> reported_states;  // of the first engine
  struct ReportTime {
    Time since;
    Time now;
  };
  std::vector<ReportTime> report_times;
  bool late = false;
};

TEST_CASE("discovery: an unresponsive path costs two polls, and a drain meanwhile counts from then") {
  DiscoveryBench* self = nullptr;
  Time first_dropped_at{};
  DiscoveryBench bench([&](const Server::ReceivedQuery& one) {
    auto& server = self->server;
    if (one.port() != server.queries.front().port()) return server.respond(one, 3);
    if (server.queries.size() == 1) return server.respond(one, 2);
    if (server.queries.size() == 2) first_dropped_at = self->loop.now();
  });
  self = &bench;
  const Time started_at = bench.loop.now();
  bench.start(bench.server.at());
  bench.run([&] { return bench.reported.size() == 2; });
  CHECK((bench.reported == std::vector<std::uint16_t>{2, 3}));
  // One answered, two dropped, one from the new socket; on a busy machine one more leaves before each of the
  // two responses is read.
  CHECK(bench.server.queries.size() >= 4);
  CHECK(bench.server.queries.size() <= 6);
  CHECK(bench.server.ports().size() == 2);
  CHECK(bench.lines("the path of a socket was silent, the server was not") == 1);
  CHECK(bench.lines("service discovery does not respond") == 0);
  const Duration pause = bench.poll * 11 / 10;  // the longest
  CHECK((bench.report_times[0].since == std::min(bench.report_times[0].now, started_at + pause)));
  CHECK((bench.report_times[1].since <= first_dropped_at + pause));
  CHECK((bench.report_times[1].since < bench.report_times[1].now));
}

TEST_CASE("discovery: a response with an older list does not end the wait for a lost one") {
  // Guards against a grace period that begins when the list arrives, though it was announced in a response
  // that was lost before a lagging server answered.
  DiscoveryBench* self = nullptr;
  Time first_dropped_at{};
  DiscoveryBench bench([&](const Server::ReceivedQuery& one) {
    auto& server = self->server;
    if (server.queries.size() <= 2) return server.respond(one, 4);  // the second poll confirms it
    if (server.queries.size() == 3) first_dropped_at = self->loop.now();
    if (server.queries.size() == 3) return;  // it would have had the list of version 5
    if (server.queries.size() < 9) return server.respond(one, 3);
    server.respond(one, 5);
  });
  self = &bench;
  bench.start(bench.server.at());
  bench.run([&] { return bench.reported.size() == 2; });
  CHECK((bench.reported == std::vector<std::uint16_t>{4, 5}));
  CHECK((bench.report_times[1].since <= first_dropped_at + bench.poll * 11 / 10));
}

TEST_CASE("discovery: an older list does not hide the newer one behind it under the same query") {
  DiscoveryBench* self = nullptr;
  DiscoveryBench bench([&](const Server::ReceivedQuery& one) {
    auto& server = self->server;
    if (server.queries.size() == 1) return server.respond(one, 4);
    if (server.queries.size() > 2) return;
    server.respond(one, 3);
    server.respond(one, 5);
  });
  self = &bench;
  bench.start(bench.server.at());
  bench.run([&] { return bench.reported.size() == 2 || bench.server.queries.size() > 20; });
  CHECK((bench.reported == std::vector<std::uint16_t>{4, 5}));
}

// Versions count from the dispatcher's start, so a response that was made for a former run of it may carry
// any version. Here one such response, to the fourth poll, says that the engine serves, under version 9.
struct FormerRunBench {
  explicit FormerRunBench(std::uint32_t version_after, bool drains_before)
      : bench([this, version_after, drains_before](const Server::ReceivedQuery& one) {
          auto& server = bench.server;
          const std::size_t poll = server.queries.size();
          if (poll == 4) return server.send(one, Server::list(one, 9));
          const bool drains = drains_before || poll > 4;
          server.send(one, Server::list(one, poll > 4 ? version_after : 4, drains));
        }) {
    bench.start(bench.server.at());
    bench.run([this] { return bench.server.queries.size() >= 10; });
  }
  DiscoveryBench bench;
};

TEST_CASE("discovery: a former run's list of a higher version does not hide a drain") {
  for (const std::uint32_t version : {5, 9}) {  // below the former run's version, and the same by chance
    INFO(version);
    FormerRunBench former(version, false);
    CHECK(former.bench.reported_states.back() == routing::EngineState::kDraining);
  }
}

TEST_CASE("discovery: a former run's list does not let an engine serve again that drains") {
  FormerRunBench former(4, true);
  const auto& states = former.bench.reported_states;
  CHECK(std::count(states.begin(), states.end(), routing::EngineState::kServing) == 0);
}

TEST_CASE("discovery: an unresponsive server is polled no more often, and its first response is used") {
  DiscoveryBench* self = nullptr;
  Time ended{};
  DiscoveryBench bench([&](const Server::ReceivedQuery& one) {
    if (self->server.queries.size() < 40) return;
    if (self->server.queries.size() == 40) ended = self->loop.now();
    self->server.respond(one, 2);
  });
  self = &bench;
  const Time started_at = bench.loop.now();
  bench.start(bench.server.at());
  bench.run([&] { return bench.reported.size() == 1; });
  CHECK(bench.server.ports().size() == 5);   // after 2, 4, 8 and 16 queries more
  CHECK(bench.server.queries.size() <= 41);  // the first response is used, at most one poll later
  CHECK(ended - started_at >= 38 * bench.poll * 9 / 10);  // the schedule's pauses, but for the first of them
  CHECK(bench.lines("service discovery does not respond") == 1);
  CHECK(bench.lines("the path of a socket") == 0);
  CHECK(bench.lines("answers again") == 1);
}

TEST_CASE("discovery: a port that refuses is logged as such, and another server is used") {
  DiscoveryBench* self = nullptr;
  DiscoveryBench bench([&](const Server::ReceivedQuery& one) { self->server.respond(one, 2); });
  self = &bench;
  FileDescriptor nobody = bind_udp(kAnywhere);
  const SocketAddress at{kAnywhere.ip, local_port(nobody)};
  nobody.reset();
  bench.start(at);
  bool changed_server = false;
  bench.run([&] {
    if (!changed_server && bench.lines("refused: nobody listens there") == 1) {
      changed_server = true;
      bench.client->change_server(bench.server.at(), "_app._tcp.cluster.lan", bench.poll);
    }
    return !bench.reported.empty();
  });
  CHECK(bench.lines("refused: nobody listens there") == 1);
  CHECK(bench.lines("service discovery does not respond") == 0);
}

TEST_CASE("discovery: a late response on the former socket counts only if it is newer") {
  DiscoveryBench* self = nullptr;
  std::vector<Server::ReceivedQuery> delayed;
  bool fresh = false;
  DiscoveryBench bench([&](const Server::ReceivedQuery& one) {
    auto& server = self->server;
    if (server.queries.size() == 1) return server.respond(one, 2);
    if (std::exchange(fresh, one.port() != server.queries.front().port())) return server.respond(one, 5);
    if (!fresh) return delayed.push_back(one);
    server.respond(delayed.back(), 4);  // sent from the former socket
    server.respond(one, 3);             // and one sent before the newer list
    server.respond(delayed.front(), 2);
  });
  self = &bench;
  bench.start(bench.server.at());
  bench.run([&] { return !bench.reported.empty() && bench.reported.back() == 5; });
  CHECK((bench.reported == std::vector<std::uint16_t>{2, 4, 5}));
}

TEST_CASE("discovery: a damaged, cut or forged response hides no whole one") {
  DiscoveryBench* self = nullptr;
  DiscoveryBench bench([&](const Server::ReceivedQuery& one) {
    auto& server = self->server;
    const std::string newer = Server::list(one, 9);  // which must not be reported
    const auto send_damaged = [&](std::size_t at, unsigned bits) {
      std::string bytes = newer;
      bytes[at] = static_cast<char>(bytes[at] ^ static_cast<char>(bits));
      server.send(one, bytes);
    };
    const std::size_t part = server.queries.size() - 1;  // a few at a time: the kernel keeps no more
    if (part == 0) {
      send_damaged(0, 0xff);  // mismatched
      send_damaged(1, 0xff);
      send_damaged(2, 0x02);  // truncated
      send_damaged(3, 0x02);  // the server fails
      send_damaged(9, 0x01);  // no SOA in the authority section
    }
    for (std::size_t size = part; size < newer.size(); size += 4) server.send(one, newer.substr(0, size));
    if (part == 3) server.respond(one, 2);
  });
  self = &bench;
  bench.start(bench.server.at());
  bench.run([&] { return !bench.reported.empty(); });
  CHECK((bench.reported == std::vector<std::uint16_t>{2}));
  CHECK(bench.server.queries.size() <= 5);
  CHECK(bench.server.ports().size() == 1);  // the path is not unresponsive
  CHECK(bench.lines("answers can't be used") == 1);
  CHECK(bench.lines("answers again") == 1);
}

TEST_CASE("discovery: a new socket and another server work when all descriptors are taken") {
  DiscoveryBench* self = nullptr;
  DiscoveryBench bench([&](const Server::ReceivedQuery& one) {
    auto& server = self->server;
    if (server.queries.size() == 1) return server.respond(one, 2);
    if (one.port() != server.queries.front().port()) server.respond(one, 3);
  });
  self = &bench;
  Server elsewhere(bench.loop, [&](const Server::ReceivedQuery& one) { elsewhere.respond(one, 4); });
  bench.start(bench.server.at());
  std::optional<test::DescriptorExhaustion> all_taken;
  bool none_available = false;
  bool changed_server = false;
  bench.run([&] {
    if (!all_taken && bench.reported.size() == 1) {
      all_taken.emplace();
      none_available = !listen_tcp(kAnywhere);
    }
    if (!changed_server && bench.reported.size() == 2) {
      changed_server = true;
      bench.client->change_server(elsewhere.at(), "_app._tcp.cluster.lan", bench.poll);
    }
    if (bench.reported.size() < 3 && !bench.late) return false;
    all_taken.reset();  // a check that fails, and a sanitizer's own, need descriptors
    return true;
  });
  CHECK(none_available);
  CHECK((bench.reported == std::vector<std::uint16_t>{2, 3, 4}));
  CHECK(bench.lines("cannot open a UDP socket") == 0);
}

}  // namespace
}  // namespace rookproxy
