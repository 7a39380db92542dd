// Signals that reach the program before it is ready, and the start of many programs at once.
#include <signal.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <string>
#include <string_view>
#include <vector>

#include "fakes/auto_reply_line_engine.h"
#include "fakes/dns_response.h"
#include "fakes/fake_discovery_server.h"
#include "fakes/sockets.h"
#include "fakes/temporary_directory.h"
#include "fakes/test_connection.h"
#include "frontend/frame_codec.h"
#include "net/clock.h"
#include "net/file_descriptor.h"
#include "net/sockets.h"
#include "support/blocked_start.h"
#include "support/dispatcher_config.h"
#include "support/dispatcher_process.h"
#include "support/frames_client.h"
#include "support/request_frame.h"
#include "support/require.h"

using namespace rookproxy;
using namespace rookproxy::test;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kDnsHeaderSize = 12;
constexpr char kIsReady = 0;
constexpr char kIsNotReady = 1;

nlohmann::json make_discovery_config(std::uint16_t discovery_port) {
  nlohmann::json config = default_dispatcher_config();
  config["nameserver"] = loopback_address(discovery_port);
  return config;
}

// A fixed list of one engine, which nobody connects to.
nlohmann::json make_fixed_engine_config() {
  nlohmann::json config = default_dispatcher_config();
  config["engines"] = nlohmann::json::array(
      {{{"id", "e"}, {"host_port", "127.0.0.1:9"}, {"locality", "z"}, {"flavor", "m"}}});
  return config;
}

// A request on stream 1, and on stream 2 the query whether the dispatcher is ready.
std::string make_request_and_readiness_frames(std::uint64_t call) {
  const frames::Fields fields{{"op", "lookup"}, {"ttl", "9000"}, {"call", format_call_id(call)}};
  return encode_request_frame(1, fields, "SELECT 1") +
         frames::encode_frame(frames::kReadinessQuery, 2, std::string(1, '\0'));
}

void check_never_ready(const DispatcherProcess& process) {
  const std::string log = process.log();
  INFO(log);
  CHECK(log.find("graceful shutdown started") != std::string::npos);
  CHECK(log.find("ready to serve") == std::string::npos);
  CHECK(log.find("graceful shutdown completed") != std::string::npos);
}

// Reads one DNS query from the socket and responds with an empty list of version 1.
void respond_to_dns_query(const FileDescriptor& socket) {
  std::array<char, 512> query;
  sockaddr_in sender{};
  socklen_t sender_size = sizeof sender;
  const ssize_t size = ::recvfrom(socket.get(), query.data(), query.size(), 0,
                                  reinterpret_cast<sockaddr*>(&sender), &sender_size);
  require(size > static_cast<ssize_t>(kDnsHeaderSize), "no DNS query");
  const std::string_view query_bytes(query.data(), static_cast<std::size_t>(size));
  const std::string response = make_dns_response(query_bytes, 1, {});
  ::sendto(socket.get(), response.data(), response.size(), 0, reinterpret_cast<const sockaddr*>(&sender),
           sender_size);
}

// Whether the discovery server responds, and where it does not, whether its port is bound.
struct DiscoveryState {
  const char* name;
  bool responds;
  bool is_bound;
};

// Dispatchers that are started together, each with a client that was there first.
class JointStart {
 public:
  JointStart(const DiscoveryState& discovery, std::size_t count) : dispatchers_(count) {
    EngineEndpoint endpoint;
    endpoint.id = "e";
    endpoint.address = {kLoopbackAddress, engine_.port()};
    endpoint.machine_type = "m";
    discovery_.set_endpoints({endpoint});
    const std::uint16_t silent_port = local_port(silent_discovery_);
    if (!discovery.is_bound) silent_discovery_.reset();
    for (BlockedStart& dispatcher : dispatchers_) {
      start(dispatcher, discovery.responds ? discovery_.port() : silent_port, !discovery.responds);
    }
    for (const FileDescriptor& listener : listeners_) {
      clients_.emplace_back(TestConnection::connect(local_port(listener)));
      clients_.back().send(make_request_and_readiness_frames(clients_.size()));
    }
  }

