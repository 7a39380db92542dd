// Tests which socket the service discovery client polls from, what it logs, and which responses it uses, with
// a server that responds, delays or drops queries as each test requires.
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

constexpr SocketAddress kLoopback{0x7f000001, 0};

// A server in the test's event loop. The test responds to each query, delays or drops it.
struct FakeServer final : EventHandler {
  struct ReceivedQuery {
    std::string message;
    sockaddr_in from;
    std::uint16_t port() const { return ntohs(from.sin_port); }
  };
  FakeServer(EventLoop& event_loop, std::function<void(const ReceivedQuery&)> handler)
      : loop(event_loop),
        on_query(std::move(handler)),
        fd(bind_udp(kLoopback)),
        key(loop.watch(fd.get(), *this)) {}
  ~FakeServer() { loop.unwatch(key, fd.get()); }
  SocketAddress at() const { return {kLoopback.ip, local_port(fd)}; }
  void on_ready(std::uint32_t) override {
    char bytes[1024];
    for (;;) {
      ReceivedQuery query{};
      socklen_t size = sizeof query.from;
      const auto received =
          ::recvfrom(fd.get(), bytes, sizeof bytes, 0, reinterpret_cast<sockaddr*>(&query.from), &size);
      if (received < 0) return;
      query.message.assign(bytes, static_cast<std::size_t>(received));
      queries.push_back(query);
      on_query(queries.back());
    }
  }
  void send(const ReceivedQuery& to, const std::string& bytes) {
    ::sendto(fd.get(), bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&to.from),
             sizeof to.from);
  }
  // A list with one engine, whose port is the serial, so that lists can be distinguished.
  static std::string list(const ReceivedQuery& of, std::uint32_t serial, bool draining = false) {
    const auto state = draining ? routing::EngineState::kDraining : routing::EngineState::kServing;
    return test::make_dns_response(
        of.message, serial,
        {{"a", {kLoopback.ip, static_cast<std::uint16_t>(serial)}, state, "z", "m", 0, 1, std::nullopt}});
  }
  void respond(const ReceivedQuery& of, std::uint32_t serial) { send(of, list(of, serial)); }
  std::set<std::uint16_t> ports() const {
    std::set<std::uint16_t> all;
    for (const auto& query : queries) all.insert(query.port());
    return all;
  }

  EventLoop& loop;
  std::function<void(const ReceivedQuery&)> on_query;
  FileDescriptor fd;
  SlotKey key;
  std::vector<ReceivedQuery> queries;
};

struct DiscoveryFixture {
  explicit DiscoveryFixture(std::function<void(const FakeServer::ReceivedQuery&)> on_query,
                            Duration interval = 5ms)
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
      timed_out = true;
      loop.stop();
    });
    loop.run();
    INFO(log_text.str());
    REQUIRE(!timed_out);
  }
  std::size_t count_log_lines(const std::string& of) const {
    std::size_t count = 0;
    for (auto at = log_text.str().find(of); at != std::string::npos; at = log_text.str().find(of, at + 1))
      ++count;
    return count;
  }

  Duration poll;
  EventLoop loop;
  std::ostringstream log_text;
  Logger log{log_text, LogLevel::kDebug, "h", "a"};
  DiscoveryMetrics metrics;
  FakeServer server;
  std::optional<DnsDiscoveryClient> client;
  std::vector<std::uint16_t> reported;
  std::vector<routing::EngineState> reported_states;  // The state of the first engine.
  struct ReportTime {
    Time announced_at;
    Time now;
  };
  std::vector<ReportTime> report_times;
  bool timed_out = false;
};

TEST_CASE("discovery: two lost responses lead to a new socket, and a drain counts from the first of them") {
  DiscoveryFixture* self = nullptr;
  Time first_dropped_at{};
  DiscoveryFixture fixture([&](const FakeServer::ReceivedQuery& query) {
    auto& server = self->server;
    if (query.port() != server.queries.front().port()) return server.respond(query, 3);
    if (server.queries.size() == 1) return server.respond(query, 2);
    if (server.queries.size() == 2) first_dropped_at = self->loop.now();
  });
  self = &fixture;
  const Time started_at = fixture.loop.now();
  fixture.start(fixture.server.at());
  fixture.run([&] { return fixture.reported.size() == 2; });
  CHECK((fixture.reported == std::vector<std::uint16_t>{2, 3}));
  // One answered, two dropped and one from the new socket. On a busy machine another one may be sent before
  // each of the two responses is read.
  CHECK(fixture.server.queries.size() >= 4);
  CHECK(fixture.server.queries.size() <= 6);
  CHECK(fixture.server.ports().size() == 2);
  CHECK(fixture.count_log_lines("network path of the previous socket failed") == 1);
  CHECK(fixture.count_log_lines("service discovery does not respond") == 0);
  const Duration max_pause = fixture.poll * 11 / 10;
  CHECK((fixture.report_times[0].announced_at ==
         std::min(fixture.report_times[0].now, started_at + max_pause)));
  CHECK((fixture.report_times[1].announced_at <= first_dropped_at + max_pause));
  CHECK((fixture.report_times[1].announced_at < fixture.report_times[1].now));
}

