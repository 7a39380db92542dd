// Faults at every point: responses truncated after each byte, clients that disconnect at each stage of a
// request, drains announced at each stage of an attempt.
#include <catch2/catch.hpp>
#include <memory>
#include <thread>

#include "support/fault_injection.h"

using namespace rookproxy;
using namespace rookproxy::test;

namespace {

// An engine's response, truncated after each byte

// Writes at most `max_bytes` bytes of a response, its pages as they are fetched. Returns whether it was
// complete.
bool write_truncated_response(TestCluster& cluster, std::size_t attempt, const std::string& kind,
                              std::size_t max_bytes) {
  const std::string id = cluster.observed_attempts[attempt].id;
  std::vector<std::string> parts{id + " " + kind + " - 0\r\n\r\n"};
  std::string body;
  if (kind == "news") parts = {id + " news detail=frac,value=0.5 0\r\n\r\n"};
  if (kind == "data") {
    parts.clear();
    for (int page = 0; page < 3; ++page) {
      const std::string row =
          id.substr(12) + "\t" + std::to_string(attempt) + "\t" + std::to_string(page) + "\n";
      body += row;
      parts.push_back(id + (page == 0 ? " data parts=3 " : " page part_no=" + std::to_string(page) + " ") +
                      std::to_string(row.size()) + "\r\n" + row + "\r\n");
    }
  }
  for (std::size_t part = 0; part < parts.size(); ++part) {
    if (part > 0) cluster.settle();
    if (part > 0 && !cluster.observed_attempts[attempt].fetched_parts.contains(part))
      throw std::runtime_error("a page was not fetched");
    const std::size_t now = std::min(max_bytes, parts[part].size());
    const bool is_complete = now == parts[part].size();
    if (is_complete && part + 1 == parts.size()) {
      if (kind == "data") cluster.record_served_body(attempt, body);
      if (kind == "full" || kind == "moot")
        cluster.observed_attempts[attempt].proven_not_run_at = cluster.now();
      if (kind != "news") cluster.observed_attempts[attempt].is_in_flight = false;
    }
    cluster.write(attempt, parts[part].substr(0, now));
    max_bytes -= now;
    if (!is_complete) {
      if (now > 0 || part > 0)
        cluster.observed_attempts[attempt].is_in_flight = false;  // no more bytes would be read
      return false;
    }
  }
  return true;
}

void truncate_response_at_each_byte(const std::string& kind) {
  ManualClock clock;
  InvariantReport report;
  for (const char* cls : kClassNames) {
    for (const CloseKind close_kind : {CloseKind::kGraceful, CloseKind::kReset, CloseKind::kUnresponsive}) {
      for (const bool truncate_all : {false, true}) {
        if (truncate_all && close_kind != CloseKind::kReset) continue;
        bool is_complete = false;
        for (std::size_t max_bytes = 0; !is_complete; ++max_bytes) {
          ClusterOptions options;
          if (truncate_all) options.max_attempts = 2;
          TestCluster cluster(clock, options);
          const std::size_t client = cluster.connect(), request = cluster.send_request(client, cls);
          cluster.send_request(client, "safe");  // needs its own response, possibly on the same connection
          // Responses are written outside the engines' turn, because pages have to be fetched in between.
          std::vector<std::size_t> received_attempts;
          cluster.on_request = [&](std::size_t attempt) { received_attempts.push_back(attempt); };
          cluster.settle();
          const auto first =
              std::find(received_attempts.begin(), received_attempts.end(), cluster.attempt_of(request));
          if (first == received_attempts.end()) throw std::runtime_error("the request has no attempt");
          std::swap(*first, received_attempts.front());
          for (std::size_t i = 0; i < received_attempts.size(); ++i) {
            if (i == 0 || (truncate_all && cluster.observed_attempts[received_attempts[i]].id ==
                                               cluster.requests[request].call_id)) {
              is_complete = write_truncated_response(cluster, received_attempts[i], kind, max_bytes);
              cluster.settle();
              cluster.close_attempt_connection(received_attempts[i], close_kind);
            } else {
              cluster.serve(received_attempts[i]);
            }
            cluster.advance_time(i == 0 ? 60ms : 20ms);
          }
          report.add(
              cluster,
              PointName(cls, close_kind == CloseKind::kUnresponsive ? "silence" : close_kind_name(close_kind),
                        truncate_all ? "all" : "one", max_bytes));
        }
      }
    }
  }
  WARN(kind << ": " << report.points << " points");
  CHECK(report.text() == "");
}

}  // namespace

