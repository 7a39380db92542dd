// Starts child processes of the agent.
#pragma once

#include <sys/types.h>

#include <string>
#include <utility>
#include <vector>

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

// Starts a child, which gets SIGTERM when this process ends. Returns its id, or a negative number with errno
// set. If the command can't be executed, the child exits with code 127.
[[nodiscard]] pid_t start_process(const ProcessSpec& spec);

}  // namespace rookproxy