TEST_CASE("discovery: a response with an older list does not answer for a lost response") {
  // Guards against a grace period that is counted from the arrival of the list although it was announced in a
  // lost response, before a lagging server answered.
  DiscoveryFixture* self = nullptr;
  Time first_dropped_at{};
  DiscoveryFixture fixture([&](const FakeServer::ReceivedQuery& query) {
    auto& server = self->server;
    if (server.queries.size() <= 2) return server.respond(query, 4);  // The second poll confirms the list.
    if (server.queries.size() == 3) first_dropped_at = self->loop.now();
    if (server.queries.size() == 3) return;  // The lost response has the list with version 5.
    if (server.queries.size() < 9) return server.respond(query, 3);
    server.respond(query, 5);
  });
  self = &fixture;
  fixture.start(fixture.server.at());
  fixture.run([&] { return fixture.reported.size() == 2; });
  CHECK((fixture.reported == std::vector<std::uint16_t>{4, 5}));
  CHECK((fixture.report_times[1].announced_at <= first_dropped_at + fixture.poll * 11 / 10));
}

TEST_CASE("discovery: a newer list is used after an older one in response to the same query") {
  DiscoveryFixture* self = nullptr;
  DiscoveryFixture fixture([&](const FakeServer::ReceivedQuery& query) {
    auto& server = self->server;
    if (server.queries.size() == 1) return server.respond(query, 4);
    if (server.queries.size() > 2) return;
    server.respond(query, 3);
    server.respond(query, 5);
  });
  self = &fixture;
  fixture.start(fixture.server.at());
  fixture.run([&] { return fixture.reported.size() == 2 || fixture.server.queries.size() > 20; });
  CHECK((fixture.reported == std::vector<std::uint16_t>{4, 5}));
}

// Versions start anew with each run of the dispatcher, so a response made for a previous run may have any
// version. In this fixture, the response to the fourth poll is such a one: the engine is serving, under
// version 9.
struct PreviousRunFixture {
  explicit PreviousRunFixture(std::uint32_t version_after, bool drains_before)
      : fixture([this, version_after, drains_before](const FakeServer::ReceivedQuery& query) {
          auto& server = fixture.server;
          const std::size_t poll = server.queries.size();
          if (poll == 4) return server.send(query, FakeServer::list(query, 9));
          const bool drains = drains_before || poll > 4;
          server.send(query, FakeServer::list(query, poll > 4 ? version_after : 4, drains));
        }) {
    fixture.start(fixture.server.at());
    fixture.run([this] { return fixture.server.queries.size() >= 10; });
  }
  DiscoveryFixture fixture;
};

TEST_CASE("discovery: a list of a previous run with a higher version does not hide a drain") {
  // Lower than the version of the previous run, and equal to it.
  for (const std::uint32_t version : {5, 9}) {
    INFO(version);
    PreviousRunFixture previous_run(version, false);
    CHECK(previous_run.fixture.reported_states.back() == routing::EngineState::kDraining);
  }
}

TEST_CASE("discovery: a list of a previous run does not make a draining engine serve again") {
  PreviousRunFixture previous_run(4, true);
  const auto& states = previous_run.fixture.reported_states;
  CHECK(std::count(states.begin(), states.end(), routing::EngineState::kServing) == 0);
}

TEST_CASE("discovery: an unresponsive server is polled at the same rate, and its first response is used") {
  DiscoveryFixture* self = nullptr;
  Time first_response_at{};
  DiscoveryFixture fixture([&](const FakeServer::ReceivedQuery& query) {
    if (self->server.queries.size() < 40) return;
    if (self->server.queries.size() == 40) first_response_at = self->loop.now();
    self->server.respond(query, 2);
  });
  self = &fixture;
  const Time started_at = fixture.loop.now();
  fixture.start(fixture.server.at());
  fixture.run([&] { return fixture.reported.size() == 1; });
  CHECK(fixture.server.ports().size() == 5);   // New ones after 2, 4, 8 and 16 more queries.
  CHECK(fixture.server.queries.size() <= 41);  // The first response is used, at most one poll later.
  // The shortest pauses of the schedule, without the first one.
  CHECK(first_response_at - started_at >= 38 * fixture.poll * 9 / 10);
  CHECK(fixture.count_log_lines("service discovery does not respond") == 1);
  CHECK(fixture.count_log_lines("network path of the previous socket") == 0);
  CHECK(fixture.count_log_lines("service discovery responds again") == 1);
}

