// Decides how an agent runs one instance: when its processes are started, probed, told to end and killed.
//
// A phase tells which processes there are. Beside them there may be one that is leaving: it was replaced, or
// its upgrade was aborted, and only its exit is awaited.
//
//   phase        processes                          shown as
//   stopped      none                               stopped
//   waiting      none; starts after a pause         waiting
//   running      the main process                   running
//   upgrading    the main process and a successor   running
//   draining     the main process, told to end      draining
//   restarting   like draining; starts afterwards   draining
//   ending       only the leaving process           draining
//   replacing    the main process, told to end,     draining
//                and the one started in its place
//
// Any process may be serving clients, also one that has not reported yet that it is ready: it accepts from
// the shared listener before the agent learns of that. So a process is only ever told to end, and killed if
// it has not done so within the stop timeout.
//
// The transitions are the table in instance_lifecycle.cpp. Exits and responses name their process: one that
// has no role in the instance any more changes nothing. Deadlines belong to the phase or to the process that
// they concern, and end with it.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/time.h"
#include "policy/process_id.h"

namespace rookproxy::policy {

// The state of an instance that is shown to operators. kWaiting: it waits for its next start.
enum class InstanceState { kStopped, kRunning, kDraining, kWaiting };

// An operator's commands for an instance. kShutdown is a drain after which no other command is accepted.
enum class InstanceCommand { kStart, kDrain, kRestart, kUpgrade, kShutdown };

// Why a command was not carried out.
enum class InstanceRejection {
  kShuttingDown,
  kNotUpgradable,
  kNotRunning,
  kBeingUpgraded,
  kBeingRestarted,
  kNoProcessStarted
};

// The status of the latest upgrade of an instance.
struct UpgradeStatus {
  // Whether there was an upgrade, and its progress or outcome.
  enum class State { kNone, kInProgress, kDone, kFailed };
  State state = State::kNone;
  // Set only for kFailed.
  std::string failure;

  // The text shown to operators: empty, "in progress", "done" or "failed: ...".
  [[nodiscard]] std::string to_string() const;
};

// The limits by which an instance is run.
struct InstanceSettings {
  // Pauses before an instance that has ended is started again: the first one, and the longest.
  Duration initial_backoff{};
  Duration max_backoff{};
  // An instance that has run this long starts again with the first pause.
  Duration stable_after{};
  // How long a successor may take to become ready.
  Duration ready_timeout{};
  // The pause between a probe without success and the next one.
  Duration probe_interval{};
  // How long a process may take to end after SIGTERM.
  Duration stop_timeout{};
  // Whether two processes can run side by side, with one admin address each.
  bool can_overlap = false;
};

// Why a process is told to end: an operator's command, a successor that has become ready, or an upgrade that
// a command aborts or whose successor was not ready in time.
enum class TerminationReason { kCommand, kReplaced, kUpgradeAborted, kNotReadyInTime };

// Which process is killed because it did not end in time.
enum class KillReason { kNotStoppedInTime, kPredecessorNotStoppedInTime, kSuccessorNotStoppedInTime };

// Carries out the decisions on processes.
class ProcessControl {
 public:
  // Starts a process that uses the admin address with this index. Returns nothing on failure.
  [[nodiscard]] virtual std::optional<ProcessId> start(std::size_t admin_index) = 0;
  // Sends SIGTERM.
  virtual void terminate(ProcessId process, TerminationReason reason) = 0;
  // Sends SIGKILL. The process was told to end, and its stop timeout has passed.
  virtual void kill(ProcessId process, KillReason reason) = 0;
  // Asks the process whether it is ready, in place of any earlier question. The response is passed to
  // on_probe_response().
  virtual void probe(ProcessId process, std::size_t admin_index) = 0;

 protected:
  ~ProcessControl() = default;
};

// The state of one instance. The caller passes every command, exit and response to it, and calls on_time() at
// next_due().
class InstanceLifecycle {
 public:
  // The time of an event, and what carries out the decisions on it.
  struct Context {
    Time now;
    ProcessControl& control;
  };

  explicit InstanceLifecycle(const InstanceSettings& settings);

  // Carries out a command or returns why it was rejected.
  std::optional<InstanceRejection> on_command(InstanceCommand command, const Context& context);
  // A child has ended; `exit` tells how, like "exit 2" or "signal 9".
  void on_exit(ProcessId process, const std::string& exit, const Context& context);
  void on_probe_response(ProcessId process, bool is_ready, const Context& context);
  // Handles the deadlines that have passed.
  void on_time(const Context& context);
  // The next deadline; nothing if there is none.
  [[nodiscard]] std::optional<Time> next_due() const;

