// Starts, signals and collects child processes of the agent.
#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "policy/process_id.h"

namespace rookproxy {

// The number of the first passed descriptor in the child.
constexpr int kFirstPassedDescriptor = 3;

// The command, environment and descriptors of a child.
struct ProcessSpec {
  // The program, which is looked up in PATH, and its arguments.
  std::vector<std::string> command;
  // Variables added to the agent's own environment. If a name occurs more than once, the last entry applies.
  std::vector<std::pair<std::string, std::string>> environment;
  // Numbered from kFirstPassedDescriptor in the child.
  std::vector<int> passed_descriptors;
};

// Must be called before the first child is started. If this process inherited that SIGCHLD is ignored, the
// kernel would discard the exits of its children without a signal.
void enable_exit_collection();

// Starts a child, which gets SIGTERM when this process ends. Returns nothing on failure, with errno set. If
// the command can't be executed, the child exits with code 127.
[[nodiscard]] std::optional<policy::ProcessId> start_process(const ProcessSpec& spec);

// Sends a signal to a child whose exit has not been collected.
void send_signal(policy::ProcessId process, int signal);

// Collects the exit of a child and returns how it ended, like "exit 2" or "signal 9"; nothing while it runs.
[[nodiscard]] std::optional<std::string> collect_exit(policy::ProcessId process);

}  // namespace rookproxy
