// One instance of the agent: carries out the decisions of policy::InstanceLifecycle with real processes,
// probes and timers.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "admin/admin_client.h"
#include "config/agent_config.h"
#include "log/log.h"
#include "net/event_loop.h"
#include "net/file_descriptor.h"
#include "policy/instance_lifecycle.h"
#include "policy/process_id.h"

namespace rookproxy {

// Why a command was not carried out.
struct CommandRejection {
  std::string reason;
};

// The status of an instance that is shown to operators.
struct InstanceStatus {
  std::string name;
  policy::InstanceState state = policy::InstanceState::kStopped;
  std::optional<policy::ProcessId> process;
  // Restarts that were not requested by an operator.
  int restarts = 0;
  // How the last process ended, like "exit 2" or "signal 9"; empty if none has ended.
  std::string last_exit;
  Duration time_in_state{};
  // The admin address of the process; empty if none is configured.
  std::string admin_address;
  policy::UpgradeStatus upgrade;
};

// The name of a state as shown to operators, like "running".
[[nodiscard]] std::string_view state_name(policy::InstanceState state);

// Used only on the loop's thread; loop and logger must outlive it. The processes get SIGTERM when the agent
// ends.
class Instance final : private policy::ProcessControl {
 public:
  // `limits` has the agent's limits for all instances. Throws ConfigError if listening on one of the
  // instance's addresses fails.
  Instance(EventLoop& loop, Logger& logger, const AgentConfig& limits, InstanceConfig config);
  ~Instance();
  Instance(const Instance&) = delete;
  Instance& operator=(const Instance&) = delete;

  [[nodiscard]] const std::string& name() const { return config_.name; }
  [[nodiscard]] bool starts_with_agent() const { return config_.autostart; }
  // Starts to carry out a command, or returns why it was rejected.
  [[nodiscard]] std::optional<CommandRejection> execute(policy::InstanceCommand command);
  // Collects the exits of the instance's processes. Must be called on SIGCHLD.
  void collect_exits();
  [[nodiscard]] bool has_processes() const { return !lifecycle_.processes().empty(); }
  [[nodiscard]] InstanceStatus status() const;

 private:
  [[nodiscard]] std::optional<policy::ProcessId> start(std::size_t admin_index) override;
  void terminate(policy::ProcessId process, policy::TerminationReason reason) override;
  void kill(policy::ProcessId process, policy::KillReason reason) override;
  void probe(policy::ProcessId process, std::size_t admin_index) override;

  [[nodiscard]] policy::InstanceLifecycle::Context context() { return {loop_.now(), *this}; }
  void log_exit(const std::string& exit);
  // Must be called after each event that was passed to the lifecycle.
  void on_event_handled();
  void log_changes();
  void drop_probe();

  EventLoop& loop_;
  Logger& logger_;
  InstanceConfig config_;
  // Listening sockets that are passed to every process of the instance.
  std::vector<FileDescriptor> sockets_;
  policy::InstanceLifecycle lifecycle_;
  // Runs at the lifecycle's next deadline.
  TimerId timer_{};
  std::shared_ptr<AdminClient> readiness_probe_;

  // What was logged last.
  policy::InstanceState logged_state_ = policy::InstanceState::kStopped;
  std::optional<policy::ProcessId> logged_process_;
  policy::UpgradeStatus::State logged_upgrade_ = policy::UpgradeStatus::State::kNone;
  Time state_since_;
};

}  // namespace rookproxy
