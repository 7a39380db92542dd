// The agent's configuration: which instances there are and how they are supervised.
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
  std::map<std::string, std::string> environment;  // added to the agent's own
  bool autostart = true;
  // Opened by the agent and passed to the instance's processes as descriptors 3, 4 and so on.
  std::vector<SocketAddress> listen;
  // Addresses for operators. Two processes of an upgrade need one each, so there may be two that take turns.
  std::vector<SocketAddress> admin;
};

// The agent's file.
struct AgentConfig {
  std::string socket;  // the path of the socket for commands
  Duration initial_backoff = std::chrono::milliseconds(200);
  Duration max_backoff = std::chrono::seconds(30);
  Duration stable_after =
      std::chrono::seconds(10);  // an instance that ran this long starts over with the first pause
  Duration ready_timeout = std::chrono::seconds(10);  // for a successor; then the former process goes on
  Duration stop_timeout = std::chrono::seconds(30);   // after SIGTERM; then SIGKILL
  std::vector<InstanceConfig> instances;
  LogConfig log;
};

// Loads the agent's TOML file. Throws ConfigError.
[[nodiscard]] AgentConfig load_agent_config(const std::string& path);

// Reads the agent's file as a JSON document. Throws ConfigError.
[[nodiscard]] AgentConfig read_agent_config(const nlohmann::json& document);

}  // namespace rookproxy
