// The agent's file: which instances there are and how they are kept.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "config/config.h"

namespace rookproxy {

struct InstanceConfig {
  std::string name;
  std::vector<std::string> command;
  std::map<std::string, std::string> environment;  // beside the agent's own
  bool autostart = true;
  // Held by the agent and passed to the instance's processes as descriptors 3, 4 and so on.
  std::vector<SocketAddress> listen;
  std::vector<SocketAddress>
      admin;  // operators' addresses: its processes take turns at two, so that both have one
};

struct AgentConfig {
  std::string socket;
  Duration initial_backoff = std::chrono::milliseconds(200), max_backoff = std::chrono::seconds(30);
  Duration stable_after =
      std::chrono::seconds(10);  // an instance that ran so long starts over with the first pause
  Duration ready_timeout = std::chrono::seconds(10);  // a successor, or the former process serves on
  Duration stop_timeout = std::chrono::seconds(30);   // after SIGTERM; then SIGKILL
  std::vector<InstanceConfig> instances;
  LogConfig log;
};

AgentConfig load_agent_config(const std::string& path);
AgentConfig read_agent_config(const nlohmann::json& document);

}  // namespace rookproxy
