// Tracks the endpoint lists that service discovery returns, and determines which engines may be used.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"
#include "dispatcher/engine_endpoint.h"
#include "policy/endpoint_confirmation.h"
#include "policy/endpoint_list_version.h"

namespace rookproxy {

// An endpoint list with its version.
struct EndpointList {
  std::uint64_t version = 0;
  std::vector<EngineEndpoint> endpoints;
};

// A received list with the times of its poll and response.
struct ReceivedEndpointList {
  std::uint32_t version = 0;
  std::vector<EngineEndpoint> endpoints;
  Time polled_at;
  Time received_at;
};

// Combines the decisions on versions and on confirmation. Performs no I/O and reads no clock.
class EndpointListTracker {
 public:
  using Ordering = policy::EndpointListVersion::Ordering;

  // `known` is the list that the process was started with.
  EndpointListTracker(const EndpointList& known, Time now);

  // Processes a received list and returns how it relates to the newest one known so far.
  Ordering take(ReceivedEndpointList list);

  // The list to be used. Engines that the newest list has as serving, but that may get no new attempts yet
  // because they are not confirmed or responses contradict each other, are draining in it or left out.
  [[nodiscard]] const std::vector<EngineEndpoint>& usable_endpoints() const { return usable_endpoints_; }
  // Increases with each change of usable_endpoints().
  [[nodiscard]] std::uint64_t revision() const { return revision_; }
  // Whether enough responses contradict the newest list that they are applied as well.
  [[nodiscard]] bool is_contradicted() const { return confirmation_.is_contradicted(); }

 private:
  void update_usable_endpoints();

  policy::EndpointListVersion list_version_;
  policy::EndpointConfirmation confirmation_;
  std::vector<EngineEndpoint> newest_endpoints_;
  std::vector<EngineEndpoint> usable_endpoints_;
  std::uint64_t revision_ = 0;
};

}  // namespace rookproxy
