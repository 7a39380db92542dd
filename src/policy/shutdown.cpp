#include "policy/shutdown.h"

#include <algorithm>

namespace rookproxy::policy {
namespace {

using std::chrono::milliseconds;

// According to the platform's protocol, new connections arrive until 0.4 s after SIGTERM, and requests on
// open connections for another 0.2 s.
constexpr Duration kConnectionPeriod = milliseconds(400);
constexpr Duration kRequestPeriod = milliseconds(600);
constexpr Duration kMaxCountedDeadline = milliseconds(3000);
constexpr Duration kKillGracePeriod = milliseconds(700);
// The longest time a client takes to send a request, and so the longest wait for one being received.
constexpr Duration kMaxReceiveTime = milliseconds(2000);
// Added to the periods of the protocol if the deadlines allow it.
constexpr Duration kConnectionSlack = milliseconds(100);
constexpr Duration kRequestSlack = milliseconds(400);
// How long before the earliest SIGKILL the process exits.
constexpr Duration kExitMargin = milliseconds(150);
// The time allowed for a closed connection to be closed by the client as well.
constexpr Duration kCloseTime = milliseconds(250);
// The longest time for draining input, if events keep arriving.
constexpr Duration kMaxInputDrainTime = milliseconds(50);

ShutdownAction while_closing_clients(const ShutdownTimes& times, const ShutdownState& state) {
  const bool serves = state.open_requests > 0;
  const bool closes = state.has_connections && (state.elapsed < times.exit_by || state.idle_for < kCloseTime);
  const ShutdownStep step = serves || closes ? ShutdownStep::kContinue : ShutdownStep::kExit;
  return {step, serves && !state.listener_is_shared};
}

}  // namespace

ShutdownTimes shutdown_times(Duration longest_deadline) {
  ShutdownTimes times;
  times.exit_by = std::min(longest_deadline, kMaxCountedDeadline) + kKillGracePeriod - kExitMargin;
  const Duration latest_close = std::max(kRequestPeriod, times.exit_by - kCloseTime);
  times.accept_until = kConnectionPeriod + kConnectionSlack;
  times.serve_until = std::min(kRequestPeriod + kRequestSlack, latest_close);
  times.receive_until = std::min(kRequestPeriod + kMaxReceiveTime, latest_close);
  times.exit_by = std::max(times.exit_by, latest_close);
  return times;
}

Duration client_close_timeout(const ShutdownTimes& times, Duration elapsed) {
  return std::max(kCloseTime, times.exit_by - elapsed);
}

ShutdownAction next_shutdown_step(const ShutdownTimes& times, const ShutdownState& state) {
  if (state.closing_clients) return while_closing_clients(times, state);
  if (!state.was_ready && state.listener_is_shared) return {ShutdownStep::kExit, false};
  const bool accept_clients = !state.successor_ready;
  const Duration close_from = state.was_ready ? times.serve_until : times.accept_until;
  const Duration close_by = state.was_ready ? times.receive_until : times.accept_until;
  if (state.elapsed < close_from || (state.is_receiving && state.elapsed < close_by)) {
    return {ShutdownStep::kContinue, state.was_ready && accept_clients};
  }
  const bool drains_input = !state.input_drained && state.elapsed < close_by + kMaxInputDrainTime;
  return {drains_input ? ShutdownStep::kDrainInput : ShutdownStep::kCloseClients, accept_clients};
}

}  // namespace rookproxy::policy
