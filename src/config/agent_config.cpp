#include "config/agent_config.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

#include "config/reader.h"

namespace rookproxy {
namespace {

InstanceConfig read_instance(const ConfigReader& reader) {
  reader.allow_only({"name", "command", "environment", "autostart", "listen", "ops"});
  InstanceConfig instance;
  instance.name = reader.text("name");
  const bool plain =
      !instance.name.empty() && std::all_of(instance.name.begin(), instance.name.end(), [](char c) {
        return std::isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_' || c == '.';
      });
  if (!plain)
    throw ConfigError(reader.path("name"),
                      "only letters, digits, '-', '_' and '.' ('" + instance.name + "')");
  for (const auto& word : reader.required("command")) {
    if (!word.is_string()) throw ConfigError(reader.path("command"), "not a list of texts");
    instance.command.push_back(word.get<std::string>());
  }
  if (instance.command.empty()) throw ConfigError(reader.path("command"), "empty");
  const auto addresses = [&reader](const char* key, std::size_t most) {
    std::vector<SocketAddress> list;
    if (!reader.has(key)) return list;
    for (const auto& entry : reader.required(key)) {
      const auto address = entry.is_string() ? parse_socket_address(entry.get<std::string>()) : std::nullopt;
      if (!address) throw ConfigError(reader.path(key), "not a list of addresses like 127.0.0.1:8443");
      list.push_back(*address);
    }
    if (list.size() > most) throw ConfigError(reader.path(key), "more than " + std::to_string(most));
    return list;
  };
  instance.listen = addresses("listen", 8);
  instance.admin = addresses("ops", 2);
  if (reader.has("environment")) {
    const ConfigReader environment = reader.table("environment");
    for (const auto& [name, value] : environment.json().items())
      instance.environment[name] = environment.text(name);
  }
  if (reader.has("autostart")) {
    if (!reader.required("autostart").is_boolean())
      throw ConfigError(reader.path("autostart"), "neither true nor false");
    instance.autostart = reader.required("autostart").get<bool>();
  }
  return instance;
}

}  // namespace

AgentConfig read_agent_config(const nlohmann::json& document) {
  const ConfigReader reader(document, "");
  reader.allow_only({"socket", "backoff_first_ms", "backoff_most_ms", "steady_ms", "ready_within_ms",
                     "stop_within_ms", "instances", "log"});
  AgentConfig config;
  config.socket = reader.text("socket");
  config.initial_backoff = reader.milliseconds_or("backoff_first_ms", config.initial_backoff, 1);
  config.max_backoff = reader.milliseconds_or("backoff_most_ms", config.max_backoff, 1);
  if (config.max_backoff < config.initial_backoff)
    throw ConfigError("backoff_most_ms", "less than backoff_first_ms");
  config.stable_after = reader.milliseconds_or("steady_ms", config.stable_after, 1);
  config.ready_timeout = reader.milliseconds_or("ready_within_ms", config.ready_timeout, 1);
  config.stop_timeout = reader.milliseconds_or("stop_within_ms", config.stop_timeout, 1);
  std::set<std::string> names;
  std::size_t number = 0;
  for (const auto& entry : reader.required("instances")) {
    const std::string path = "instances." + std::to_string(number++);
    config.instances.push_back(read_instance(ConfigReader(entry, path)));
    if (!names.insert(config.instances.back().name).second) throw ConfigError(path + ".name", "used twice");
  }
  if (config.instances.empty()) throw ConfigError("instances", "none");
  if (reader.has("log")) config.log = read_log_config(reader.table("log"));
  return config;
}

AgentConfig load_agent_config(const std::string& path) { return read_agent_config(read_toml(path)); }

}  // namespace rookproxy