TEST_CASE("moments: a response truncated after any byte violates no invariant") {
  for (const char* kind : {"data", "full", "failed", "news", "moot"}) truncate_response_at_each_byte(kind);
}

// A client disconnects at each stage of its request

namespace {

enum class RequestStage {
  kConnected,
  kPartlySent,
  kSent,      // no loop iteration since its last byte
  kAssigned,  // one loop iteration
  kConnecting,
  kDuringIteration,
  kAttemptWritten,
  kProgressReported,
  kHalfResponse,
  kFullResponse,
  kBeforeFullResponse,
  kResponseForwarded
};
const char* const kStageNames[] = {"connected",       "partly sent",          "sent",
                                   "assigned",        "connecting",           "during iteration",
                                   "attempt written", "progress reported",    "half response",
                                   "full response",   "before full response", "response forwarded"};
enum class ClientContext { kSingleRequest, kOtherRequests, kProtocolError };
const char* const kClientContextNames[] = {"single request", "other requests", "protocol error"};

// Writes half of the engine's response. Nothing follows it.
void write_half_response(TestCluster& cluster, std::size_t attempt) {
  cluster.write(attempt, cluster.observed_attempts[attempt].id + " data parts=1 9\r\na\tb");
  cluster.observed_attempts[attempt].is_in_flight = false;  // nothing follows
}

// Opens connections with a first request. They are idle afterwards, and engines answer nothing more.
void warm_up_connections(TestCluster& cluster) {
  cluster.on_request = [&cluster](std::size_t attempt) { cluster.serve(attempt); };
  cluster.send_request(cluster.connect(), "safe");
  cluster.settle();
  cluster.on_request = [](std::size_t) {};
}

// Closes all idle connections to engines. With `fill`, no new one can be established.
void close_idle_engine_connections(TestCluster& cluster, CloseKind close_kind, bool fill) {
  for (ScriptedEngine& engine : cluster.engines) {
    if (fill) engine.fill_accept_queue();
    for (std::size_t i = 0; i < engine.connections.size(); ++i) engine.close_connection(i, close_kind);
  }
}

// Advances a request to a stage and calls `action` at that point.
void advance_to_stage(TestCluster& cluster, RequestStage stage, std::size_t client, std::size_t request,
                      std::size_t part, bool add_protocol_error, const std::function<void()>& action) {
  const auto send_protocol_error = [&] {
    if (add_protocol_error) cluster.send_bytes(client, frames::encode_frame(99, 0, ""));
  };
  if (stage == RequestStage::kConnected || stage == RequestStage::kPartlySent) {
    send_protocol_error();
    if (stage == RequestStage::kPartlySent)
      cluster.send_bytes(client, cluster.frame(request).substr(0, part));
    cluster.settle();
    return action();
  }
  if (stage == RequestStage::kConnecting) {
    for (ScriptedEngine& engine : cluster.engines) engine.fill_accept_queue();
  }
  if (stage == RequestStage::kDuringIteration) {
    warm_up_connections(cluster);
    cluster.before_settle_hook = [&] {
      close_idle_engine_connections(cluster, CloseKind::kReset, true);
      action();
    };
  }
  cluster.requests[request].sent_at = cluster.now();
  cluster.send_bytes(client, cluster.frame(request));
  send_protocol_error();
  if (stage == RequestStage::kAssigned) cluster.loop.poll();
  if (stage == RequestStage::kSent || stage == RequestStage::kAssigned) return action();
  cluster.settle();
  if (stage == RequestStage::kDuringIteration) return;
  if (stage == RequestStage::kConnecting) return action();
  const std::size_t attempt = cluster.attempt_of(request);
  if (attempt == SIZE_MAX) throw std::runtime_error("the request has no attempt");
  if (stage == RequestStage::kProgressReported)
    cluster.write(attempt, cluster.observed_attempts[attempt].id + " news detail=frac,value=0.5 0\r\n\r\n");
  if (stage == RequestStage::kHalfResponse) write_half_response(cluster, attempt);
  if (stage == RequestStage::kResponseForwarded) cluster.clients[client].is_reading = false;
  if (stage == RequestStage::kFullResponse || stage == RequestStage::kResponseForwarded)
    cluster.serve(attempt);
  if (stage != RequestStage::kFullResponse && stage != RequestStage::kBeforeFullResponse) cluster.settle();
  action();
  if (stage == RequestStage::kBeforeFullResponse) cluster.serve(attempt);
}

}  // namespace

