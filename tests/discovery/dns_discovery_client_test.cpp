// The service discovery client: which socket it polls from, what it logs when nothing responds, and which
// response counts, against a server that responds, delays and drops as each test says.
#include "discovery/dns_discovery_client.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <functional>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "dispatcher/engine_endpoint.h"
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

// A server in the test's own loop, which responds to each query, delays or drops it as the test says.
class FakeDiscoveryServer final : private EventHandler {
 public:
  // A query, and the socket that it came from.
  struct ReceivedQuery {
    [[nodiscard]] std::uint16_t port() const { return ntohs(from.sin_port); }

    std::string message;
    sockaddr_in from;
  };
  using QueryHandler = std::function<void(FakeDiscoveryServer&, const ReceivedQuery&)>;

  FakeDiscoveryServer(EventLoop& loop, QueryHandler on_query)
      : loop_(loop),
        on_query_(std::move(on_query)),
        socket_(bind_udp(test::kAnyLoopbackPort)),
        key_(loop.watch(socket_.get(), *this)) {}
  ~FakeDiscoveryServer() { loop_.unwatch(key_, socket_.get()); }
  FakeDiscoveryServer(const FakeDiscoveryServer&) = delete;
  FakeDiscoveryServer& operator=(const FakeDiscoveryServer&) = delete;

  [[nodiscard]] SocketAddress address() const { return {test::kLoopbackAddress, local_port(socket_)}; }
  // What has come, in order.
  [[nodiscard]] const std::vector<ReceivedQuery>& queries() const { return queries_; }
  // True if the query came from the socket of the first one.
  [[nodiscard]] bool is_from_first_socket(const ReceivedQuery& query) const {
    return query.port() == queries_.front().port();
  }
  // The ports that queries came from.
  [[nodiscard]] std::set<std::uint16_t> ports() const {
    std::set<std::uint16_t> ports;
    for (const ReceivedQuery& query : queries_) ports.insert(query.port());
    return ports;
  }

  void send(const ReceivedQuery& query, const std::string& bytes) {
    ::sendto(socket_.get(), bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&query.from),
             sizeof query.from);
  }
  // Responds with a list of one engine, whose port is the serial, so that lists can be told apart.
  void respond(const ReceivedQuery& query, std::uint16_t serial) { send(query, make_list(query, serial)); }
  static std::string make_list(const ReceivedQuery& query, std::uint16_t serial) {
    EngineEndpoint endpoint;
    endpoint.id = "a";
    endpoint.address = {test::kLoopbackAddress, serial};
    endpoint.zone = "z";
    endpoint.machine_type = "m";
    return test::make_dns_response(query.message, serial, {endpoint});
  }

 private:
  static constexpr std::size_t kMaxQuerySize = 1024;

  void on_ready(std::uint32_t) override {
    std::array<char, kMaxQuerySize> bytes;
    for (;;) {
      ReceivedQuery query{};
      socklen_t size = sizeof query.from;
      const ssize_t received = ::recvfrom(socket_.get(), bytes.data(), bytes.size(), 0,
                                          reinterpret_cast<sockaddr*>(&query.from), &size);
      if (received < 0) return;
      query.message.assign(bytes.data(), static_cast<std::size_t>(received));
      queries_.push_back(query);
      on_query_(*this, queries_.back());
    }
  }

  EventLoop& loop_;
  QueryHandler on_query_;
  FileDescriptor socket_;
  SlotKey key_;
  std::vector<ReceivedQuery> queries_;
};

using ReceivedQuery = FakeDiscoveryServer::ReceivedQuery;

// A client that polls a fake server, and what it reports and logs.
struct DiscoveryFixture {
  static constexpr Duration kPollInterval = 5ms;
  static constexpr std::uint32_t kKnownSerial = 1;
  static constexpr std::uint64_t kSeed = 7;

  // When a list was reported, and since when it counted as announced.
  struct ReportTime {
    Time effective_since;
    Time reported_at;
  };

  explicit DiscoveryFixture(FakeDiscoveryServer::QueryHandler on_query) : server(loop, std::move(on_query)) {}