  [[nodiscard]] InstanceState state() const;
  // The process that serves, or that is draining if there is no other.
  [[nodiscard]] std::optional<ProcessId> process() const;
  // The process that is being probed.
  [[nodiscard]] std::optional<ProcessId> successor() const;
  // All processes whose exit has not been passed to on_exit().
  [[nodiscard]] std::vector<ProcessId> processes() const;
  // The index of the admin address of process().
  [[nodiscard]] std::size_t admin_index() const;
  // Restarts that were not requested by an operator.
  [[nodiscard]] int restarts() const { return restarts_; }
  // How the last process ended; empty if none has.
  [[nodiscard]] const std::string& last_exit() const { return last_exit_; }
  [[nodiscard]] const UpgradeStatus& upgrade() const { return upgrade_; }

 private:
  // A process that serves.
  struct ServingProcess {
    ProcessId id;
    Time started_at;
  };
  // A process that is being probed.
  struct Successor {
    ProcessId id;
    Time ready_by;
    // Set between two probes.
    std::optional<Time> probe_at;
  };
  // A process that was told to end. `kill_at` is not set once it was killed.
  struct EndingProcess {
    ProcessId id;
    std::optional<Time> kill_at;
  };

  struct Stopped {};
  struct Waiting {
    Time launch_at;
  };
  struct Running {
    ServingProcess process;
  };
  struct Upgrading {
    ServingProcess process;
    Successor successor;
  };
  struct Draining {
    EndingProcess process;
  };
  struct Restarting {
    EndingProcess process;
  };
  struct Ending {};
  struct Replacing {
    EndingProcess process;
    ServingProcess replacement;
  };
  using Phase = std::variant<Stopped, Waiting, Running, Upgrading, Draining, Restarting, Ending, Replacing>;

  // Why a process leaves beside the main process.
  enum class LeaveReason { kUpgraded, kUpgradeAborted, kRestarted };
  struct LeavingProcess {
    EndingProcess process;
    LeaveReason reason;
  };

  enum class Event;
  // What a transition needs to know of the event.
  struct Input {
    Time now;
    ProcessControl& control;
    // Set only for exits.
    std::string exit;
  };
  using Rejection = std::optional<InstanceRejection>;
  using Transition = Rejection (InstanceLifecycle::*)(const Input&);
  struct Table;

  Rejection handle(Event event, const Input& input);
  // Handles the event if its deadline is set and has passed.
  void handle_if_due(std::optional<Time> deadline, Event event, const Context& context);

  // The transitions, named after what they do.
  Rejection launch(const Input& input);
  Rejection launch_again(const Input& input);
  Rejection launch_after_exit(const Input& input);
  Rejection cancel_launch(const Input& input);
  Rejection drain(const Input& input);
  Rejection abort_and_drain(const Input& input);
  Rejection restart(const Input& input);
  Rejection abort_and_restart(const Input& input);
  Rejection add_restart(const Input& input);
  Rejection remove_restart(const Input& input);
  Rejection drain_replacement(const Input& input);
  Rejection restart_replacement(const Input& input);
  Rejection finish_replacement(const Input& input);
  Rejection lose_replacement(const Input& input);
  Rejection start_successor(const Input& input);
  Rejection probe_successor(const Input& input);
  Rejection probe_later(const Input& input);
  Rejection promote_successor(const Input& input);
  Rejection replace_ended_process(const Input& input);
  Rejection abort_late_upgrade(const Input& input);
  Rejection fail_upgrade(const Input& input);
  Rejection kill_process(const Input& input);
  Rejection kill_leaving(const Input& input);
  Rejection finish_drain(const Input& input);
  Rejection finish_restart(const Input& input);
  Rejection finish_leaving(const Input& input);
  Rejection finish_ending(const Input& input);
  Rejection reject_not_running(const Input& input);
  Rejection reject_upgrading(const Input& input);

  void launch_later(Time now);
  [[nodiscard]] EndingProcess terminate(ProcessId process, TerminationReason reason,
                                        const Input& input) const;
  EndingProcess terminate_replacement(const Input& input);
  void abort_upgrade(const Successor& successor, TerminationReason reason, const Input& input);
  [[nodiscard]] static KillReason kill_reason_of(LeaveReason reason);
  // The process that takes over from the main process, if there is one.
  [[nodiscard]] std::optional<ProcessId> next_process() const;
  // The phase without a main process.
  [[nodiscard]] Phase idle_phase() const;
  [[nodiscard]] std::optional<Time> launch_due() const;
  [[nodiscard]] std::optional<Time> kill_due() const;
  [[nodiscard]] std::optional<Time> leaving_kill_due() const;
  [[nodiscard]] std::optional<Time> ready_due() const;
  [[nodiscard]] std::optional<Time> probe_due() const;

  InstanceSettings settings_;
  Phase phase_;
  std::optional<LeavingProcess> leaving_;
  bool is_shutting_down_ = false;
  // The index of the admin address of the main process. A successor and a leaving process use the other one.
  std::size_t admin_index_ = 0;
  int restarts_ = 0;
  Duration backoff_;
  std::string last_exit_;
  UpgradeStatus upgrade_;
};

}  // namespace rookproxy::policy
