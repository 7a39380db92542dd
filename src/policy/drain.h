// Decides until when work may be sent to an engine that is draining or was removed.
#pragma once

#include "base/time.h"

namespace rookproxy::policy {

// How long before the end of a grace period the last attempt may start.
//
// The grace period counts from when service discovery sent the response that announced the drain; this side
// may have received that response up to `max_pause` later, since one lost response is followed by the next
// poll. An attempt that is decided on at the last moment also leaves one loop iteration later. Attempts that
// wait for a connection need no margin: they are cancelled at the limit. `max_pause` is the longest time
// between two polls, and 0 where nothing is polled because an operator lists the engines.
[[nodiscard]] Duration drain_margin(Duration max_pause);

// The latest time at which an attempt may start, for a drain announced at `announced_at`. It is never earlier
// than that: with a grace period shorter than the margin no further attempt starts.
[[nodiscard]] Time latest_drain_start(Time announced_at, Duration grace_period, Duration margin);

}  // namespace rookproxy::policy
