// The agent's configuration: the instances and how they are supervised.
#pragma once

#include <chrono>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "config/config.h"
#include "net/socket_address.h"

namespace rookproxy {

// One program that the agent keeps running.
struct InstanceConfig {
  std::string name;
  std::vector<std::string> command;
  // Variables added to the agent's own environment.
  std::map<std::string, std::string> environment;
  bool autostart = true;
  // Opened by the agent and passed to the instance's processes as descriptors 3, 4 and so on.
  std::vector<SocketAddress> listen;
  // Admin addresses. During an upgrade two processes need one each, so there may be two, used alternately.
  std::vector<SocketAddress> admin;
};

// The configuration in the agent's file.
struct AgentConfig {
  // The path of the socket for commands.
  std::string socket;
  // Pauses before an instance that has ended is started again: the first one, and the longest.
  Duration initial_backoff = std::chrono::milliseconds(200);
  Duration max_backoff = std::chrono::seconds(30);
  // An instance that has run this long starts again with the first pause.
  Duration stable_after = std::chrono::seconds(10);
  // How long the successor in an upgrade may take to become ready; after that the upgrade fails.
  Duration ready_timeout = std::chrono::seconds(10);
  // How long a process may take to end after SIGTERM; after that it gets SIGKILL.
  Duration stop_timeout = std::chrono::seconds(30);
  std::vector<InstanceConfig> instances;
  LogConfig log;
};

// Loads the agent's TOML file. Throws ConfigError.
[[nodiscard]] AgentConfig load_agent_config(const std::string& path);

// Reads the agent's configuration from a JSON document. Throws ConfigError.
[[nodiscard]] AgentConfig read_agent_config(const nlohmann::json& document);

}  // namespace rookproxy
