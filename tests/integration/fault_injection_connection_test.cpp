// Connections to engines that are not read, that end, or that are established late.
#include <sys/socket.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "support/invariant_report.h"
#include "support/manual_clock.h"
#include "support/request_stage.h"
#include "support/require.h"
#include "support/test_cluster.h"

using namespace rookproxy;
using namespace rookproxy::test;
using namespace std::chrono_literals;
using rookproxy::routing::EngineState;

namespace {

constexpr Duration kShortGracePeriod = 120ms;

// ---- attempts that wait behind bytes that an engine does not read

// Requests of a quarter of a megabyte: more together than the kernel buffers for one connection.
constexpr int kLargeRequestCount = 18;
constexpr std::size_t kLargeRequestSize = 250'000;
constexpr Duration kLargeRequestTimeToLive = 900ms;
constexpr int kSmallReceiveBuffer = 4096;

// Large requests to an engine that does not read, and behind them one attempt that waits.
struct WaitingAttempt {
  TestCluster cluster;
  std::size_t client = 0;
  std::size_t request = 0;

  WaitingAttempt(ManualClock& clock, const ClusterOptions& options, const char* class_name)
      : cluster(clock, options) {
    for (std::size_t other = 1; other < kEngineCount; ++other) {
      cluster.publish_engine_state(other, EngineState::kRemoved);
    }
    ::setsockopt(engine().listener.get(), SOL_SOCKET, SO_RCVBUF, &kSmallReceiveBuffer,
                 sizeof kSmallReceiveBuffer);
    engine().is_reading = false;
    send_large_requests();
    client = cluster.connect();
    request = cluster.send_request(client, class_name);
    cluster.settle();
    require(cluster.attempts_written() < kLargeRequestCount, "the kernel took all large requests");
    require(cluster.attempts_in_flight() > kLargeRequestCount, "no attempt waits");
  }

  ScriptedEngine& engine() { return cluster.engine(0); }

 private:
  void send_large_requests() {
    const std::size_t other_client = cluster.connect();
    const std::string small_statement = cluster.statement;
    cluster.statement += std::string(kLargeRequestSize, ' ');
    for (int i = 0; i < kLargeRequestCount; ++i) {
      const std::size_t large = cluster.send_request(other_client, "safe", kLargeRequestTimeToLive);
      cluster.request(large).may_lie_unread = true;
      cluster.settle();
    }
    cluster.statement = small_statement;
  }
};

// The points of one class: its client disconnects, its connection ends, or its engine drains.
class WaitingAttemptPoints {
 public:
  WaitingAttemptPoints(ManualClock& clock, InvariantReport& report, const char* class_name, bool may_cancel)
      : clock_(clock), report_(report), class_name_(class_name) {
    options_.may_cancel = may_cancel;
    options_.streams_per_connection = 32;
    options_.drain_grace_period = kShortGracePeriod;
  }

  void disconnect_client(CloseKind kind) {
    WaitingAttempt waiting(clock_, options_, class_name_);
    waiting.cluster.disconnect_client(waiting.client, kind, waiting.request);
    report(waiting, "client disconnects", kind);
  }

  void close_engine_connections(CloseKind kind) {
    WaitingAttempt waiting(clock_, options_, class_name_);
    waiting.cluster.advance_time(30ms);
    ScriptedEngine& engine = waiting.engine();
    for (std::size_t index = 0; index < engine.connections.size(); ++index) {
      engine.close_connection(index, kind);
    }
    report(waiting, "connection ends", kind);
  }

  void drain_engine() {
    WaitingAttempt waiting(clock_, options_, class_name_);
    waiting.cluster.publish_engine_state(0, EngineState::kDraining);
    report(waiting, "engine drains", CloseKind::kUnresponsive);
  }

 private:
  void report(WaitingAttempt& waiting, const char* fault, CloseKind kind) {
    report_.add(waiting.cluster,
                point_name(fault, class_name_, close_kind_name(kind), options_.may_cancel ? "" : "no STOP"));
  }

  ManualClock& clock_;
  InvariantReport& report_;
  const char* class_name_;
  ClusterOptions options_;
};

// ---- idle connections that end

enum class CloseMoment { kBeforeRequest, kWithRequest, kDuringIteration, kAfterIteration };
constexpr const char* kCloseMomentNames[] = {"before", "with it", "during iteration", "after"};

// One point: engines close their idle connections around the iteration in which a request comes.
void close_idle_connections(ManualClock& clock, InvariantReport& report, const char* class_name,
                            CloseKind kind, CloseMoment moment) {
  TestCluster cluster(clock);
  warm_up_connections(cluster);
  cluster.serve_requests();
  const auto close_connections = std::bind_front(close_idle_engine_connections, std::ref(cluster), kind);
  if (moment == CloseMoment::kBeforeRequest) close_connections();
  if (moment == CloseMoment::kDuringIteration) cluster.in_next_iteration(close_connections);
  const std::size_t client = cluster.connect();
  cluster.send_request(client, class_name);
  if (moment == CloseMoment::kWithRequest) close_connections();
  if (moment == CloseMoment::kAfterIteration) {
    cluster.poll();
    close_connections();
  }
  cluster.settle();
  report.add(cluster,
             point_name(class_name, close_kind_name(kind), kCloseMomentNames[static_cast<int>(moment)]));
}

// ---- connections that are established late

// A cluster whose connections are established only once its attempts may no longer start.
struct LateConnection {
  LateConnection(ManualClock& clock, const ClusterOptions& options, std::string name)
      : cluster(clock, options), point(std::move(name)) {}

  TestCluster cluster;
  std::string point;
  std::function<void()> inject_fault = [] {};
};

// All clusters wait together, since the kernel repeats an attempt to connect only after a second. The manual
// clock stands still meanwhile.
class LateConnections {
 public:
  explicit LateConnections(ManualClock& clock) : clock_(clock) { options_.connect_timeout = 5s; }

