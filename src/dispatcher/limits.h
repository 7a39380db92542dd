// Limits and margins of the dispatcher that are not part of the decision module's settings.
#pragma once

#include <chrono>
#include <cstddef>

#include "base/time.h"

namespace rookproxy {

// Limits and margins of one dispatcher process.
struct DispatcherLimits {
  // Bytes of queries that are buffered; beyond this new requests are rejected at once.
  std::size_t max_buffered_bytes = 32u << 20;
  std::size_t max_unanswered_requests = 20'000;
  // Responses are sent this long before the client stops waiting, so that they arrive in time.
  Duration response_margin = std::chrono::milliseconds(8);
  // The last attempt starts this long before an engine's drain grace period ends (policy/drain.h).
  Duration drain_margin = std::chrono::milliseconds(250);
  // The decision module learns of a cancelled attempt's end this much later; the settings tell it as the
  // simulator's time between two batches.
  Duration cancel_report_delay = std::chrono::milliseconds(5);
  // Sent with a rejection for which the decision module names no time.
  Duration default_retry_after = std::chrono::seconds(1);
  // Clients use changed settings this long after the change at the latest, with room to spare.
  Duration settings_transition_time = std::chrono::milliseconds(2000);
};

}  // namespace rookproxy
