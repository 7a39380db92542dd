#include "policy/shutdown.h"

#include <algorithm>

namespace rookproxy::policy {
namespace {

using std::chrono::milliseconds;

// The protocol's: new connections come for 0.4 s after SIGTERM, and requests on open ones for 0.2 s more.
constexpr Duration kConnectionPeriod = milliseconds(400), kRequestPeriod = milliseconds(600);
constexpr Duration kMaxCountedDeadline = milliseconds(3000), kKillGracePeriod = milliseconds(700);
// A request is written in 2 s at most: no longer is one waited for that is on its way in.
constexpr Duration kMaxReceiveTime = milliseconds(2000);
// With room to spare, where the deadlines leave it.
constexpr Duration kConnectionSlack = milliseconds(100), kRequestSlack = milliseconds(400);
// We exit so long before SIGKILL may come; ends need so long to reach the clients and to come back.
constexpr Duration kExitMargin = milliseconds(150), kCloseTime = milliseconds(250);
// Where events never cease, looking for what waits ends all the same.
constexpr Duration kMaxInputDrainTime = milliseconds(50);

}  // namespace

ShutdownTimes shutdown_times(Duration longest_deadline) {
  ShutdownTimes times;
  times.exit_by = std::min(longest_deadline, kMaxCountedDeadline) + kKillGracePeriod - kExitMargin;
  const Duration last_start = std::max(kRequestPeriod, times.exit_by - kCloseTime);
  times.accept_until = kConnectionPeriod + kConnectionSlack;
  times.serve_until = std::min(kRequestPeriod + kRequestSlack, last_start);
  times.receive_until = std::min(kRequestPeriod + kMaxReceiveTime, last_start);
  times.exit_by = std::max(times.exit_by, last_start);
  return times;
}

Duration client_close_timeout(const ShutdownTimes& times, Duration since) {
  return std::max(kCloseTime, times.exit_by - since);
}

ShutdownAction next_shutdown_step(const ShutdownTimes& times, const ShutdownState& state) {
  using Step = ShutdownStep;
  if (state.closing_clients) {
    const bool asks = state.open_requests > 0;
    const bool ends = state.has_connections && (state.elapsed < times.exit_by || state.idle_for < kCloseTime);
    return {asks || ends ? Step::kContinue : Step::kExit, asks && !state.listener_is_shared};
  }
  if (!state.was_ready && state.listener_is_shared) return {Step::kExit, false};
  const bool let_in = !state.successor_ready;
  const Duration from = state.was_ready ? times.serve_until : times.accept_until;
  const Duration until = state.was_ready ? times.receive_until : times.accept_until;
  if (state.elapsed < from || (state.is_receiving && state.elapsed < until)) {
    return {Step::kContinue, state.was_ready && let_in};
  }
  const bool looks = !state.input_drained && state.elapsed < until + kMaxInputDrainTime;
  return {looks ? Step::kDrainInput : Step::kCloseClients, let_in};
}

}  // namespace rookproxy::policy
