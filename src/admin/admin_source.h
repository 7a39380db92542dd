// The interface through which the admin address gets status and metrics.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "dispatcher/metrics.h"

namespace rookproxy {

// A metric and the name under which it is reported.
struct NamedMetric {
  std::string name;
  std::uint64_t value = 0;
};

// The process whose status and metrics are reported.
class AdminSource {
 public:
  // Why this process is not ready to serve; empty if it is ready.
  [[nodiscard]] virtual std::string not_ready_reason() const = 0;
  [[nodiscard]] virtual const Metrics& metrics() const = 0;
  [[nodiscard]] virtual Gauges gauges() const = 0;
  // Metrics of components that may be disabled, in the order in which they are reported.
  [[nodiscard]] virtual std::vector<NamedMetric> optional_metrics() const { return {}; }

 protected:
  ~AdminSource() = default;
};

}  // namespace rookproxy
