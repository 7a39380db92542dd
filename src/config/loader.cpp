#include "config/config.h"

#include <cstddef>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>
#include <vector>

#include "base/numbers.h"

namespace rookproxy {
namespace {

using nlohmann::json;

// A section of an operator's file, and its keys that name files.
struct FileKeys {
  const char* section;
  std::vector<const char*> keys;
};

// Relative paths in an operator's file are relative to its folder.
void resolve_relative_files(json& document, const std::string& operators_file) {
  const FileKeys sections[] = {
      {"access", {"keys", "revoked"}},
      {"tls", {"certificate", "key", "client_ca", "crl"}},
      {"fleet", {"key", "former_key"}},
  };
  const auto folder = std::filesystem::path(operators_file).parent_path();
  for (const auto& [section, keys] : sections) {
    if (!document.contains(section) || !document[section].is_object()) continue;
    json& table = document[section];
    for (const char* key : keys) {
      if (!table.contains(key) || !table[key].is_string()) continue;
      const auto name = table[key].get<std::string>();
      if (!name.empty()) table[key] = (folder / name).string();
    }
  }
}

json read_platform_file(const std::string& path) {
  if (path.empty()) return json::object();
  try {
    return json::parse(read_file(path));
  } catch (const json::exception& error) {
    throw ConfigError(path, error.what());
  }
}

void merge_environment(const Environment& environment, json& document) {
  if (!environment.admin.empty()) document["ops"] = environment.admin;
  // $TMPDIR is often set for other purposes, so the folder in a configuration file has precedence.
  if (!environment.shared_folder.empty() && !document.contains("shared_folder")) {
    document["shared_folder"] = environment.shared_folder;
  }
  if (environment.passed_socket.empty()) return;
  const auto descriptor = parse_number<int>(environment.passed_socket);
  if (!descriptor) {
    throw ConfigError("$NODE_PASSED_SOCKET", "not a number ('" + environment.passed_socket + "')");
  }
  // It belongs to the platform's frontend if there is one, else to the MySQL frontend.
  json& frontend = document.contains("listen") ? document : document["mysql"];
  frontend["passed_socket"] = *descriptor;
}

// Throws ConfigError if a key of the running configuration is missing: a truncated file must not make a
// running dispatcher fall back to defaults. Only keys that the platform treats as optional, and single
// classes, tenants and engines, may be removed.
void check_nothing_removed(const json& former, const json& fresh, const std::string& path) {
  static const std::set<std::string, std::less<>> kOptional{
      "aim_stretch", "keep_order",   "models_allowed", "allowed_in", "streaming", "window",
      "group",       "repeat_ratio", "counted_over",   "min_extra",  "turn_gap",  "fleet"};
  for (const auto& [key, value] : former.items()) {
    if (value.is_null() || kOptional.contains(key)) continue;
    const std::string key_path = path + "." + key;
    if (!fresh.contains(key) || fresh[key].is_null()) {
      throw ConfigError(key_path, "missing, but present in the running configuration");
    }
    const json& fresh_value = fresh[key];
    if (value.is_object() && fresh_value.is_object()) check_nothing_removed(value, fresh_value, key_path);
    const bool lists_classes = key == "grades" && value.is_array() && fresh_value.is_array();
    if (!lists_classes || value.empty()) continue;
    // Every class must have the keys of the first one: all of them are generated in the same way.
    for (std::size_t index = 0; index < fresh_value.size(); ++index) {
      check_nothing_removed(value.front(), fresh_value[index], key_path + "." + std::to_string(index));
    }
  }
}

}  // namespace

Environment read_environment() {
  const auto read = [](const char* name) {
    const char* value = std::getenv(name);
    return std::string(value ? value : "");
  };
  return {read("NODE_CONFIG"), read("NODE_OPS"), read("NODE_PASSED_SOCKET"), read("TMPDIR")};
}

Config load_config(const Environment& environment, const std::string& operators_file) {
  json document = read_platform_file(environment.config_file);
  if (!operators_file.empty()) {
    json file = read_toml(operators_file);
    resolve_relative_files(file, operators_file);
    document.merge_patch(file);
  }
  merge_environment(environment, document);
  Config config = read_config(document);
  config.document = std::make_shared<const json>(std::move(document));
  return config;
}

Config load_config(const Environment& environment, const std::string& operators_file, const Config& running) {
  Config fresh = load_config(environment, operators_file);
  if (running.mysql && !fresh.mysql) throw ConfigError("mysql", "missing, but the MySQL frontend is running");
  const json& former = *running.document;
  for (const std::string key : {"name", "listen", "seed", "limits", "nameserver", "known", "settings"}) {
    if (!former.contains(key)) continue;
    // A fixed list of engines may replace service discovery.
    const bool finds_engines = key == "nameserver" || key == "known";
    if (finds_engines && fresh.document->contains("engines")) continue;
    if (!fresh.document->contains(key))
      throw ConfigError(key, "missing, but present in the running configuration");
    if (former[key].is_object()) check_nothing_removed(former[key], (*fresh.document)[key], key);
  }
  return fresh;
}

}  // namespace rookproxy
