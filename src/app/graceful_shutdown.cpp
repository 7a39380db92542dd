#include "app/graceful_shutdown.h"

#include <chrono>
#include <string>
#include <utility>

namespace rookproxy {
namespace {

constexpr Duration kCheckInterval = std::chrono::milliseconds(20);

}  // namespace

void GracefulShutdown::start(const Circumstances& circumstances) {
  circumstances_ = circumstances;
  started_at_ = loop_.now();
  last_request_open_ = started_at_;
  times_ = policy::shutdown_times(circumstances.max_request_timeout);
  advance();
}

policy::ShutdownState GracefulShutdown::observe() {
  policy::ShutdownState state;
  state.elapsed = loop_.now() - started_at_;
  state.was_ready = circumstances_.was_ready;
  state.listener_is_shared = circumstances_.listener_is_shared;
  state.successor_ready = lease_ != nullptr && lease_->another_is_ready();
  state.closing_clients = closing_clients_;
  state.is_receiving = !closing_clients_ && frontends_.is_active();
  state.input_drained = std::exchange(observes_iteration_, false) && loop_.is_idle();
  state.has_connections = frontends_.has_connections();
  state.open_requests = dispatcher_.open_request_count();
  if (state.open_requests > 0) last_request_open_ = loop_.now();
  state.idle_for = loop_.now() - last_request_open_;
  return state;
}

void GracefulShutdown::carry_out(const policy::ShutdownAction& action, const policy::ShutdownState& state) {
  if (action.step == policy::ShutdownStep::kCloseClients) {
    closing_clients_ = true;
    log_.write(LogLevel::kInfo, "stop", "ending clients", {{"open", std::to_string(state.open_requests)}});
  }
  // At every step, for clients that were accepted since the last one.
  if (closing_clients_) {
    frontends_.close_all_gracefully(policy::client_close_timeout(times_, state.elapsed));
  }
  frontends_.set_platform_accepting(action.accept_clients);
  if (state.successor_ready) frontends_.leave_mysql_clients_to_successor();
}

void GracefulShutdown::advance() {
  const policy::ShutdownState state = observe();
  const policy::ShutdownAction action = policy::next_shutdown_step(times_, state);
  if (action.step == policy::ShutdownStep::kExit) {
    log_.write(LogLevel::kNotice, "stop", "idle, so done", {});
    loop_.stop();
    return;
  }
  carry_out(action, state);
  observes_iteration_ = action.step == policy::ShutdownStep::kDrainInput;
  const Duration pause = observes_iteration_ ? Duration(0) : kCheckInterval;
  loop_.run_at(loop_.now() + pause, [this] { advance(); });
}

}  // namespace rookproxy