  void start() { start(server.address()); }
  void start(const SocketAddress& address) {
    client.emplace(loop, log, address, service, kPollInterval, kKnownSerial, kSeed,
                   [this](const std::vector<EngineEndpoint>& endpoints) {
                     reported.push_back(endpoints.at(0).address.port);
                     report_times.push_back({client->list_effective_since(), loop.now()});
                   });
  }
  // Runs until the condition, which is checked at the end of each iteration, holds.
  void run_until(const std::function<bool()>& done) {
    loop.on_iteration_end([this, &done] {
      if (done()) loop.stop();
    });
    loop.run_at(loop.now() + test::kWaitLimit, [this] {
      timed_out = true;
      loop.stop();
    });
    loop.run();
    loop.on_iteration_end(nullptr);
    INFO(log_text.str());
    REQUIRE(!timed_out);
  }
  // Runs until so many lists were reported.
  void run_until_reported(std::size_t lists) {
    run_until([this, lists] {
      return reported.size() == lists;
    });
  }
  // How many log lines hold the text.
  [[nodiscard]] std::size_t count_in_log(const std::string& text) const {
    const std::string lines = log_text.str();
    std::size_t count = 0;
    for (auto at = lines.find(text); at != std::string::npos; at = lines.find(text, at + 1)) ++count;
    return count;
  }

  std::string service = "_app._tcp.cluster.lan";
  EventLoop loop;
  std::ostringstream log_text;
  Logger log{log_text, LogLevel::kDebug, "h", "a"};
  FakeDiscoveryServer server;
  std::optional<DnsDiscoveryClient> client;
  std::vector<std::uint16_t> reported;  // the serials of the lists, in order
  std::vector<ReportTime> report_times;
  bool timed_out = false;
};

TEST_CASE("discovery: an unresponsive path costs two polls, and a drain meanwhile counts from then") {
  Time first_dropped_at{};
  EventLoop* loop = nullptr;
  DiscoveryFixture fixture([&](FakeDiscoveryServer& server, const ReceivedQuery& query) {
    if (!server.is_from_first_socket(query)) return server.respond(query, 3);
    if (server.queries().size() == 1) return server.respond(query, 2);
    if (server.queries().size() == 2) first_dropped_at = loop->now();
  });
  loop = &fixture.loop;
  const Time started_at = loop->now();
  fixture.start();
  fixture.run_until_reported(2);
  CHECK((fixture.reported == std::vector<std::uint16_t>{2, 3}));
  // One answered, two dropped, one from the new socket; on a busy machine one more leaves before each of the
  // two responses is read.
  CHECK(fixture.server.queries().size() >= 4);
  CHECK(fixture.server.queries().size() <= 6);
  CHECK(fixture.server.ports().size() == 2);
  CHECK(fixture.count_in_log("network path of the former socket was unresponsive") == 1);
  CHECK(fixture.count_in_log("discovery server unresponsive") == 0);
  const Duration longest_pause = DiscoveryFixture::kPollInterval * 11 / 10;
  const DiscoveryFixture::ReportTime& first = fixture.report_times[0];
  const DiscoveryFixture::ReportTime& second = fixture.report_times[1];
  CHECK((first.effective_since == std::min(first.reported_at, started_at + longest_pause)));
  CHECK((second.effective_since <= first_dropped_at + longest_pause));
  CHECK((second.effective_since < second.reported_at));
}

TEST_CASE("discovery: an unresponsive server is polled no more often, and its first response is used") {
  Time first_response_at{};
  EventLoop* loop = nullptr;
  DiscoveryFixture fixture([&](FakeDiscoveryServer& server, const ReceivedQuery& query) {
    if (server.queries().size() < 40) return;
    if (server.queries().size() == 40) first_response_at = loop->now();
    server.respond(query, 2);
  });
  loop = &fixture.loop;
  const Time started_at = loop->now();
  fixture.start();
  fixture.run_until_reported(1);
  CHECK(fixture.server.ports().size() == 5);     // after 2, 4, 8 and 16 queries more
  CHECK(fixture.server.queries().size() <= 41);  // the first response is used, at most one poll later
  // The schedule's pauses, but for the first of them.
  CHECK(first_response_at - started_at >= 38 * DiscoveryFixture::kPollInterval * 9 / 10);
  CHECK(fixture.count_in_log("discovery server unresponsive") == 1);
  CHECK(fixture.count_in_log("network path") == 0);
  CHECK(fixture.count_in_log("discovery server responds again") == 1);
}

TEST_CASE("discovery: a port that refuses is logged as such, and another server is used") {
  DiscoveryFixture fixture([](FakeDiscoveryServer& server, const ReceivedQuery& query) {
    server.respond(query, 2);
  });
  FileDescriptor closed_socket = bind_udp(test::kAnyLoopbackPort);
  const SocketAddress refusing{test::kLoopbackAddress, local_port(closed_socket)};
  closed_socket.reset();
  fixture.start(refusing);
  bool changed_server = false;
  fixture.run_until([&] {
    if (!changed_server && fixture.count_in_log("discovery server refuses queries") == 1) {
      changed_server = true;
      fixture.client->change_server(fixture.server.address(), fixture.service,
                                    DiscoveryFixture::kPollInterval);
    }
    return !fixture.reported.empty();
  });
  CHECK(fixture.count_in_log("discovery server refuses queries") == 1);
  CHECK(fixture.count_in_log("discovery server unresponsive") == 0);
}

