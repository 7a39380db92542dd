#include "support/request_stage.h"

#include <string>

#include "frontend/frame_codec.h"

namespace rookproxy::test {
namespace {

constexpr std::uint8_t kUnknownFrameType = 99;

constexpr const char* kStageNames[] = {
    "connected", "partly sent", "sent",          "assigned",      "connecting",      "during iteration",
    "written",   "progress",    "half response", "full response", "before response", "response forwarded"};

// Sends the request, unless it is not to be sent in full, and what breaks the protocol.
class RequestSender {
 public:
  RequestSender(TestCluster& cluster, const StagedRequest& staged) : cluster_(cluster), staged_(staged) {}

  void send_part(std::size_t size) {
    send_protocol_error();
    client().send(cluster_.frame(staged_.request).substr(0, size));
  }

  void send_all() {
    cluster_.mark_as_sent(staged_.request);
    client().send(cluster_.frame(staged_.request));
    send_protocol_error();
  }

 private:
  ClusterClient& client() { return cluster_.client(staged_.client); }
  void send_protocol_error() {
    if (staged_.has_protocol_error) client().send(frames::encode_frame(kUnknownFrameType, 0, ""));
  }

  TestCluster& cluster_;
  const StagedRequest& staged_;
};

// The attempt's id and half of a response; nothing more comes.
void write_half_response(TestCluster& cluster, std::size_t attempt) {
  cluster.write(attempt, cluster.attempt(attempt).id + " data parts=1 9\r\na\tb");
  cluster.attempt(attempt).is_in_flight = false;
}

void inject_fault_before_attempt(TestCluster& cluster, RequestStage stage, const StagedRequest& staged,
                                 const std::function<void()>& inject_fault) {
  RequestSender sender(cluster, staged);
  switch (stage) {
    case RequestStage::kConnected:
    case RequestStage::kPartlySent:
      sender.send_part(stage == RequestStage::kPartlySent ? staged.partial_size : 0);
      cluster.settle();
      break;
    case RequestStage::kSent:
      sender.send_all();
      break;
    case RequestStage::kAssigned:
      sender.send_all();
      cluster.poll();
      break;
    default:
      cluster.fill_accept_queues();
      sender.send_all();
      cluster.settle();
      break;
  }
  inject_fault();
}

void inject_fault_during_iteration(TestCluster& cluster, const StagedRequest& staged,
                                   const std::function<void()>& inject_fault) {
  warm_up_connections(cluster);
  cluster.in_next_iteration([&] {
    cluster.fill_accept_queues();
    close_idle_engine_connections(cluster, CloseKind::kReset);
    inject_fault();
  });
  RequestSender(cluster, staged).send_all();
  cluster.settle();
}

void inject_fault_after_attempt(TestCluster& cluster, RequestStage stage, const StagedRequest& staged,
                                const std::function<void()>& inject_fault) {
  RequestSender(cluster, staged).send_all();
  cluster.settle();
  const std::size_t attempt = cluster.require_attempt_of(staged.request);
  switch (stage) {
    case RequestStage::kProgressReported:
      cluster.write(attempt, cluster.attempt(attempt).id + " news detail=frac,value=0.5 0\r\n\r\n");
      cluster.settle();
      break;
    case RequestStage::kHalfResponse:
      write_half_response(cluster, attempt);
      cluster.settle();
      break;
    case RequestStage::kFullResponse:
      cluster.serve(attempt);
      break;
    case RequestStage::kResponseForwarded:
      cluster.client(staged.client).set_reading(false);
      cluster.serve(attempt);
      cluster.settle();
      break;
    default:
      break;
  }
  inject_fault();
  if (stage == RequestStage::kBeforeFullResponse) cluster.serve(attempt);
}

}  // namespace

const char* stage_name(RequestStage stage) { return kStageNames[static_cast<std::size_t>(stage)]; }

std::vector<RequestStage> stages_from(RequestStage first) {
  std::vector<RequestStage> stages;
  const auto last = static_cast<int>(RequestStage::kResponseForwarded);
  for (auto stage = static_cast<int>(first); stage <= last; ++stage) {
    stages.push_back(static_cast<RequestStage>(stage));
  }
  return stages;
}

void inject_fault_at(TestCluster& cluster, RequestStage stage, const StagedRequest& staged,
                     const std::function<void()>& inject_fault) {
  if (stage <= RequestStage::kConnecting) {
    inject_fault_before_attempt(cluster, stage, staged, inject_fault);
  } else if (stage == RequestStage::kDuringIteration) {
    inject_fault_during_iteration(cluster, staged, inject_fault);
  } else {
    inject_fault_after_attempt(cluster, stage, staged, inject_fault);
  }
}

void warm_up_connections(TestCluster& cluster) {
  cluster.serve_requests();
  cluster.send_request(cluster.connect(), "safe");
  cluster.settle();
  cluster.leave_requests();
}

void close_idle_engine_connections(TestCluster& cluster, CloseKind kind) {
  for (ScriptedEngine& engine : cluster.engines()) {
    for (std::size_t connection = 0; connection < engine.connections.size(); ++connection) {
      engine.close_connection(connection, kind);
    }
  }
}

}  // namespace rookproxy::test
