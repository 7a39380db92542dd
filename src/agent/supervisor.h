// Runs the instances of one machine: starts, drains and upgrades them, and restarts those that end, after a
// pause that grows.
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

// How far the latest upgrade of an instance has got.
struct UpgradeStatus {
  // How far.
  enum class State { kNone, kInProgress, kDone, kFailed };
  State state = State::kNone;
  std::string failure;  // of kFailed alone

  // As operators see it: empty, "in progress", "done" or "failed: ...".
  [[nodiscard]] std::string to_string() const;
};

// Used on the loop's thread alone; loop and logger must outlive it. Its children get SIGTERM when it ends.
class Supervisor {
 public:
  // What an instance does.
  enum class State {
    kStopped,
    kRunning,
    kDraining,
    kWaiting  // for its next start
  };

  // What operators see of an instance.
  struct Status {
    std::string name;
    State state = State::kStopped;
    pid_t process = 0;      // 0: none
    int restarts = 0;       // that no operator asked for
    std::string last_exit;  // "exit 2" or "signal 9"; empty: never
    Duration time_in_state{};
    std::string admin_address;  // of its process; empty: not configured
    UpgradeStatus upgrade;
  };

  // Throws ConfigError if one of the instances' addresses can't be listened on.
  Supervisor(EventLoop& loop, Logger& logger, AgentConfig config);
  ~Supervisor();
  Supervisor(const Supervisor&) = delete;
  Supervisor& operator=(const Supervisor&) = delete;

  // Starts the instances that are configured to start with the agent.
  void start_all();
  // Each of these begins the command, or returns why it is rejected.
  [[nodiscard]] std::optional<CommandRejection> start(const std::string& name);
  [[nodiscard]] std::optional<CommandRejection> drain(const std::string& name);
  [[nodiscard]] std::optional<CommandRejection> restart(const std::string& name);
  // Starts a second process beside the running one. Once that is ready the former drains; else it continues
  // to serve.
  [[nodiscard]] std::optional<CommandRejection> upgrade(const std::string& name);
  // Drains all instances, and calls back once no process is left.
  void begin_shutdown(std::function<void()> on_all_stopped);
  [[nodiscard]] std::vector<Status> status() const;
  // To be called on SIGCHLD.
  void reap_children();

 private:
  // An instance and its processes.
  struct Instance {
    InstanceConfig config;
    std::vector<FileDescriptor> sockets;  // passed to every process of it
    State state = State::kStopped;
    Time state_since;
    pid_t process = 0;
    Time started_at;
    std::size_t admin_address_index = 0;  // of its addresses, the one that its process has
    bool restart_after_drain = false;
    int restarts = 0;
    Duration backoff{};
    std::string last_exit;
    TimerId timer{};  // of its next start, or of the kill if it drains for too long

    // Of an upgrade.
    pid_t successor = 0;         // not ready yet
    pid_t retiring_process = 0;  // the former process, which drains
    Time ready_deadline;
    TimerId upgrade_timer{};
    std::unique_ptr<AdminClient> readiness_probe;
    UpgradeStatus upgrade;
  };

  [[nodiscard]] Instance* find(const std::string& name);
  void enter(Instance& instance, State state);
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
  std::function<void()> on_all_stopped_;  // set while shutting down
};

// As operators see it, as "running".
[[nodiscard]] std::string_view state_name(Supervisor::State state);

}  // namespace rookproxy