TEST_CASE("moments: a client disconnect at any stage of a request violates no invariant") {
  ManualClock clock;
  InvariantReport report;
  const auto point = [&](const ClusterOptions& options, const char* cls, RequestStage stage,
                         CloseKind close_kind, ClientContext context, std::size_t part) {
    TestCluster cluster(clock, options);
    const std::size_t client = cluster.connect();
    if (context == ClientContext::kOtherRequests) {
      for (int i = 0; i < 3; ++i) cluster.send_request(client, "safe");
      if (stage != RequestStage::kConnecting) cluster.settle();
    }
    const std::size_t request = cluster.create_request(client, cls);
    advance_to_stage(cluster, stage, client, request, part, context == ClientContext::kProtocolError,
                     [&] { cluster.disconnect_client(client, close_kind, request); });
    cluster.settle();
    report.add(cluster, PointName(kStageNames[static_cast<int>(stage)], part, cls,
                                  close_kind_name(close_kind), kClientContextNames[static_cast<int>(context)],
                                  options.may_cancel ? "" : "no STOP"));
  };
  TestCluster sample(clock);
  const std::size_t frame = sample.frame(sample.create_request(sample.connect(), "safe")).size();
  for (const ClientContext context :
       {ClientContext::kSingleRequest, ClientContext::kOtherRequests, ClientContext::kProtocolError}) {
    for (const CloseKind close_kind :
         {CloseKind::kGraceful, CloseKind::kReset, CloseKind::kHalfClose, CloseKind::kCancelRequest}) {
      for (const char* cls : kClassNames) {
        for (int stage = static_cast<int>(RequestStage::kSent);
             stage <= static_cast<int>(RequestStage::kResponseForwarded); ++stage) {
          for (const bool may_cancel : {true, false}) {
            ClusterOptions options;
            options.may_cancel = may_cancel;
            point(options, cls, static_cast<RequestStage>(stage), close_kind, context, 0);
          }
        }
      }
      point({}, "safe", RequestStage::kConnected, close_kind, context, 0);
      for (std::size_t part = 1; close_kind != CloseKind::kCancelRequest && part < frame; ++part)
        point({}, "safe", RequestStage::kPartlySent, close_kind, context, part);
    }
  }
  WARN(report.points << " points");
  CHECK(report.text() == "");
}

