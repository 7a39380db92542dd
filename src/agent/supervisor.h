// Keeps local instances: starts them, drains them, starts them again after a pause that grows.
#pragma once

#include <sys/types.h>

#include <functional>
#include <string>
#include <vector>

#include "admin/admin_client.h"
#include "config/agent_config.h"
#include "net/event_loop.h"

namespace rookproxy {

class Supervisor {
 public:
  enum class State { kStopped, kRunning, kDraining, kWaiting };  // waiting: for its next start
  struct Status {
    std::string name;
    State state = State::kStopped;
    pid_t process = 0;
    int restarts = 0;           // that nobody asked for
    std::string last_exit;      // 'exit 2', 'signal 9'; empty: never
    Duration time_in_state{};   // in this state
    std::string admin_address;  // where its process answers operators; empty: unknown here
    std::string upgrade;        // the last one: empty, 'in progress', 'done' or 'failed: why'
  };

  Supervisor(EventLoop& loop, Logger& log, const AgentConfig& config);
  ~Supervisor();

  void start_all();
  // Each says what is wrong, or nothing.
  std::string start(const std::string& name);
  std::string drain(const std::string& name);
  std::string restart(const std::string& name);
  // Starts a second process beside the running one; once that is ready the former drains, else it serves on.
  std::string upgrade(const std::string& name);
  // Drains all; calls back once none is left.
  void begin_shutdown(std::function<void()> done);
  std::vector<Status> status() const;
  // To be called on SIGCHLD.
  void reap_children();

 private:
  struct Instance {
    InstanceConfig config;
    State state = State::kStopped;
    pid_t process = 0;
    bool restart_after_drain = false;  // once it has drained
    int restarts = 0;
    Duration pause{};
    Time since, started;
    std::string last_exit;
    TimerId timer{};
    std::vector<FileDescriptor> sockets;
    std::size_t admin_address_index = 0;  // of its addresses, the one that its process has
    pid_t successor = 0;                  // not ready yet
    pid_t retiring_process = 0;           // the former process, on its way out
    Time ready_deadline;
    TimerId upgrade_timer{};
    std::unique_ptr<AdminClient> call;
    std::string upgrade;
  };
  Instance* find(const std::string& name);
  void enter(Instance& instance, State state);
  pid_t launch(const Instance& instance, std::size_t ops_at);
  void spawn(Instance& instance);
  void probe_successor(Instance& instance);
  void promote(Instance& instance);
  void end_upgrade(Instance& instance, const std::string& how);
  void on_process_exit(Instance& instance, int status);
  void terminate(Instance& instance);

  EventLoop& loop_;
  Logger& log_;
  AgentConfig config_;
  std::vector<Instance> instances_;
  std::function<void()> on_all_stopped_;
};

std::string_view state_name(Supervisor::State state);

}  // namespace rookproxy