  // Waits until each client has received two frames.
  void receive_responses() {
    for (FramesClient& client : clients_) {
      for (int received = 0; received < 2; ++received) {
        const auto frame = client.next_frame();
        require(frame.has_value(), "no response");
        record(*frame);
      }
    }
    std::sort(ready_after_.begin(), ready_after_.end());
  }

  // Ends all of them in order; their exit codes.
  std::vector<int> stop() {
    for (BlockedStart& dispatcher : dispatchers_) dispatcher.process().send_signal(SIGTERM);
    for (FramesClient& client : clients_) client.connection().close();
    std::vector<int> exit_codes;
    for (BlockedStart& dispatcher : dispatchers_) exit_codes.push_back(dispatcher.process().wait_for_exit());
    return exit_codes;
  }

  [[nodiscard]] std::size_t served() const { return served_; }
  /// How long after the start each was seen to be ready, the shortest time first.
  [[nodiscard]] const std::vector<Duration>& ready_after() const { return ready_after_; }

 private:
  void start(BlockedStart& dispatcher, std::uint16_t discovery_port, bool knows_engine) {
    std::vector<FileDescriptor> inherited;  // so that its address is known
    inherited.push_back(listen_on_free_port());
    nlohmann::json config = make_discovery_config(discovery_port);
    config["listen"] = loopback_address(local_port(inherited[0]));
    if (knows_engine) config["known"]["batch"] = make_known_batch({{"e", engine_.port()}});
    dispatcher.start(inherited);
    listeners_.push_back(std::move(inherited[0]));
    dispatcher.release(config);
  }

  void record(const ReceivedFrame& frame) {
    if (frame.type == frames::kReadiness && frame.payload[0] == kIsReady) {
      ready_after_.push_back(std::chrono::duration_cast<Duration>(monotonic_now() - started_at_));
    }
    if (frame.type == frames::kResponse && frame.payload[0] == frames::kServed) ++served_;
  }

  AutoReplyLineEngine engine_;
  FakeDiscoveryServer discovery_;
  FileDescriptor silent_discovery_ = bind_udp(kAnyLoopbackPort);
  std::vector<BlockedStart> dispatchers_;
  std::vector<FileDescriptor> listeners_;
  std::vector<FramesClient> clients_;
  Time started_at_ = monotonic_now();
  std::size_t served_ = 0;
  std::vector<Duration> ready_after_;
};

}  // namespace

TEST_CASE("startup: SIGTERM, SIGINT and SIGHUP before the configuration is read: exit with 0, never ready") {
  // Guards against signals that find no handler yet, and against a listener that opens for a process about to
  // exit.
  struct Row {
    std::vector<int> signals;
    bool uses_discovery;
  };
  const Row rows[] = {{{SIGTERM}, true},          {{SIGTERM}, false},
                      {{SIGINT}, true},           {{SIGHUP, SIGTERM}, true},
                      {{SIGTERM, SIGHUP}, false}, {{SIGTERM, SIGTERM, SIGINT}, true}};
  for (const Row& row : rows) {
    CAPTURE(row.signals, row.uses_discovery);
    FakeDiscoveryServer discovery;
    BlockedStart dispatcher;
    dispatcher.start();
    for (const int signal : row.signals) dispatcher.process().send_signal(signal);
    dispatcher.release(row.uses_discovery ? make_discovery_config(discovery.port())
                                          : make_fixed_engine_config());
    CHECK(dispatcher.process().wait_for_exit() == 0);
    check_never_ready(dispatcher.process());
  }
}

TEST_CASE("startup: after SIGHUP before the configuration is read, it becomes ready") {
  BlockedStart dispatcher;
  dispatcher.start();
  dispatcher.process().send_signal(SIGHUP);
  dispatcher.release(make_fixed_engine_config());
  dispatcher.process().wait_for_log("configuration reloaded");
  dispatcher.process().wait_for_log("ready to serve");
  dispatcher.process().send_signal(SIGTERM);
  CHECK(dispatcher.process().wait_for_exit() == 0);
}

