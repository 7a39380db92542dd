// Limits and margins of the dispatcher that are not part of the routing settings.
#pragma once

#include <chrono>
#include <cstddef>

#include "base/time.h"

namespace rookproxy {

// Limits and margins of one dispatcher process.
struct DispatcherLimits {
  std::size_t max_unanswered_requests = 20'000;
  // How long before the client's deadline responses are sent, so that they arrive in time.
  Duration response_margin = std::chrono::milliseconds(8);
  // How long before the end of an engine's drain grace period the last attempt may start (policy/drain.h).
  Duration drain_margin = std::chrono::milliseconds(250);
  // The delay after which the end of a cancelled attempt is reported to the router. The settings give it to
  // the router as the simulator's time between two batches.
  Duration cancel_report_delay = std::chrono::milliseconds(5);
  // Sent with rejections for which the router sets no retry time.
  Duration default_retry_after = std::chrono::seconds(1);
  // The time after a settings change within which all clients use the new settings.
  Duration settings_transition_time = std::chrono::milliseconds(2000);
};

}  // namespace rookproxy
