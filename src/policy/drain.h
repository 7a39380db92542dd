// Decides until when attempts may start on an engine that is draining or was removed.
#pragma once

#include "base/time.h"

namespace rookproxy::policy {

// Returns how long before the end of a drain grace period the last attempt may start.
//
// The grace period starts when service discovery sends the response that announces the drain. If that
// response is lost, this process receives the announcement with the next poll, up to `max_pause` later. An
// attempt may also be sent one event loop iteration after the decision. Attempts that wait for a connection
// need no margin, since they are cancelled at the limit. `max_pause` is the longest time between two polls,
// and 0 if the engines are configured and service discovery is not polled.
[[nodiscard]] Duration drain_margin(Duration max_pause);

// The latest time at which an attempt may start, for a drain announced at `announced_at`. If the grace period
// is shorter than the margin, this is `announced_at`, and no further attempt starts.
[[nodiscard]] Time latest_drain_start(Time announced_at, Duration grace_period, Duration margin);

}  // namespace rookproxy::policy
