// Runs the instances of one machine: starts, drains and upgrades them, and restarts those that end, with
// exponential backoff.
#pragma once

#include <sys/types.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "admin/admin_client.h"
#include "config/agent_config.h"
#include "net/event_loop.h"
#include "net/file_descriptor.h"

namespace rookproxy {

// Why a command was not carried out.
struct CommandRejection {
  std::string reason;
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

// Used only on the loop's thread; loop and logger must outlive it. The children get SIGTERM when the agent
// ends.
class Supervisor {
 public:
  // The state of an instance. kWaiting: it waits for its next start.
  enum class State { kStopped, kRunning, kDraining, kWaiting };

  // The status of an instance that is shown to operators.
  struct Status {
    std::string name;
    State state = State::kStopped;
    // 0 if there is no process.
    pid_t process = 0;
    // Restarts that were not requested by an operator.
    int restarts = 0;
    // How the last process ended, like "exit 2" or "signal 9"; empty if none has ended.
    std::string last_exit;
    Duration time_in_state{};
    // The admin address of the process; empty if none is configured.
    std::string admin_address;
    UpgradeStatus upgrade;
  };

  // Throws ConfigError if listening on one of the instances' addresses fails.
  Supervisor(EventLoop& loop, Logger& logger, AgentConfig config);
  ~Supervisor();
  Supervisor(const Supervisor&) = delete;
  Supervisor& operator=(const Supervisor&) = delete;

  // Starts the instances that are configured to start with the agent.
  void start_all();
  // Each of these functions starts a command, or returns why it was rejected.
  [[nodiscard]] std::optional<CommandRejection> start(const std::string& name);
  [[nodiscard]] std::optional<CommandRejection> drain(const std::string& name);
  [[nodiscard]] std::optional<CommandRejection> restart(const std::string& name);
  // Starts a second process of the instance. Once that is ready, the running one is drained; if it does not
  // become ready, the running one continues to serve.
  [[nodiscard]] std::optional<CommandRejection> upgrade(const std::string& name);
  // Drains all instances and calls `on_all_stopped` once no process is left.
  void begin_shutdown(std::function<void()> on_all_stopped);
  [[nodiscard]] std::vector<Status> status() const;
  // Must be called on SIGCHLD.
  void reap_children();

 private:
  // An instance and its processes.
  struct Instance {
    InstanceConfig config;
    // Listening sockets that are passed to every process of the instance.
    std::vector<FileDescriptor> sockets;
    State state = State::kStopped;
    Time state_since;
    pid_t process = 0;
    Time started_at;
    // The index of the admin address that `process` uses.
    std::size_t admin_address_index = 0;
    bool restart_after_drain = false;
    int restarts = 0;
    Duration backoff{};
    std::string last_exit;
    // For the next start, or for the kill if a drain takes too long.
    TimerId timer{};

    // The state of an upgrade: a successor that is not ready yet, and the previous process, which drains.
    pid_t successor = 0;
    pid_t retiring_process = 0;
    Time ready_deadline;
    TimerId upgrade_timer{};
    std::unique_ptr<AdminClient> readiness_probe;
    UpgradeStatus upgrade;
  };

  [[nodiscard]] Instance* find(const std::string& name);
  void set_state(Instance& instance, State state);
  [[nodiscard]] pid_t launch(const Instance& instance, std::size_t admin_address_index);
  void spawn(Instance& instance);
  void probe_successor(Instance& instance);
  void promote_successor(Instance& instance);
  void end_upgrade(Instance& instance, UpgradeStatus outcome);
  void on_process_exit(Instance& instance, int wait_status);
  void restart_after_backoff(Instance& instance);
  void terminate(Instance& instance);
  void drain(Instance& instance);

  EventLoop& loop_;
  Logger& logger_;
  AgentConfig config_;
  std::vector<Instance> instances_;
  std::function<void()> on_all_stopped_;  // Set during a shutdown.
};

// The name of a state as shown to operators, like "running".
[[nodiscard]] std::string_view state_name(Supervisor::State state);

}  // namespace rookproxy
