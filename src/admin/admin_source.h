// What the admin address reports on.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "dispatcher/metrics.h"

namespace rookproxy {

// A metric under the name that operators know it by.
struct NamedMetric {
  std::string name;
  std::uint64_t value = 0;
};

// The process that operators ask about.
class AdminSource {
 public:
  // Why this process is not ready to serve; empty if it is.
  [[nodiscard]] virtual std::string not_ready_reason() const = 0;
  [[nodiscard]] virtual const Metrics& metrics() const = 0;
  [[nodiscard]] virtual Gauges gauges() const = 0;
  // Metrics of parts that may be disabled, in the order in which they are shown.
  [[nodiscard]] virtual std::vector<NamedMetric> optional_metrics() const { return {}; }

 protected:
  ~AdminSource() = default;
};

}  // namespace rookproxy
