#include "decide/shutdown.h"

#include <algorithm>

namespace rookproxy::decide {
namespace {

using std::chrono::milliseconds;

// The protocol's: new connections come for 0.4 s after SIGTERM, and requests on open ones for 0.2 s more.
constexpr Duration kNewcomers = milliseconds(400), kStragglers = milliseconds(600);
constexpr Duration kLongestCounted = milliseconds(3000), kKillAfter = milliseconds(700);
// A request is written in 2 s at most: no longer is one waited for that is on its way in.
constexpr Duration kPieces = milliseconds(2000);
// With room to spare, where the deadlines leave it.
constexpr Duration kNewcomersLate = milliseconds(100), kStragglersLate = milliseconds(400);
// We exit so long before SIGKILL may come; ends need so long to reach the clients and to come back.
constexpr Duration kBeforeKill = milliseconds(150), kEndsTake = milliseconds(250);
// Where events never cease, looking for what waits ends all the same.
constexpr Duration kLooks = milliseconds(50);

}  // namespace

ShutdownTimes shutdown_times(Duration longest_deadline) {
  ShutdownTimes times;
  times.end_by = std::min(longest_deadline, kLongestCounted) + kKillAfter - kBeforeKill;
  const Duration last_start = std::max(kStragglers, times.end_by - kEndsTake);
  times.newcomers_until = kNewcomers + kNewcomersLate;
  times.serve_until = std::min(kStragglers + kStragglersLate, last_start);
  times.take_in_until = std::min(kStragglers + kPieces, last_start);
  times.end_by = std::max(times.end_by, last_start);
  return times;
}

Duration end_bound(const ShutdownTimes& times, Duration since) {
  return std::max(kEndsTake, times.end_by - since);
}

ShutdownOrder next_shutdown_step(const ShutdownTimes& times, const ShutdownState& state) {
  using Step = ShutdownStep;
  if (state.ending) {
    const bool asks = state.open_requests > 0;
    const bool ends =
        state.has_connections && (state.since < times.end_by || state.none_open_for < kEndsTake);
    return {asks || ends ? Step::kGoOn : Step::kExit, asks && !state.door_is_shared};
  }
  if (!state.opened && state.door_is_shared) return {Step::kExit, false};
  const bool let_in = !state.successor_ready;
  const Duration from = state.opened ? times.serve_until : times.newcomers_until;
  const Duration until = state.opened ? times.take_in_until : times.newcomers_until;
  if (state.since < from || (state.taking_in && state.since < until)) {
    return {Step::kGoOn, state.opened && let_in};
  }
  const bool looks = !state.seen_all && state.since < until + kLooks;
  return {looks ? Step::kLook : Step::kEndClients, let_in};
}

}  // namespace rookproxy::decide