  void add_class(const char* class_name) {
    for (const bool may_cancel : {true, false}) {
      for (const CloseKind kind :
           {CloseKind::kGraceful, CloseKind::kReset, CloseKind::kHalfClose, CloseKind::kCancelRequest}) {
        add_disconnect(class_name, kind, may_cancel);
      }
    }
    add_deadline(class_name);
    for (const EngineState state : {EngineState::kDraining, EngineState::kRemoved}) {
      add_drain(class_name, state);
    }
    add_idempotency_window(class_name);
  }

  // Injects all faults, lets the attempts' time pass, and then the connections be established.
  void run() {
    std::vector<TestCluster*> clusters;
    for (LateConnection& late : all_) clusters.push_back(&late.cluster);
    for (TestCluster* cluster : clusters) cluster->settle();
    for (LateConnection& late : all_) {
      require(late.cluster.attempts_in_flight() > 0, "no attempt waits: " + late.point);
      late.inject_fault();
    }
    TestCluster::advance_time(clock_, clusters, 650ms);
    for (TestCluster* cluster : clusters) cluster->resume_engines();
    const auto end = std::chrono::steady_clock::now() + 1500ms;
    while (std::chrono::steady_clock::now() < end) {
      for (TestCluster* cluster : clusters) cluster->settle();
      std::this_thread::sleep_for(10ms);
    }
  }

  void report_to(InvariantReport& report) {
    for (; !all_.empty(); all_.pop_front()) report.add(all_.front().cluster, all_.front().point);
  }

 private:
  void add_disconnect(const char* class_name, CloseKind kind, bool may_cancel) {
    ClusterOptions options = options_;
    options.may_cancel = may_cancel;
    LateConnection& late = add(options, point_name("client disconnects", class_name, close_kind_name(kind),
                                                   may_cancel ? "" : "no STOP"));
    TestCluster& cluster = late.cluster;
    cluster.fill_accept_queues();
    const std::size_t client = cluster.connect();
    const std::size_t request = cluster.send_request(client, class_name);
    late.inject_fault = std::bind_front(&TestCluster::disconnect_client, &cluster, client, kind, request);
  }

  void add_deadline(const char* class_name) {
    TestCluster& cluster = add(options_, point_name("deadline", class_name)).cluster;
    cluster.fill_accept_queues();
    cluster.send_request(cluster.connect(), class_name, 600ms);
  }

  void add_drain(const char* class_name, EngineState state) {
    ClusterOptions options = options_;
    options.drain_grace_period = kShortGracePeriod;
    LateConnection& late = add(options, point_name("drain", class_name, static_cast<int>(state)));
    TestCluster& cluster = late.cluster;
    cluster.fill_accept_queues();
    cluster.send_request(cluster.connect(), class_name);
    late.inject_fault = [&cluster, state] {
      for (std::size_t engine = 0; engine < kEngineCount; ++engine) {
        cluster.publish_engine_state(engine, state);
      }
    };
  }

  // A second attempt, after one that may have run: the idempotency window ends while it connects.
  void add_idempotency_window(const char* class_name) {
    LateConnection& late = add(options_, point_name("window", class_name));
    TestCluster& cluster = late.cluster;
    const std::size_t request = cluster.send_request(cluster.connect(), class_name);
    cluster.settle();
    const std::size_t attempt = cluster.require_attempt_of(request);
    cluster.fill_accept_queues();
    late.inject_fault =
        std::bind_front(&TestCluster::close_attempt_connection, &cluster, attempt, CloseKind::kReset);
  }

  LateConnection& add(const ClusterOptions& options, const std::string& point) {
    return all_.emplace_back(clock_, options, point);
  }

  ManualClock& clock_;
  ClusterOptions options_;
  std::deque<LateConnection> all_;
};

}  // namespace

TEST_CASE("fault injection: an attempt waits behind bytes that its engine does not read") {
  ManualClock clock;
  InvariantReport report;
  // A non-idempotent one gets a connection of its own, and leaves at once.
  for (const char* class_name : {"safe", "all", "zone", "cell"}) {
    for (const bool may_cancel : {true, false}) {
      WaitingAttemptPoints points(clock, report, class_name, may_cancel);
      for (const CloseKind kind :
           {CloseKind::kGraceful, CloseKind::kReset, CloseKind::kHalfClose, CloseKind::kCancelRequest}) {
        points.disconnect_client(kind);
      }
      for (const CloseKind kind : {CloseKind::kGraceful, CloseKind::kReset}) {
        points.close_engine_connections(kind);
      }
      points.drain_engine();
    }
  }
  WARN(report.points() << " points");
  CHECK(report.text() == "");
}

TEST_CASE("fault injection: an engine closes its idle connection as an attempt is assigned to it") {
  ManualClock clock;
  InvariantReport report;
  for (const char* class_name : kClassNames) {
    for (const CloseKind kind : {CloseKind::kGraceful, CloseKind::kReset}) {
      for (const CloseMoment moment : {CloseMoment::kBeforeRequest, CloseMoment::kWithRequest,
                                       CloseMoment::kDuringIteration, CloseMoment::kAfterIteration}) {
        close_idle_connections(clock, report, class_name, kind, moment);
      }
    }
  }
  CHECK(report.text() == "");
}

TEST_CASE("fault injection: a connection is established once its attempt may no longer start") {
  ManualClock clock;
  InvariantReport report;
  LateConnections connections(clock);
  for (const char* class_name : kClassNames) connections.add_class(class_name);
  connections.run();
  connections.report_to(report);
  WARN(report.points() << " points");
  CHECK(report.text() == "");
}
