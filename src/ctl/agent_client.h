// Commands for a running rookproxy-agent, sent over its Unix socket.
#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "ctl/exit_code.h"

namespace rookproxy::ctl {

// What the command line asks the agent for.
struct AgentOptions {
  std::string socket;
  std::string command;             // as "status"; "figures" asks the instances themselves
  std::vector<std::string> names;  // of instances; empty: all
  bool wait = false;               // until the command has been carried out
  bool as_json = false;
  std::chrono::seconds timeout{60};
};

// Carries out the command and prints the outcome.
[[nodiscard]] ExitCode run_agent_command(const AgentOptions& options);

}  // namespace rookproxy::ctl
