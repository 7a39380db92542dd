#include "policy/instance_lifecycle.h"

#include <algorithm>
#include <array>
#include <initializer_list>
#include <utility>

namespace rookproxy::policy {
namespace {

// A command that can't be executed ends in the same way in a shell.
constexpr const char* kExitOfFailedStart = "exit 127";

}  // namespace

enum class InstanceLifecycle::Event {
  kStartCommand,
  kDrainCommand,
  kRestartCommand,
  kUpgradeCommand,
  kLaunchDue,
  kProbeDue,
  kReadyResponse,
  kOtherResponse,
  kReadyTimeout,
  kProcessExit,
  kSuccessorExit,
  kLeavingExit,
  kStopTimeout,
  kLeavingStopTimeout,
};

// The transition of each event in each phase. In a cell without one the event changes nothing.
struct InstanceLifecycle::Table {
  static constexpr std::size_t kEventCount = 14;
  static constexpr std::size_t kPhaseCount = std::variant_size_v<Phase>;
  using Row = std::array<Transition, kPhaseCount>;
  using Self = InstanceLifecycle;
  static constexpr Transition kNone = nullptr;

  // clang-format off
  static constexpr std::array<Row, kEventCount> kRows{{
      // kStartCommand
      {/* stopped    */ &Self::launch,
       /* waiting    */ &Self::launch,
       /* running    */ kNone,
       /* upgrading  */ kNone,
       /* draining   */ &Self::add_restart,
       /* restarting */ kNone,
       /* ending     */ &Self::launch,
       /* replacing  */ kNone},
      // kDrainCommand
      {/* stopped    */ kNone,
       /* waiting    */ &Self::cancel_launch,
       /* running    */ &Self::drain,
       /* upgrading  */ &Self::abort_and_drain,
       /* draining   */ kNone,
       /* restarting */ &Self::remove_restart,
       /* ending     */ kNone,
       /* replacing  */ &Self::drain_replacement},
      // kRestartCommand
      {/* stopped    */ &Self::launch,
       /* waiting    */ &Self::launch,
       /* running    */ &Self::restart,
       /* upgrading  */ &Self::abort_and_restart,
       /* draining   */ &Self::add_restart,
       /* restarting */ kNone,
       /* ending     */ &Self::launch,
       /* replacing  */ &Self::restart_replacement},
      // kUpgradeCommand
      {/* stopped    */ &Self::reject_not_running,
       /* waiting    */ &Self::reject_not_running,
       /* running    */ &Self::start_successor,
       /* upgrading  */ &Self::reject_upgrading,
       /* draining   */ &Self::reject_not_running,
       /* restarting */ &Self::reject_not_running,
       /* ending     */ &Self::reject_not_running,
       /* replacing  */ &Self::reject_not_running},
      // kLaunchDue
      {kNone, /* waiting */ &Self::launch_again, kNone, kNone, kNone, kNone, kNone, kNone},
      // kProbeDue
      {kNone, kNone, kNone, /* upgrading */ &Self::probe_successor, kNone, kNone, kNone, kNone},
      // kReadyResponse
      {kNone, kNone, kNone, /* upgrading */ &Self::promote_successor, kNone, kNone, kNone, kNone},
      // kOtherResponse
      {kNone, kNone, kNone, /* upgrading */ &Self::probe_later, kNone, kNone, kNone, kNone},
      // kReadyTimeout
      {kNone, kNone, kNone, /* upgrading */ &Self::abort_late_upgrade, kNone, kNone, kNone, kNone},
      // kProcessExit
      {/* stopped    */ kNone,
       /* waiting    */ kNone,
       /* running    */ &Self::launch_after_exit,
       /* upgrading  */ &Self::replace_ended_process,
       /* draining   */ &Self::finish_drain,
       /* restarting */ &Self::finish_restart,
       /* ending     */ kNone,
       /* replacing  */ &Self::finish_replacement},
      // kSuccessorExit
      {kNone, kNone, kNone,
       /* upgrading  */ &Self::fail_upgrade,
       kNone, kNone, kNone,
       /* replacing  */ &Self::lose_replacement},
      // kLeavingExit
      {/* stopped    */ kNone,
       /* waiting    */ &Self::finish_leaving,
       /* running    */ &Self::finish_leaving,
       /* upgrading  */ kNone,
       /* draining   */ &Self::finish_leaving,
       /* restarting */ &Self::finish_leaving,
       /* ending     */ &Self::finish_ending,
       /* replacing  */ kNone},
      // kStopTimeout
      {kNone, kNone, kNone, kNone,
       /* draining   */ &Self::kill_process,
       /* restarting */ &Self::kill_process,
       kNone,
       /* replacing  */ &Self::kill_process},
      // kLeavingStopTimeout
      {/* stopped    */ kNone,
       /* waiting    */ &Self::kill_leaving,
       /* running    */ &Self::kill_leaving,
       /* upgrading  */ kNone,
       /* draining   */ &Self::kill_leaving,
       /* restarting */ &Self::kill_leaving,
       /* ending     */ &Self::kill_leaving,
       /* replacing  */ kNone},
  }};
  // clang-format on
};

std::string UpgradeStatus::to_string() const {
  switch (state) {
    case State::kNone:
      return "";
    case State::kInProgress:
      return "in progress";
    case State::kDone:
      return "done";
    case State::kFailed:
      return "failed: " + failure;
  }
  return "";
}

InstanceLifecycle::InstanceLifecycle(const InstanceSettings& settings)
    : settings_(settings), backoff_(settings.initial_backoff) {}

// Events.

InstanceLifecycle::Rejection InstanceLifecycle::handle(Event event, const Input& input) {
  const Transition transition = Table::kRows.at(static_cast<std::size_t>(event)).at(phase_.index());
  return transition ? (this->*transition)(input) : std::nullopt;
}

InstanceLifecycle::Rejection InstanceLifecycle::on_command(InstanceCommand command, const Context& context) {
  const Input input{context.now, context.control, ""};
  if (command == InstanceCommand::kShutdown) is_shutting_down_ = true;
  const bool is_drain = command == InstanceCommand::kDrain || command == InstanceCommand::kShutdown;
  if (is_drain) return handle(Event::kDrainCommand, input);
  if (is_shutting_down_) return InstanceRejection::kShuttingDown;
  if (command == InstanceCommand::kStart) return handle(Event::kStartCommand, input);
  if (command == InstanceCommand::kRestart) return handle(Event::kRestartCommand, input);
  if (!settings_.can_overlap) return InstanceRejection::kNotUpgradable;
  return handle(Event::kUpgradeCommand, input);
}

void InstanceLifecycle::on_exit(ProcessId process, const std::string& exit, const Context& context) {
  const Input input{context.now, context.control, exit};
  if (leaving_ && process == leaving_->process.id) {
    handle(Event::kLeavingExit, input);
  } else if (process == next_process()) {
    handle(Event::kSuccessorExit, input);
  } else if (process == this->process()) {
    handle(Event::kProcessExit, input);
  }
}

void InstanceLifecycle::on_probe_response(ProcessId process, bool is_ready, const Context& context) {
  const auto* upgrading = std::get_if<Upgrading>(&phase_);
  if (!upgrading || upgrading->successor.id != process) return;
  handle(is_ready ? Event::kReadyResponse : Event::kOtherResponse, {context.now, context.control, ""});
}

void InstanceLifecycle::on_time(const Context& context) {
  handle_if_due(leaving_kill_due(), Event::kLeavingStopTimeout, context);
  handle_if_due(kill_due(), Event::kStopTimeout, context);
  handle_if_due(ready_due(), Event::kReadyTimeout, context);
  handle_if_due(probe_due(), Event::kProbeDue, context);
  handle_if_due(launch_due(), Event::kLaunchDue, context);
}

void InstanceLifecycle::handle_if_due(std::optional<Time> deadline, Event event, const Context& context) {
  if (deadline && *deadline <= context.now) handle(event, {context.now, context.control, ""});
}

// Deadlines.

std::optional<Time> InstanceLifecycle::next_due() const {
  std::optional<Time> next;
  for (const auto& due : {launch_due(), kill_due(), leaving_kill_due(), ready_due(), probe_due()}) {
    if (due && (!next || *due < *next)) next = due;
  }
  return next;
}

std::optional<Time> InstanceLifecycle::launch_due() const {
  const auto* waiting = std::get_if<Waiting>(&phase_);
  return waiting ? std::optional(waiting->launch_at) : std::nullopt;
}

std::optional<Time> InstanceLifecycle::kill_due() const {
  if (const auto* draining = std::get_if<Draining>(&phase_)) return draining->process.kill_at;
  if (const auto* restarting = std::get_if<Restarting>(&phase_)) return restarting->process.kill_at;
  if (const auto* replacing = std::get_if<Replacing>(&phase_)) return replacing->process.kill_at;
  return std::nullopt;
}

std::optional<Time> InstanceLifecycle::leaving_kill_due() const {
  return leaving_ ? leaving_->process.kill_at : std::nullopt;
}

std::optional<Time> InstanceLifecycle::ready_due() const {
  const auto* upgrading = std::get_if<Upgrading>(&phase_);
  return upgrading ? std::optional(upgrading->successor.ready_by) : std::nullopt;
}

std::optional<Time> InstanceLifecycle::probe_due() const {
  const auto* upgrading = std::get_if<Upgrading>(&phase_);
  return upgrading ? upgrading->successor.probe_at : std::nullopt;
}

// Starts.

InstanceLifecycle::Rejection InstanceLifecycle::launch(const Input& input) {
  backoff_ = settings_.initial_backoff;
  return launch_again(input);
}

InstanceLifecycle::Rejection InstanceLifecycle::launch_again(const Input& input) {
  if (const auto process = input.control.start(admin_index_)) {
    phase_ = Running{{*process, input.now}};
    return std::nullopt;
  }
  ++restarts_;
  last_exit_ = kExitOfFailedStart;
  launch_later(input.now);
  return std::nullopt;
}

InstanceLifecycle::Rejection InstanceLifecycle::launch_after_exit(const Input& input) {
  const Time started_at = std::get<Running>(phase_).process.started_at;
  ++restarts_;
  last_exit_ = input.exit;
  if (input.now - started_at >= settings_.stable_after) backoff_ = settings_.initial_backoff;
  launch_later(input.now);
  return std::nullopt;
}

// Starts the instance after a pause, which doubles each time until the instance has run long enough.
void InstanceLifecycle::launch_later(Time now) {
  phase_ = Waiting{now + backoff_};
  backoff_ = std::min(2 * backoff_, settings_.max_backoff);
}

InstanceLifecycle::Rejection InstanceLifecycle::cancel_launch(const Input&) {
  phase_ = idle_phase();
  return std::nullopt;
}

// Drains and restarts.

InstanceLifecycle::Rejection InstanceLifecycle::drain(const Input& input) {
  phase_ = Draining{terminate(std::get<Running>(phase_).process.id, TerminationReason::kCommand, input)};
  return std::nullopt;
}

InstanceLifecycle::Rejection InstanceLifecycle::abort_and_drain(const Input& input) {
  const Upgrading upgrading = std::get<Upgrading>(phase_);
  abort_upgrade(upgrading.successor, TerminationReason::kUpgradeAborted, input);
  phase_ = Draining{terminate(upgrading.process.id, TerminationReason::kCommand, input)};
  return std::nullopt;
}

// Starts the new process at once where two can run side by side, since the agent holds the listening sockets:
// a draining process stops accepting at some time, and clients would then wait for the new one.
InstanceLifecycle::Rejection InstanceLifecycle::restart(const Input& input) {
  const ProcessId former = std::get<Running>(phase_).process.id;
  if (!settings_.can_overlap || leaving_) {
    phase_ = Restarting{terminate(former, TerminationReason::kCommand, input)};
    return std::nullopt;
  }
  const auto replacement = input.control.start(1 - admin_index_);
  if (!replacement) return InstanceRejection::kNoProcessStarted;
  backoff_ = settings_.initial_backoff;
  phase_ = Replacing{terminate(former, TerminationReason::kCommand, input), {*replacement, input.now}};
  return std::nullopt;
}

InstanceLifecycle::Rejection InstanceLifecycle::abort_and_restart(const Input& input) {
  const Upgrading upgrading = std::get<Upgrading>(phase_);
  abort_upgrade(upgrading.successor, TerminationReason::kUpgradeAborted, input);
  phase_ = Restarting{terminate(upgrading.process.id, TerminationReason::kCommand, input)};
  return std::nullopt;
}

InstanceLifecycle::Rejection InstanceLifecycle::add_restart(const Input&) {
  phase_ = Restarting{std::get<Draining>(phase_).process};
  return std::nullopt;
}

InstanceLifecycle::Rejection InstanceLifecycle::remove_restart(const Input&) {
  phase_ = Draining{std::get<Restarting>(phase_).process};
  return std::nullopt;
}

InstanceLifecycle::Rejection InstanceLifecycle::drain_replacement(const Input& input) {
  phase_ = Draining{terminate_replacement(input)};
  return std::nullopt;
}

// The replacement may have been started before what the command is about, so it is restarted as well.
InstanceLifecycle::Rejection InstanceLifecycle::restart_replacement(const Input& input) {
  phase_ = Restarting{terminate_replacement(input)};
  return std::nullopt;
}

InstanceLifecycle::EndingProcess InstanceLifecycle::terminate_replacement(const Input& input) {
  const Replacing replacing = std::get<Replacing>(phase_);
  leaving_ = LeavingProcess{replacing.process, LeaveReason::kRestarted};
  admin_index_ = 1 - admin_index_;
  return terminate(replacing.replacement.id, TerminationReason::kCommand, input);
}

InstanceLifecycle::Rejection InstanceLifecycle::finish_replacement(const Input& input) {
  last_exit_ = input.exit;
  phase_ = Running{std::get<Replacing>(phase_).replacement};
  admin_index_ = 1 - admin_index_;
  return std::nullopt;
}

InstanceLifecycle::Rejection InstanceLifecycle::lose_replacement(const Input& input) {
  ++restarts_;
  last_exit_ = input.exit;
  phase_ = Restarting{std::get<Replacing>(phase_).process};
  return std::nullopt;
}

InstanceLifecycle::EndingProcess InstanceLifecycle::terminate(ProcessId process, TerminationReason reason,
                                                              const Input& input) const {
  input.control.terminate(process, reason);
  return {process, input.now + settings_.stop_timeout};
}

InstanceLifecycle::Rejection InstanceLifecycle::kill_process(const Input& input) {
  const auto kill = [&](EndingProcess& process) {
    input.control.kill(process.id, KillReason::kNotStoppedInTime);
    process.kill_at.reset();
  };
  if (auto* draining = std::get_if<Draining>(&phase_)) kill(draining->process);
  if (auto* restarting = std::get_if<Restarting>(&phase_)) kill(restarting->process);
  if (auto* replacing = std::get_if<Replacing>(&phase_)) kill(replacing->process);
  return std::nullopt;
}

InstanceLifecycle::Rejection InstanceLifecycle::finish_drain(const Input& input) {
  last_exit_ = input.exit;
  phase_ = idle_phase();
  return std::nullopt;
}

InstanceLifecycle::Rejection InstanceLifecycle::finish_restart(const Input& input) {
  last_exit_ = input.exit;
  return launch(input);
}

// Upgrades.

InstanceLifecycle::Rejection InstanceLifecycle::start_successor(const Input& input) {
  // The leaving process still uses the other admin address.
  if (leaving_ && leaving_->reason == LeaveReason::kRestarted) return InstanceRejection::kBeingRestarted;
  if (leaving_) return InstanceRejection::kBeingUpgraded;
  const std::size_t admin_index = 1 - admin_index_;
  const auto process = input.control.start(admin_index);
  if (!process) return InstanceRejection::kNoProcessStarted;
  const Successor successor{*process, input.now + settings_.ready_timeout, std::nullopt};
  phase_ = Upgrading{std::get<Running>(phase_).process, successor};
  upgrade_ = {UpgradeStatus::State::kInProgress, ""};
  input.control.probe(*process, admin_index);
  return std::nullopt;
}

InstanceLifecycle::Rejection InstanceLifecycle::probe_successor(const Input& input) {
  Successor& successor = std::get<Upgrading>(phase_).successor;
  successor.probe_at.reset();
  input.control.probe(successor.id, 1 - admin_index_);
  return std::nullopt;
}

InstanceLifecycle::Rejection InstanceLifecycle::probe_later(const Input& input) {
  std::get<Upgrading>(phase_).successor.probe_at = input.now + settings_.probe_interval;
  return std::nullopt;
}

InstanceLifecycle::Rejection InstanceLifecycle::promote_successor(const Input& input) {
  const Upgrading upgrading = std::get<Upgrading>(phase_);
  leaving_ = LeavingProcess{terminate(upgrading.process.id, TerminationReason::kReplaced, input),
                            LeaveReason::kUpgraded};
  phase_ = Running{{upgrading.successor.id, input.now}};
  admin_index_ = 1 - admin_index_;
  return std::nullopt;
}

// The successor takes over even though it is not ready, as no other process is left.
InstanceLifecycle::Rejection InstanceLifecycle::replace_ended_process(const Input& input) {
  ++restarts_;
  last_exit_ = input.exit;
  phase_ = Running{{std::get<Upgrading>(phase_).successor.id, input.now}};
  admin_index_ = 1 - admin_index_;
  upgrade_ = {UpgradeStatus::State::kDone, ""};
  return std::nullopt;
}

InstanceLifecycle::Rejection InstanceLifecycle::abort_late_upgrade(const Input& input) {
  const Upgrading upgrading = std::get<Upgrading>(phase_);
  abort_upgrade(upgrading.successor, TerminationReason::kNotReadyInTime, input);
  phase_ = Running{upgrading.process};
  return std::nullopt;
}

// The successor may have become ready and serve clients already, so it drains as any other process does.
void InstanceLifecycle::abort_upgrade(const Successor& successor, TerminationReason reason,
                                      const Input& input) {
  leaving_ = LeavingProcess{terminate(successor.id, reason, input), LeaveReason::kUpgradeAborted};
}

InstanceLifecycle::Rejection InstanceLifecycle::fail_upgrade(const Input& input) {
  phase_ = Running{std::get<Upgrading>(phase_).process};
  upgrade_ = {UpgradeStatus::State::kFailed, "the successor ended with " + input.exit};
  return std::nullopt;
}

// NOLINTNEXTLINE(readability-convert-member-functions-to-static): the table holds member functions.
InstanceLifecycle::Rejection InstanceLifecycle::reject_not_running(const Input&) {
  return InstanceRejection::kNotRunning;
}

// NOLINTNEXTLINE(readability-convert-member-functions-to-static): the table holds member functions.
InstanceLifecycle::Rejection InstanceLifecycle::reject_upgrading(const Input&) {
  return InstanceRejection::kBeingUpgraded;
}

// The leaving process.

KillReason InstanceLifecycle::kill_reason_of(LeaveReason reason) {
  switch (reason) {
    case LeaveReason::kUpgraded:
      return KillReason::kPredecessorNotStoppedInTime;
    case LeaveReason::kUpgradeAborted:
      return KillReason::kSuccessorNotStoppedInTime;
    case LeaveReason::kRestarted:
      return KillReason::kNotStoppedInTime;
  }
  return KillReason::kNotStoppedInTime;
}

InstanceLifecycle::Rejection InstanceLifecycle::kill_leaving(const Input& input) {
  EndingProcess& process = leaving_->process;
  input.control.kill(process.id, kill_reason_of(leaving_->reason));
  process.kill_at.reset();
  return std::nullopt;
}

InstanceLifecycle::Rejection InstanceLifecycle::finish_leaving(const Input& input) {
  if (leaving_->reason == LeaveReason::kUpgraded) upgrade_ = {UpgradeStatus::State::kDone, ""};
  if (leaving_->reason == LeaveReason::kUpgradeAborted) {
    upgrade_ = {UpgradeStatus::State::kFailed, "the successor ended with " + input.exit};
  }
  leaving_.reset();
  return std::nullopt;
}

InstanceLifecycle::Rejection InstanceLifecycle::finish_ending(const Input& input) {
  phase_ = Stopped{};
  return finish_leaving(input);
}

InstanceLifecycle::Phase InstanceLifecycle::idle_phase() const {
  if (leaving_) return Ending{};
  return Stopped{};
}

// Status.

InstanceState InstanceLifecycle::state() const {
  constexpr std::array<InstanceState, Table::kPhaseCount> kStates{
      InstanceState::kStopped,  InstanceState::kWaiting,  InstanceState::kRunning,  InstanceState::kRunning,
      InstanceState::kDraining, InstanceState::kDraining, InstanceState::kDraining, InstanceState::kDraining};
  return kStates.at(phase_.index());
}

std::optional<ProcessId> InstanceLifecycle::process() const {
  if (const auto* running = std::get_if<Running>(&phase_)) return running->process.id;
  if (const auto* upgrading = std::get_if<Upgrading>(&phase_)) return upgrading->process.id;
  if (const auto* draining = std::get_if<Draining>(&phase_)) return draining->process.id;
  if (const auto* restarting = std::get_if<Restarting>(&phase_)) return restarting->process.id;
  if (const auto* replacing = std::get_if<Replacing>(&phase_)) return replacing->process.id;
  if (std::holds_alternative<Ending>(phase_)) return leaving_->process.id;
  return std::nullopt;
}

std::size_t InstanceLifecycle::admin_index() const {
  return std::holds_alternative<Ending>(phase_) ? 1 - admin_index_ : admin_index_;
}

std::optional<ProcessId> InstanceLifecycle::successor() const {
  const auto* upgrading = std::get_if<Upgrading>(&phase_);
  return upgrading ? std::optional(upgrading->successor.id) : std::nullopt;
}

std::optional<ProcessId> InstanceLifecycle::next_process() const {
  const auto* replacing = std::get_if<Replacing>(&phase_);
  return replacing ? std::optional(replacing->replacement.id) : successor();
}

std::vector<ProcessId> InstanceLifecycle::processes() const {
  std::vector<ProcessId> all;
  if (const auto main = process()) all.push_back(*main);
  if (const auto next = next_process()) all.push_back(*next);
  if (leaving_ && leaving_->process.id != process()) all.push_back(leaving_->process.id);
  return all;
}

}  // namespace rookproxy::policy
