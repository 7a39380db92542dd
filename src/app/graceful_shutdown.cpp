#include "app/graceful_shutdown.h"

#include <chrono>
#include <string>
#include <utility>

namespace rookproxy {
namespace {

constexpr Duration kCheckInterval = std::chrono::milliseconds(20);

}  // namespace

void GracefulShutdown::start(const InitialState& initial_state) {
  initial_state_ = initial_state;
  started_at_ = loop_.now();
  last_open_request_at_ = started_at_;
  times_ = policy::shutdown_times(initial_state.max_request_timeout);
  advance();
}

policy::ShutdownState GracefulShutdown::current_state() {
  policy::ShutdownState state;
  state.elapsed = loop_.now() - started_at_;
  state.was_ready = initial_state_.was_ready;
  state.listener_is_shared = initial_state_.listener_is_shared;
  state.successor_ready = process_lock_file_ != nullptr && process_lock_file_->another_is_ready();
  state.closing_clients = closing_clients_;
  state.is_receiving = !closing_clients_ && frontends_.is_active();
  state.input_drained = std::exchange(input_check_pending_, false) && loop_.is_idle();
  state.has_connections = frontends_.has_connections();
  state.open_requests = dispatcher_.open_request_count();
  if (state.open_requests > 0) last_open_request_at_ = loop_.now();
  state.idle_for = loop_.now() - last_open_request_at_;
  return state;
}

void GracefulShutdown::apply(const policy::ShutdownAction& action, const policy::ShutdownState& state) {
  if (action.step == policy::ShutdownStep::kCloseClients) {
    closing_clients_ = true;
    log_.write(LogLevel::kInfo, "stop", "closing client connections",
               {{"open", std::to_string(state.open_requests)}});
  }
  // Repeated at every step, to include clients that were accepted since the last one.
  if (closing_clients_) {
    frontends_.close_all_gracefully(policy::client_close_timeout(times_, state.elapsed));
  }
  frontends_.set_platform_accepting(action.accept_clients);
  if (state.successor_ready) frontends_.hand_over_mysql_clients();
}

void GracefulShutdown::advance() {
  const policy::ShutdownState state = current_state();
  const policy::ShutdownAction action = policy::next_shutdown_step(times_, state);
  if (action.step == policy::ShutdownStep::kExit) {
    log_.write(LogLevel::kNotice, "stop", "idle, so done", {});
    loop_.stop();
    return;
  }
  apply(action, state);
  input_check_pending_ = action.step == policy::ShutdownStep::kDrainInput;
  const Duration pause = input_check_pending_ ? Duration(0) : kCheckInterval;
  loop_.run_at(loop_.now() + pause, [this] { advance(); });
}

}  // namespace rookproxy
