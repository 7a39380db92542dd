// Clients that disconnect, or cancel, at each stage of a request's life.
#include <catch2/catch.hpp>
#include <functional>
#include <string>

#include "support/invariant_report.h"
#include "support/manual_clock.h"
#include "support/request_stage.h"
#include "support/test_cluster.h"

using namespace rookproxy;
using namespace rookproxy::test;
using namespace std::chrono_literals;

namespace {

constexpr CloseKind kDisconnects[] = {CloseKind::kGraceful, CloseKind::kReset, CloseKind::kHalfClose,
                                      CloseKind::kCancelRequest};

// What else the client of the request does.
enum class ClientContext { kSingleRequest, kOtherRequests, kProtocolError };
constexpr const char* kClientContextNames[] = {"alone", "with others", "protocol error"};

// How a client disconnects, or cancels its request.
struct Disconnect {
  CloseKind kind;
  ClientContext context;
};

// One point: the client of a request disconnects at that stage.
void disconnect_at_stage(ManualClock& clock, InvariantReport& report, const ClusterOptions& options,
                         const char* class_name, RequestStage stage, const Disconnect& disconnect,
                         std::size_t partial_size = 0) {
  TestCluster cluster(clock, options);
  StagedRequest staged;
  staged.client = cluster.connect();
  staged.partial_size = partial_size;
  staged.has_protocol_error = disconnect.context == ClientContext::kProtocolError;
  if (disconnect.context == ClientContext::kOtherRequests) {
    for (int i = 0; i < 3; ++i) cluster.send_request(staged.client, "safe");
    if (stage != RequestStage::kConnecting) cluster.settle();
  }
  staged.request = cluster.create_request(staged.client, class_name);
  inject_fault_at(cluster, stage, staged,
                  std::bind_front(&TestCluster::disconnect_client, &cluster, staged.client, disconnect.kind,
                                  staged.request));
  cluster.settle();
  report.add(cluster,
             point_name(stage_name(stage), partial_size, class_name, close_kind_name(disconnect.kind),
                        kClientContextNames[static_cast<int>(disconnect.context)],
                        options.may_cancel ? "" : "no STOP"));
}

// The size of the frame that these tests send for a request of class "safe".
std::size_t request_frame_size(ManualClock& clock) {
  TestCluster cluster(clock);
  return cluster.frame(cluster.create_request(cluster.connect(), "safe")).size();
}

void disconnect_at_each_stage(ManualClock& clock, InvariantReport& report, const Disconnect& disconnect) {
  for (const char* class_name : kClassNames) {
    for (const RequestStage stage : stages_from(RequestStage::kSent)) {
      for (const bool may_cancel : {true, false}) {
        ClusterOptions options;
        options.may_cancel = may_cancel;
        disconnect_at_stage(clock, report, options, class_name, stage, disconnect);
      }
    }
  }
}

// The client of one request disconnects while it does not read the responses to its others.
void disconnect_without_reading(ManualClock& clock, InvariantReport& report, const char* class_name,
                                CloseKind kind) {
  ClusterOptions options;
  options.small_buffers = true;
  TestCluster cluster(clock, options);
  cluster.body_padding = std::string(40'000, 'x');
  const std::size_t client = cluster.connect();
  for (int i = 0; i < 4; ++i) cluster.send_request(client, "safe");
  const std::size_t request = cluster.send_request(client, class_name);
  cluster.settle();
  cluster.client(client).set_reading(false);
  for (std::size_t attempt = 0; attempt < cluster.attempt_count(); ++attempt) {
    if (!cluster.is_attempt_of(attempt, request)) cluster.serve(attempt);
  }
  cluster.settle();
  cluster.disconnect_client(client, kind, request);
  cluster.settle();
  report.add(cluster, point_name(class_name, close_kind_name(kind)));
}

}  // namespace

TEST_CASE("fault injection: a client disconnects at each stage of its request") {
  ManualClock clock;
  InvariantReport report;
  const std::size_t frame_size = request_frame_size(clock);
  for (const ClientContext context :
       {ClientContext::kSingleRequest, ClientContext::kOtherRequests, ClientContext::kProtocolError}) {
    for (const CloseKind kind : kDisconnects) {
      const Disconnect disconnect{kind, context};
      disconnect_at_each_stage(clock, report, disconnect);
      disconnect_at_stage(clock, report, {}, "safe", RequestStage::kConnected, disconnect);
      if (kind == CloseKind::kCancelRequest) continue;
      for (std::size_t size = 1; size < frame_size; ++size) {
        disconnect_at_stage(clock, report, {}, "safe", RequestStage::kPartlySent, disconnect, size);
      }
    }
  }
  WARN(report.points() << " points");
  CHECK(report.text() == "");
}

TEST_CASE("fault injection: a client that reads no responses disconnects while others are in flight") {
  ManualClock clock;
  InvariantReport report;
  for (const CloseKind kind : kDisconnects) {
    for (const char* class_name : kClassNames) disconnect_without_reading(clock, report, class_name, kind);
  }
  CHECK(report.text() == "");
}
