// Starts child processes of the agent.
#pragma once

#include <sys/types.h>

#include <string>
#include <utility>
#include <vector>

namespace rookproxy {

// The number under which a child finds the first descriptor that is passed to it.
constexpr int kFirstPassedDescriptor = 3;

// What a child runs and inherits.
struct ProcessSpec {
  std::vector<std::string> command;  // the program, found by PATH, and its arguments
  // Name and value, besides the agent's own environment; a later entry of a name replaces a former one.
  std::vector<std::pair<std::string, std::string>> environment;
  std::vector<int> passed_descriptors;  // numbered from kFirstPassedDescriptor on in the child
};

// Starts a child, which gets SIGTERM when this process ends. Returns its id, or a negative number with errno
// set. A command that can't be run ends the child with exit code 127.
[[nodiscard]] pid_t start_process(const ProcessSpec& spec);

}  // namespace rookproxy
