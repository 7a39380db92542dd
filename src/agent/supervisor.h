// Runs the instances of one machine: starts, drains and upgrades them, and restarts those that end, with
// exponential backoff.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "agent/instance.h"
#include "config/agent_config.h"
#include "log/log.h"
#include "net/event_loop.h"
#include "policy/instance_lifecycle.h"

namespace rookproxy {

// Used only on the loop's thread; loop and logger must outlive it.
class Supervisor {
 public:
  // Throws ConfigError if listening on one of the instances' addresses fails.
  Supervisor(EventLoop& loop, Logger& logger, const AgentConfig& config);

  // Starts the instances that are configured to start with the agent.
  void start_all();
  // Starts to carry out a command for an instance, or returns why it was rejected.
  [[nodiscard]] std::optional<CommandRejection> execute(policy::InstanceCommand command,
                                                        const std::string& name);
  // Drains all instances and calls `on_all_stopped` once no process is left.
  void begin_shutdown(std::function<void()> on_all_stopped);
  [[nodiscard]] std::vector<InstanceStatus> status() const;
  // Must be called on SIGCHLD.
  void collect_exits();

 private:
  // Instances must not move, as their timers and probes refer to them.
  std::vector<std::unique_ptr<Instance>> instances_;
  std::function<void()> on_all_stopped_;  // Set during a shutdown.
};

}  // namespace rookproxy