TEST_CASE("discovery: a refused query is logged as refused, and another server can be used") {
  DiscoveryFixture* self = nullptr;
  DiscoveryFixture fixture([&](const FakeServer::ReceivedQuery& query) { self->server.respond(query, 2); });
  self = &fixture;
  FileDescriptor closed_port = bind_udp(kLoopback);
  const SocketAddress at{kLoopback.ip, local_port(closed_port)};
  closed_port.reset();
  fixture.start(at);
  bool changed_server = false;
  fixture.run([&] {
    if (!changed_server && fixture.count_log_lines("service discovery refuses queries") == 1) {
      changed_server = true;
      fixture.client->change_server(fixture.server.at(), "_app._tcp.cluster.lan", fixture.poll);
    }
    return !fixture.reported.empty();
  });
  CHECK(fixture.count_log_lines("service discovery refuses queries") == 1);
  CHECK(fixture.count_log_lines("service discovery does not respond") == 0);
}

TEST_CASE("discovery: a late response on the previous socket is used only if its list is newer") {
  DiscoveryFixture* self = nullptr;
  std::vector<FakeServer::ReceivedQuery> delayed;
  bool is_new_socket = false;
  DiscoveryFixture fixture([&](const FakeServer::ReceivedQuery& query) {
    auto& server = self->server;
    if (server.queries.size() == 1) return server.respond(query, 2);
    if (std::exchange(is_new_socket, query.port() != server.queries.front().port()))
      return server.respond(query, 5);
    if (!is_new_socket) return delayed.push_back(query);
    server.respond(delayed.back(), 4);  // The query came from the previous socket.
    server.respond(query, 3);           // A list older than the previous one.
    server.respond(delayed.front(), 2);
  });
  self = &fixture;
  fixture.start(fixture.server.at());
  fixture.run([&] { return !fixture.reported.empty() && fixture.reported.back() == 5; });
  CHECK((fixture.reported == std::vector<std::uint16_t>{2, 4, 5}));
}

TEST_CASE("discovery: damaged, truncated and forged responses do not prevent the use of a valid one") {
  DiscoveryFixture* self = nullptr;
  DiscoveryFixture fixture([&](const FakeServer::ReceivedQuery& query) {
    auto& server = self->server;
    const std::string newer = FakeServer::list(query, 9);  // It must not be reported.
    const auto send_damaged = [&](std::size_t at, unsigned bits) {
      std::string bytes = newer;
      bytes[at] = static_cast<char>(bytes[at] ^ static_cast<char>(bits));
      server.send(query, bytes);
    };
    // A few datagrams per query, because of the size of the receive buffer.
    const std::size_t part = server.queries.size() - 1;
    if (part == 0) {
      send_damaged(0, 0xff);  // Mismatched.
      send_damaged(1, 0xff);
      send_damaged(2, 0x02);  // Truncated.
      send_damaged(3, 0x02);  // Server error.
      send_damaged(9, 0x01);  // No SOA record in the authority section.
    }
    for (std::size_t size = part; size < newer.size(); size += 4) server.send(query, newer.substr(0, size));
    if (part == 3) server.respond(query, 2);
  });
  self = &fixture;
  fixture.start(fixture.server.at());
  fixture.run([&] { return !fixture.reported.empty(); });
  CHECK((fixture.reported == std::vector<std::uint16_t>{2}));
  CHECK(fixture.server.queries.size() <= 5);
  CHECK(fixture.server.ports().size() == 1);  // The path is not treated as unresponsive.
  CHECK(fixture.count_log_lines("service discovery responses are unusable") == 1);
  CHECK(fixture.count_log_lines("service discovery responds again") == 1);
}

TEST_CASE("discovery: a new socket and another server can be used when no descriptor is free") {
  DiscoveryFixture* self = nullptr;
  DiscoveryFixture fixture([&](const FakeServer::ReceivedQuery& query) {
    auto& server = self->server;
    if (server.queries.size() == 1) return server.respond(query, 2);
    if (query.port() != server.queries.front().port()) server.respond(query, 3);
  });
  self = &fixture;
  FakeServer other_server(fixture.loop,
                          [&](const FakeServer::ReceivedQuery& query) { other_server.respond(query, 4); });
  fixture.start(fixture.server.at());
  std::optional<test::DescriptorExhaustion> exhaustion;
  bool none_available = false;
  bool changed_server = false;
  fixture.run([&] {
    if (!exhaustion && fixture.reported.size() == 1) {
      exhaustion.emplace();
      none_available = !listen_tcp(kLoopback);
    }
    if (!changed_server && fixture.reported.size() == 2) {
      changed_server = true;
      fixture.client->change_server(other_server.at(), "_app._tcp.cluster.lan", fixture.poll);
    }
    if (fixture.reported.size() < 3 && !fixture.timed_out) return false;
    exhaustion.reset();  // Failing checks and sanitizers need descriptors.
    return true;
  });
  CHECK(none_available);
  CHECK((fixture.reported == std::vector<std::uint16_t>{2, 3, 4}));
  CHECK(fixture.count_log_lines("cannot open a UDP socket") == 0);
}

}  // namespace
}  // namespace rookproxy
