// Commands for a running rookproxy-agent, sent over its Unix socket.
#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "ctl/exit_code.h"

namespace rookproxy::ctl {

// A command for the agent, from the command line.
struct AgentOptions {
  std::string socket;
  // A command of the agent's protocol, or "figures", which fetches metrics from the instances themselves.
  std::string command;
  // The names of instances; empty for all.
  std::vector<std::string> names;
  // Whether to wait until the command is complete.
  bool wait = false;
  bool as_json = false;
  std::chrono::seconds timeout{60};
};

// Executes the command and prints the outcome.
[[nodiscard]] ExitCode run_agent_command(const AgentOptions& options);

}  // namespace rookproxy::ctl
