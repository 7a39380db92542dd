// Reads the section `settings`: converts it to the pairs that the settings reader takes, and reads what only
// the connections need.
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <exception>
#include <set>
#include <string_view>

#include "config/sections.h"
#include "settings/settings_reader.h"

namespace rookproxy {
namespace {

using nlohmann::json;

constexpr double kMaxClassTimeUs = 1e15;
// One hour.
constexpr std::int64_t kMaxDurationUs = 3'600'000'000;

// A value as the text of a pair. Separators of lists and of lines are replaced by '_'.
std::string pair_text(const json& value) {
  std::string text = value.is_string() ? value.get<std::string>() : value.dump();
  const auto is_separator = [](char character) {
    return character == ' ' || character == ',' || character == '\t';
  };
  std::replace_if(text.begin(), text.end(), is_separator, '_');
  return text;
}

// Appends the settings as pairs in the format of the simulator's first message, so that one reader handles
// both.
void append_pairs(const json& value, const std::string& path, std::vector<std::string>& pairs) {
  if (value.is_object()) {
    for (const auto& [key, item] : value.items()) {
      append_pairs(item, path.empty() ? key : path + "." + key, pairs);
    }
  } else if (value.is_array() && !value.empty() && value.front().is_object()) {
    pairs.push_back(path + ".count=" + std::to_string(value.size()));
    for (std::size_t index = 0; index < value.size(); ++index) {
      append_pairs(value[index], path + "." + std::to_string(index), pairs);
    }
  } else if (value.is_array()) {
    std::string list;
    for (const json& item : value) {
      if (!list.empty()) list += ',';
      list += pair_text(item);
    }
    pairs.push_back(path + "=" + list);
  } else if (!value.is_null()) {
    pairs.push_back(path + "=" + pair_text(value));
  }
}

// Class names are used in the lines of metrics and in the fields of requests to engines.
bool is_class_name(std::string_view name) {
  constexpr unsigned char kDelete = 0x7f;
  return !name.empty() && std::all_of(name.begin(), name.end(), [](unsigned char character) {
    return character > ' ' && character < kDelete && character != '=' && character != ',';
  });
}

// Checks the keys that a class must have. The settings reader applies the defaults of the simulator's
// protocol for missing keys; in a configuration, a class without a deadline or an effect is an error.
void check_classes(const ConfigReader& settings) {
  const json& classes = settings.required("grades");
  if (!classes.is_array() || classes.empty()) throw ConfigError(settings.path("grades"), "no classes");
  std::set<std::string> names;
  for (std::size_t index = 0; index < classes.size(); ++index) {
    const ConfigReader reader(classes[index], settings.path("grades." + std::to_string(index)));
    const std::string name = reader.text("name");
    if (!is_class_name(name))
      throw ConfigError(reader.path("name"),
                        "not a word of printable ASCII without '=' and ',' ('" + name + "')");
    if (!names.insert(name).second) throw ConfigError(reader.path("name"), "appears twice ('" + name + "')");
    static_cast<void>(reader.text("effect"));
    static_cast<void>(reader.number("target", 1, kMaxClassTimeUs));
    static_cast<void>(reader.number("deadline", 1, kMaxClassTimeUs));
  }
  static_cast<void>(settings.table("permissions").number("max_attempts", 1, 1e6));
}

void read_routing_settings(const json& settings, Config& config) {
  std::vector<std::string> pairs;
  append_pairs(settings, "", pairs);
  const std::vector<std::string_view> views(pairs.begin(), pairs.end());
  check_classes(ConfigReader(settings, "settings"));
  try {
    config.settings = rookproxy::settings::parse_settings(config.seed, views);
    // The router checks the settings too. Settings that it rejects must abort the start or reload here.
    const routing::Router router(config.settings);
  } catch (const std::exception& error) {
    throw ConfigError("settings", error.what());
  }
}

// Restores the characters of tenant names that pair_text() replaced: on connections they are used unchanged.
void restore_tenant_names(const json& settings, Config& config) {
  const auto tenants = settings.find("parties");
  if (tenants == settings.end() || !tenants->is_array()) return;
  for (std::size_t index = 0; index < config.settings.tenants.size(); ++index) {
    const json& tenant = (*tenants)[index];
    const json name = tenant.is_object() ? tenant.value("name", json()) : json();
    if (name.is_string()) config.settings.tenants[index].name = name.get<std::string>();
  }
}

void read_zones(const ConfigReader& settings, Config& config) {
  if (!settings.has("localities")) return;
  for (const json& zone : settings.required("localities")) {
    if (!zone.is_string()) throw ConfigError("settings.localities", "not a list of strings");
    config.zones.push_back(zone.get<std::string>());
  }
}

void read_permissions(const ConfigReader& permissions, Config& config) {
  const auto microseconds_or = [&](const char* key, Duration fallback) {
    return Duration(permissions.integer_or(key, fallback.count(), 1, kMaxDurationUs));
  };
  config.keepalive = microseconds_or("keepalive", config.keepalive);
  config.connect_timeout = microseconds_or("dial_timeout", config.connect_timeout);
  // 0 means that clients are expected to ignore the advice; the default is sent all the same.
  const auto retry_after = permissions.integer_or("max_retry_after", 0, 0, kMaxDurationUs);
  if (retry_after > 0) config.rejection_retry_after = Duration(retry_after);
  config.streams_per_connection =
      static_cast<std::size_t>(permissions.integer_or("multiplex", 32, 1, 10'000));
}

}  // namespace

void read_settings(const json& settings, Config& config) {
  read_routing_settings(settings, config);
  restore_tenant_names(settings, config);
  const ConfigReader reader(settings, "settings");
  read_zones(reader, config);
  config.timer_resolution =
      Duration(reader.integer_or("resolution", config.timer_resolution.count(), 0, 1'000'000));
  if (reader.has("permissions")) read_permissions(reader.table("permissions"), config);
}

}  // namespace rookproxy
