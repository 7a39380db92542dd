#include "config/agent_config.h"

#include <algorithm>
#include <cctype>
#include <cstddef>
#include <set>

#include "config/sections.h"
#include "net/socket_address.h"

namespace rookproxy {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxListenAddresses = 8;
constexpr std::size_t kMaxAdminAddresses = 2;

std::string read_instance_name(const ConfigReader& instance) {
  std::string name = instance.text("name");
  const bool is_plain = std::all_of(name.begin(), name.end(), [](unsigned char character) {
    return std::isalnum(character) != 0 || character == '-' || character == '_' || character == '.';
  });
  if (name.empty() || !is_plain) {
    throw ConfigError(instance.path("name"), "only letters, digits, '-', '_' and '.' ('" + name + "')");
  }
  return name;
}

std::vector<std::string> read_command(const ConfigReader& instance) {
  std::vector<std::string> command;
  for (const json& word : instance.required("command")) {
    if (!word.is_string()) throw ConfigError(instance.path("command"), "not a list of strings");
    command.push_back(word.get<std::string>());
  }
  if (command.empty()) throw ConfigError(instance.path("command"), "empty");
  return command;
}

std::vector<SocketAddress> read_addresses(const ConfigReader& instance, const char* key,
                                          std::size_t max_count) {
  std::vector<SocketAddress> addresses;
  if (!instance.has(key)) return addresses;
  for (const json& entry : instance.required(key)) {
    const auto address = entry.is_string() ? parse_socket_address(entry.get<std::string>()) : std::nullopt;
    if (!address) throw ConfigError(instance.path(key), "not a list of addresses like 127.0.0.1:8443");
    addresses.push_back(*address);
  }
  if (addresses.size() > max_count)
    throw ConfigError(instance.path(key), "more than " + std::to_string(max_count));
  return addresses;
}

InstanceConfig read_instance(const ConfigReader& reader) {
  reader.reject_unknown_keys({"name", "command", "environment", "autostart", "listen", "ops"});
  InstanceConfig instance;
  instance.name = read_instance_name(reader);
  instance.command = read_command(reader);
  instance.listen = read_addresses(reader, "listen", kMaxListenAddresses);
  instance.admin = read_addresses(reader, "ops", kMaxAdminAddresses);
  if (reader.has("environment")) {
    const ConfigReader environment = reader.table("environment");
    for (const auto& [name, value] : environment.json().items()) {
      instance.environment[name] = environment.text(name);
    }
  }
  if (reader.has("autostart")) {
    const json& autostart = reader.required("autostart");
    if (!autostart.is_boolean()) throw ConfigError(reader.path("autostart"), "neither true nor false");
    instance.autostart = autostart.get<bool>();
  }
  return instance;
}

std::vector<InstanceConfig> read_instances(const json& entries) {
  std::vector<InstanceConfig> instances;
  std::set<std::string> names;
  for (const json& entry : entries) {
    const std::string path = "instances." + std::to_string(instances.size());
    instances.push_back(read_instance(ConfigReader(entry, path)));
    if (!names.insert(instances.back().name).second) throw ConfigError(path + ".name", "used twice");
  }
  if (instances.empty()) throw ConfigError("instances", "none");
  return instances;
}

}  // namespace

AgentConfig read_agent_config(const json& document) {
  const ConfigReader reader(document, "");
  reader.reject_unknown_keys({"socket", "backoff_first_ms", "backoff_most_ms", "steady_ms", "ready_within_ms",
                              "stop_within_ms", "instances", "log"});
  AgentConfig config;
  config.socket = reader.text("socket");
  config.initial_backoff = reader.milliseconds_or("backoff_first_ms", config.initial_backoff, 1);
  config.max_backoff = reader.milliseconds_or("backoff_most_ms", config.max_backoff, 1);
  if (config.max_backoff < config.initial_backoff) {
    throw ConfigError("backoff_most_ms", "less than backoff_first_ms");
  }
  config.stable_after = reader.milliseconds_or("steady_ms", config.stable_after, 1);
  config.ready_timeout = reader.milliseconds_or("ready_within_ms", config.ready_timeout, 1);
  config.stop_timeout = reader.milliseconds_or("stop_within_ms", config.stop_timeout, 1);
  config.instances = read_instances(reader.required("instances"));
  if (reader.has("log")) config.log = read_log_config(reader.table("log"));
  return config;
}

AgentConfig load_agent_config(const std::string& path) { return read_agent_config(read_toml(path)); }

}  // namespace rookproxy
