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
  std::vector<Endpoint> listen;
  std::vector<Endpoint> ops;  // operators' addresses: its processes take turns at two, so that both have one
};

struct AgentConfig {
  std::string socket;
  Duration backoff_first = std::chrono::milliseconds(200), backoff_most = std::chrono::seconds(30);
  Duration steady =
      std::chrono::seconds(10);  // an instance that ran so long starts over with the first pause
  Duration ready_within = std::chrono::seconds(10);  // a successor, or the former process serves on
  Duration stop_within = std::chrono::seconds(30);   // after SIGTERM; then SIGKILL
  std::vector<InstanceConfig> instances;
  LogConfig log;
};

AgentConfig load_agent_config(const std::string& path);
AgentConfig read_agent_config(const nlohmann::json& document);

}  // namespace rookproxy