TEST_CASE("startup: SIGTERM before discovery responds: never ready, and clients that wait are served") {
  // Guards against the timer that opens the listener after the wait, whatever has come meanwhile, and against
  // an accept queue that is lost with the process.
  AutoReplyLineEngine engine;
  const FileDescriptor discovery = bind_udp(kAnyLoopbackPort);
  nlohmann::json config = make_discovery_config(local_port(discovery));
  config["known"]["batch"] = make_known_batch({{"e", engine.port()}});
  BlockedStart dispatcher;
  dispatcher.start();
  dispatcher.release(config);
  require(wait_until_readable(discovery, kWaitLimit), "discovery was never polled");
  TestConnection client = TestConnection::connect(dispatcher.process().client_port());
  client.send(make_request_and_readiness_frames(1));
  dispatcher.process().send_signal(SIGTERM);
  dispatcher.process().wait_for_log("graceful shutdown started");
  respond_to_dns_query(discovery);
  CHECK(client.wait_for_end());
  CHECK_FALSE(client.was_reset());
  std::size_t served = 0;
  std::size_t not_ready = 0;
  frames::ParsedFrame parsed = frames::parse_frame(client.buffer());
  while (parsed.status == frames::ParseStatus::kComplete) {
    const frames::Frame& frame = parsed.frame;
    if (frame.type == frames::kResponse && frame.payload[0] == frames::kServed) ++served;
    if (frame.type == frames::kReadiness && frame.payload[0] == kIsNotReady) ++not_ready;
    client.take(parsed.frame_size);
    parsed = frames::parse_frame(client.buffer());
  }
  CHECK(served == 1);
  CHECK(not_ready == 1);
  client.close();
  CHECK(dispatcher.process().wait_for_exit() == 0);
  const std::string log = dispatcher.process().log();
  INFO(log);
  const auto ready = log.find("ready to serve");
  CHECK((ready == std::string::npos || ready < log.find("graceful shutdown started")));
}

TEST_CASE("startup: SIGTERM to a hot restart's successor before it is ready, and the former serves on") {
  const std::string directory = make_temporary_directory();
  std::vector<FileDescriptor> inherited;
  inherited.push_back(listen_on_free_port());
  nlohmann::json config = make_fixed_engine_config();
  config["listen"] = loopback_address(local_port(inherited[0]));
  std::ofstream(directory + "/config.json") << config.dump();
  DispatcherProcess former;
  former.start({directory, directory + "/former.log"}, inherited);
  former.wait_for_log("ready to serve");
  BlockedStart successor(directory);
  successor.start(inherited);
  successor.process().send_signal(SIGTERM);
  successor.release(config);
  CHECK(successor.process().wait_for_exit() == 0);
  check_never_ready(successor.process());
  CHECK(call_admin(former, "STATUS").starts_with("+OK"));
  former.send_signal(SIGTERM);
  CHECK(former.wait_for_exit() == 0);
  std::filesystem::remove_all(directory);
}

TEST_CASE("startup: twenty started together are ready, with discovery up, down and silent") {
  // Guards against a start that waits for discovery for long, and against a request that is taken before it
  // can be served: each client's lies at the listener before its dispatcher opens it, and only discovery
  // names the engine that lives.
  constexpr std::size_t kDispatchers = 20;
  constexpr std::size_t kMostOfThem = 18;
  for (const DiscoveryState& discovery :
       {DiscoveryState{"up", true, true}, DiscoveryState{"down", false, false},
        DiscoveryState{"silent", false, true}}) {
    CAPTURE(discovery.name);
    JointStart start(discovery, kDispatchers);
    start.receive_responses();
    CHECK(start.served() == kDispatchers);
    REQUIRE(start.ready_after().size() == kDispatchers);
    const Duration most_ready_after = start.ready_after()[kMostOfThem - 1];
    WARN("discovery " << discovery.name << ": " << kMostOfThem << " of " << kDispatchers << " ready after "
                      << most_ready_after / 1ms << " ms, all after " << start.ready_after().back() / 1ms
                      << " ms");
    CHECK(most_ready_after < 10s);
    for (const int exit_code : start.stop()) CHECK(exit_code == 0);
  }
}