TEST_CASE("discovery: a late response on the former socket counts only if it is newer") {
  std::vector<ReceivedQuery> delayed;
  bool new_socket_used = false;
  DiscoveryFixture fixture([&](FakeDiscoveryServer& server, const ReceivedQuery& query) {
    if (server.queries().size() == 1) return server.respond(query, 2);
    const bool is_from_new_socket = !server.is_from_first_socket(query);
    if (std::exchange(new_socket_used, is_from_new_socket)) return server.respond(query, 5);
    if (!is_from_new_socket) return delayed.push_back(query);
    server.respond(delayed.back(), 4);  // sent from the former socket
    server.respond(query, 3);           // and one sent before the newer list
    server.respond(delayed.front(), 2);
  });
  fixture.start();
  fixture.run_until([&] {
    return !fixture.reported.empty() && fixture.reported.back() == 5;
  });
  CHECK((fixture.reported == std::vector<std::uint16_t>{2, 4, 5}));
}

// Sends a list that must not be reported, with one fault each.
void send_faulty_headers(FakeDiscoveryServer& server, const ReceivedQuery& query, const std::string& list) {
  struct Fault {
    std::size_t position;
    unsigned flipped_bits;
  };
  for (const Fault& fault : {Fault{0, 0xff},                  // mismatched
                             Fault{1, 0xff}, Fault{2, 0x02},  // truncated
                             Fault{3, 0x02},                  // the server fails
                             Fault{9, 0x01}}) {               // no SOA in the authority section
    std::string bytes = list;
    bytes[fault.position] = static_cast<char>(bytes[fault.position] ^ static_cast<char>(fault.flipped_bits));
    server.send(query, bytes);
  }
}

TEST_CASE("discovery: a damaged, cut or forged response hides no whole one") {
  DiscoveryFixture fixture([](FakeDiscoveryServer& server, const ReceivedQuery& query) {
    const std::string newer = FakeDiscoveryServer::make_list(query, 9);  // which must not be reported
    const std::size_t round = server.queries().size() - 1;  // a few a round: the kernel keeps no more
    if (round == 0) send_faulty_headers(server, query, newer);
    for (std::size_t size = round; size < newer.size(); size += 4) server.send(query, newer.substr(0, size));
    if (round == 3) server.respond(query, 2);
  });
  fixture.start();
  fixture.run_until([&] {
    return !fixture.reported.empty();
  });
  CHECK((fixture.reported == std::vector<std::uint16_t>{2}));
  CHECK(fixture.server.queries().size() <= 5);
  CHECK(fixture.server.ports().size() == 1);  // the path is not unresponsive
  CHECK(fixture.count_in_log("unusable discovery response") == 1);
  CHECK(fixture.count_in_log("discovery server responds again") == 1);
}

TEST_CASE("discovery: a new socket and another server work when all descriptors are taken") {
  DiscoveryFixture fixture([](FakeDiscoveryServer& server, const ReceivedQuery& query) {
    if (server.queries().size() == 1) return server.respond(query, 2);
    if (!server.is_from_first_socket(query)) server.respond(query, 3);
  });
  FakeDiscoveryServer other_server(fixture.loop, [](FakeDiscoveryServer& server, const ReceivedQuery& query) {
    server.respond(query, 4);
  });
  fixture.start();
  std::optional<test::DescriptorExhaustion> exhaustion;
  bool none_available = false;
  bool changed_server = false;
  fixture.run_until([&] {
    if (!exhaustion && fixture.reported.size() == 1) {
      exhaustion.emplace();
      none_available = !listen_tcp(test::kAnyLoopbackPort);
    }
    if (!changed_server && fixture.reported.size() == 2) {
      changed_server = true;
      fixture.client->change_server(other_server.address(), fixture.service, DiscoveryFixture::kPollInterval);
    }
    if (fixture.reported.size() < 3 && !fixture.timed_out) return false;
    exhaustion.reset();  // a check that fails, and a sanitizer's own, need descriptors
    return true;
  });
  CHECK(none_available);
  CHECK((fixture.reported == std::vector<std::uint16_t>{2, 3, 4}));
  CHECK(fixture.count_in_log("cannot open a socket") == 0);
}

}  // namespace
}  // namespace rookproxy