TEST_CASE(
    "moments: a client that reads no responses disconnects with other requests open, no invariant violated") {
  ManualClock clock;
  InvariantReport report;
  for (const CloseKind close_kind :
       {CloseKind::kGraceful, CloseKind::kReset, CloseKind::kHalfClose, CloseKind::kCancelRequest}) {
    for (const char* cls : kClassNames) {
      ClusterOptions options;
      options.small_buffers = true;
      TestCluster cluster(clock, options);
      cluster.body_padding = std::string(40'000, 'x');
      const std::size_t client = cluster.connect();
      for (int i = 0; i < 4; ++i) cluster.send_request(client, "safe");
      const std::size_t request = cluster.send_request(client, cls);
      cluster.settle();
      cluster.clients[client].is_reading = false;
      for (std::size_t i = 0; i < cluster.observed_attempts.size(); ++i) {
        if (cluster.observed_attempts[i].id != cluster.requests[request].call_id) cluster.serve(i);
      }
      cluster.settle();
      cluster.disconnect_client(client, close_kind, request);
      cluster.settle();
      report.add(cluster, PointName(cls, close_kind_name(close_kind)));
    }
  }
  CHECK(report.text() == "");
}

// Attempts queued behind bytes that an engine does not read

// Requests of 250 kB: together more than the kernel buffers for one connection.
constexpr int kLargeRequestCount = 18;

TEST_CASE("moments: an attempt queued behind bytes its engine does not read violates no invariant") {
  ManualClock clock;
  InvariantReport report;
  const auto point = [&](const ClusterOptions& options, const char* cls, const std::string& event,
                         CloseKind close_kind) {
    TestCluster cluster(clock, options);
    for (std::size_t i = 1; i < 4; ++i)
      cluster.publish_endpoints(i, rookproxy::routing::EngineState::kRemoved);
    ScriptedEngine& engine = cluster.engines[0];
    const int small = 4096;
    ::setsockopt(engine.listener.get(), SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
    engine.is_reading = false;
    const std::size_t other = cluster.connect(), client = cluster.connect();
    cluster.statement += std::string(250'000, ' ');
    for (int i = 0; i < kLargeRequestCount; ++i) {
      cluster.requests[cluster.send_request(other, "safe", 900ms)].may_lie_unread = true;
      cluster.settle();
    }
    cluster.statement.resize(19);
    const std::size_t request = cluster.send_request(client, cls);
    cluster.settle();
    if (cluster.attempts_written() >= kLargeRequestCount)
      throw std::runtime_error("the kernel buffered all requests");
    if (cluster.pool.attempts_in_flight() <= kLargeRequestCount)
      throw std::runtime_error("no attempt is waiting");
    if (event == "gone") cluster.disconnect_client(client, close_kind, request);
    if (event == "cut") {
      cluster.advance_time(30ms);
      for (std::size_t i = 0; i < engine.connections.size(); ++i) engine.close_connection(i, close_kind);
    }
    if (event == "drain") cluster.publish_endpoints(0, rookproxy::routing::EngineState::kDraining);
    report.add(cluster,
               PointName(event, cls, close_kind_name(close_kind), options.may_cancel ? "" : "no STOP"));
  };
  for (const char* cls : kClassNames) {
    if (std::string(cls) == "unsafe") continue;  // has its own connection and is sent at once
    for (const bool may_cancel : {true, false}) {
      ClusterOptions options;
      options.may_cancel = may_cancel;
      options.streams_per_connection = 32;
      options.drain_grace_period = 120ms;
      for (const CloseKind close_kind :
           {CloseKind::kGraceful, CloseKind::kReset, CloseKind::kHalfClose, CloseKind::kCancelRequest}) {
        point(options, cls, "gone", close_kind);
      }
      for (const CloseKind close_kind : {CloseKind::kGraceful, CloseKind::kReset})
        point(options, cls, "cut", close_kind);
      point(options, cls, "drain", CloseKind::kUnresponsive);
    }
  }
  WARN(report.points << " points");
  CHECK(report.text() == "");
}

// Connections that close, are established late or receive unexpected data

TEST_CASE(
    "moments: an engine closing an idle connection as an attempt is assigned to it violates no invariant") {
  ManualClock clock;
  InvariantReport report;
  for (const char* cls : kClassNames) {
    for (const CloseKind close_kind : {CloseKind::kGraceful, CloseKind::kReset}) {
      for (const char* when : {"before", "with the request", "during iteration", "after"}) {
        TestCluster cluster(clock);
        warm_up_connections(cluster);
        cluster.on_request = [&](std::size_t attempt) { cluster.serve(attempt); };
        const auto close_connections = [&] { close_idle_engine_connections(cluster, close_kind, false); };
        const std::string timing = when;
        if (timing == "before") close_connections();
        if (timing == "during iteration") cluster.before_settle_hook = close_connections;
        const std::size_t client = cluster.connect();
        cluster.send_request(client, cls);
        if (timing == "with the request") close_connections();
        if (timing == "after") {
          cluster.loop.poll();
          close_connections();
        }
        cluster.settle();
        report.add(cluster, PointName(cls, close_kind_name(close_kind), when));
      }
    }
  }
  CHECK(report.text() == "");
}

TEST_CASE("moments: duplicate, late and unexpected responses violate no invariant") {
  ManualClock clock;
  InvariantReport report;
  const auto write_message = [](TestCluster& cluster, std::size_t attempt, const std::string& what) {
    const std::string& id = cluster.observed_attempts[attempt].id;
    if (what == "data") return cluster.serve(attempt);
    if (what == "full") return cluster.reject(attempt);
    if (what == "page") return cluster.write(attempt, id + " page part_no=1 0\r\n\r\n");
    if (what == "failed") cluster.observed_attempts[attempt].is_in_flight = false;
    cluster.write(attempt, id + " " + what + " - 0\r\n\r\n");
  };
  for (const char* cls : kClassNames) {
    for (const char* first : {"data", "full", "failed", "given up"}) {
      for (const char* second : {"data", "full", "failed", "news", "page", "moot"}) {
        for (const Duration pause : {0ms, 3ms, 40ms}) {
          TestCluster cluster(clock);
          const std::size_t client = cluster.connect();
          cluster.send_request(client, "safe");  // shares the connection and needs its own response
          const std::size_t request = cluster.send_request(client, cls);
          cluster.settle();
          const std::size_t attempt = cluster.attempt_of(request);
          if (attempt == SIZE_MAX) throw std::runtime_error("the request has no attempt");
          if (std::string(first) == "given up") {
            cluster.disconnect_client(client, CloseKind::kCancelRequest, request);
          } else {
            write_message(cluster, attempt, first);
          }
          if (pause > Duration(0)) cluster.advance_time(pause);
          // A second response has no effect: what the first one proved holds.
          const ObservedAttempt before = cluster.observed_attempts[attempt];
          const bool is_second_data = std::string(second) == "data" && std::string(first) != "given up";
          if (is_second_data) {
            cluster.write(attempt, before.id + " data parts=1 4\r\nab\tc\r\n");
          } else if (std::string(second) == "full") {
            cluster.write(attempt, before.id + " full - 0\r\n\r\n");
          } else {
            write_message(cluster, attempt, second);
          }
          if (std::string(first) != "given up") cluster.observed_attempts[attempt] = before;
          cluster.settle();
          report.add(cluster, PointName(cls, first, second, pause / 1ms));
        }
      }
    }
  }
  WARN(report.points << " points");
  CHECK(report.text() == "");
}

// The kernel retries a dropped connect after a second. The manual clock stands still meanwhile, and all
// clusters wait for that second together.
TEST_CASE("moments: a connection established after its attempt's time limit violates no invariant") {
  ManualClock clock;
  InvariantReport report;
  struct DelayedCase {
    std::unique_ptr<TestCluster> cluster;
    std::string point;
    std::function<void()> action;
  };
  std::vector<DelayedCase> cases;
  ClusterOptions options;
  options.dial_timeout = 5s;
  const auto add = [&](const ClusterOptions& with, const std::string& point) -> TestCluster& {
    cases.push_back({std::make_unique<TestCluster>(clock, with), point, [] {}});
    return *cases.back().cluster;
  };
  for (const char* cls : kClassNames) {
    for (const bool may_cancel : {true, false}) {
      for (const CloseKind close_kind :
           {CloseKind::kGraceful, CloseKind::kReset, CloseKind::kHalfClose, CloseKind::kCancelRequest}) {
        options.may_cancel = may_cancel;
        TestCluster& cluster =
            add(options, PointName("gone", cls, close_kind_name(close_kind), may_cancel ? "" : "no STOP"));
        for (ScriptedEngine& engine : cluster.engines) engine.fill_accept_queue();
        const std::size_t client = cluster.connect(), request = cluster.send_request(client, cls);
        cases.back().action = [&cluster, client, request, close_kind] {
          cluster.disconnect_client(client, close_kind, request);
        };
      }
    }
    options.may_cancel = true;
    TestCluster& delayed = add(options, PointName("deadline", cls));
    for (ScriptedEngine& engine : delayed.engines) engine.fill_accept_queue();
    delayed.send_request(delayed.connect(), cls, 600ms);
    for (const auto state :
         {rookproxy::routing::EngineState::kDraining, rookproxy::routing::EngineState::kRemoved}) {
      ClusterOptions short_grace = options;
      short_grace.drain_grace_period = 120ms;
      TestCluster& cluster = add(short_grace, PointName("drain", cls, static_cast<int>(state)));
      for (ScriptedEngine& engine : cluster.engines) engine.fill_accept_queue();
      cluster.send_request(cluster.connect(), cls);
      cases.back().action = [&cluster, state] {
        for (std::size_t i = 0; i < 4; ++i) cluster.publish_endpoints(i, state);
      };
    }
    // A second attempt after one that may have run: its idempotency window ends while it connects.
    TestCluster& second = add(options, PointName("window", cls));
    const std::size_t request = second.send_request(second.connect(), cls);
    second.settle();
    const std::size_t attempt = second.attempt_of(request);
    if (attempt == SIZE_MAX) throw std::runtime_error("the request has no attempt");
    for (ScriptedEngine& engine : second.engines) engine.fill_accept_queue();
    cases.back().action = [&second, attempt] { second.close_attempt_connection(attempt, CloseKind::kReset); };
  }
  std::vector<TestCluster*> clusters;
  for (DelayedCase& delayed : cases) clusters.push_back(delayed.cluster.get());
  for (TestCluster* cluster : clusters) cluster->settle();
  for (DelayedCase& delayed : cases) {
    if (delayed.cluster->pool.attempts_in_flight() == 0)
      throw std::runtime_error("no attempt is waiting: " + delayed.point);
    delayed.action();
  }
  TestCluster::advance_time(clock, clusters, 650ms);
  for (TestCluster* cluster : clusters) {
    for (ScriptedEngine& engine : cluster->engines) engine.resume();
  }
  const auto until = std::chrono::steady_clock::now() + 1500ms;
  while (std::chrono::steady_clock::now() < until) {
    for (TestCluster* cluster : clusters) cluster->settle();
    std::this_thread::sleep_for(10ms);
  }
  for (DelayedCase& delayed : cases) {
    report.add(*delayed.cluster, delayed.point);
    delayed.cluster.reset();
  }
  WARN(report.points << " points");
  CHECK(report.text() == "");
}

// Drains and removals, announced at each stage of an attempt

TEST_CASE("moments: an engine drain or removal at any stage of an attempt violates no invariant") {
  ManualClock clock;
  InvariantReport report;
  for (const auto state :
       {rookproxy::routing::EngineState::kDraining, rookproxy::routing::EngineState::kRemoved}) {
    for (const char* cls : kClassNames) {
      for (int stage = static_cast<int>(RequestStage::kSent);
           stage <= static_cast<int>(RequestStage::kResponseForwarded); ++stage) {
        for (const Duration later : {0ms, 100ms}) {
          for (std::size_t engine = 0; engine < 4; ++engine) {
            ClusterOptions options;
            options.drain_grace_period = 300ms;
            TestCluster cluster(clock, options);
            const std::size_t client = cluster.connect(), request = cluster.create_request(client, cls);
            advance_to_stage(cluster, static_cast<RequestStage>(stage), client, request, 0, false,
                             [&] { cluster.publish_endpoints(engine, state); });
            cluster.clients[client].is_reading = true;
            cluster.advance_time(later);
            report.add(cluster, PointName(kStageNames[stage], cls, static_cast<int>(state), "engine", engine,
                                          later / 1ms));
          }
        }
      }
    }
  }
  WARN(report.points << " points");
  CHECK(report.text() == "");
}

TEST_CASE("moments: a shutdown of the frontend at any stage of a request violates no invariant") {
  ManualClock clock;
  InvariantReport report;
  for (const char* cls : kClassNames) {
    for (int stage = static_cast<int>(RequestStage::kConnected);
         stage <= static_cast<int>(RequestStage::kResponseForwarded); ++stage) {
      for (const bool add_protocol_error : {false, true}) {
        TestCluster cluster(clock);
        const std::size_t client = cluster.connect(), request = cluster.create_request(client, cls);
        advance_to_stage(cluster, static_cast<RequestStage>(stage), client, request, 20, add_protocol_error,
                         [&] { cluster.drain(); });
        // A started request is completed, and requests that follow the announcement are served as well.
        if (stage == static_cast<int>(RequestStage::kPartlySent) && !add_protocol_error) {
          cluster.requests[request].sent_at = cluster.now();
          cluster.send_bytes(client, cluster.frame(request).substr(20));
        }
        if (!add_protocol_error) cluster.send_request(client, cls);
        report.add(cluster, PointName(kStageNames[stage], cls, add_protocol_error ? "protocol error" : ""));
      }
    }
  }
  CHECK(report.text() == "");
}
