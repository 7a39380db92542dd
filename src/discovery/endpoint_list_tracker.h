/// Follows the endpoint lists that service discovery responds with, and keeps the one to go by.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/time.h"
#include "dispatcher/engine_endpoint.h"
#include "policy/endpoint_confirmation.h"
#include "policy/endpoint_list_version.h"

namespace rookproxy {

/// An endpoint list and its version.
struct EndpointList {
  std::uint64_t version = 0;
  std::vector<EngineEndpoint> endpoints;
};

/// A list as it was received.
struct ReceivedEndpointList {
  std::uint32_t version = 0;
  std::vector<EngineEndpoint> endpoints;
  Time polled_at;
  Time received_at;
};

/// Joins the decisions on versions and on confirmation; free of I/O and clocks.
class EndpointListTracker {
 public:
  using Ordering = policy::EndpointListVersion::Ordering;

  /// `known` is the list that the process was started with, at `now`.
  EndpointListTracker(const EndpointList& known, Time now);

  /// Takes a list, and says how it relates to the newest one known so far.
  Ordering take(ReceivedEndpointList list);

  /// The list to go by. Engines that the newest list has as serving, and that may get no new work for now
  /// since responses contradict each other about them, are draining in it or left out.
  [[nodiscard]] const std::vector<EngineEndpoint>& usable_endpoints() const { return usable_endpoints_; }
  /// Grows with each change of the list to go by.
  [[nodiscard]] std::uint64_t revision() const { return revision_; }
  /// Whether responses contradict the newest list, and it is not followed alone.
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
