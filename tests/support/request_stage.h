/// The stages of a request's life at which faults are injected.
#pragma once

#include <cstddef>
#include <functional>
#include <vector>

#include "support/test_cluster.h"

namespace rookproxy::test {

/// In the order in which a request comes through them.
enum class RequestStage {
  kConnected,
  kPartlySent,
  kSent,      // no iteration of the event loop since its last byte
  kAssigned,  // one iteration
  kConnecting,
  kDuringIteration,  // in the iteration in which all idle connections to engines are reset
  kAttemptWritten,
  kProgressReported,
  kHalfResponse,
  kFullResponse,
  kBeforeFullResponse,  // the fault first, then the response
  kResponseForwarded
};
[[nodiscard]] const char* stage_name(RequestStage stage);

/// All stages from `first` on.
[[nodiscard]] std::vector<RequestStage> stages_from(RequestStage first);

/// A request that is created and not sent, and how it is brought to a stage.
struct StagedRequest {
  std::size_t client = 0;
  std::size_t request = 0;
  std::size_t partial_size = 0;     // the bytes sent by RequestStage::kPartlySent
  bool has_protocol_error = false;  // the client also sends what is no frame of the protocol
};

/// Brings the request to the stage and injects the fault there.
void inject_fault_at(TestCluster& cluster, RequestStage stage, const StagedRequest& staged,
                     const std::function<void()>& inject_fault);

/// A first request opens connections, which are idle afterwards; engines answer nothing from then on.
void warm_up_connections(TestCluster& cluster);

/// All idle connections to engines end.
void close_idle_engine_connections(TestCluster& cluster, CloseKind kind);

}  // namespace rookproxy::test
