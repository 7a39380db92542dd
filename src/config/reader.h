// Reading one JSON document by key, with errors that name the key at fault.
#pragma once

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "config/config.h"

namespace rookproxy {

class ConfigReader {
 public:
  ConfigReader(const nlohmann::json& at, std::string path) : object_(at), path_(std::move(path)) {
    if (!object_.is_object()) throw ConfigError(path_.empty() ? "the document" : path_, "not a table");
  }
  bool has(const std::string& key) const { return object_.contains(key) && !object_[key].is_null(); }
  std::string path(const std::string& key) const { return path_.empty() ? key : path_ + "." + key; }
  ConfigReader table(const std::string& key) const { return ConfigReader(required(key), path(key)); }
  const nlohmann::json& required(const std::string& key) const {
    if (!has(key)) throw ConfigError(path(key), "missing");
    return object_[key];
  }
  std::string text(const std::string& key) const {
    const auto& value = required(key);
    if (!value.is_string()) throw ConfigError(path(key), "not a text");
    return value.get<std::string>();
  }
  std::string text_or(const std::string& key, const std::string& fallback) const {
    return has(key) ? text(key) : fallback;
  }
  double number(const std::string& key, double least, double most) const {
    const auto& value = required(key);
    if (!value.is_number()) throw ConfigError(path(key), "not a number");
    const double number = value.get<double>();
    if (!(number >= least && number <= most)) {
      throw ConfigError(path(key), "out of range (" + value.dump() + ")");
    }
    return number;
  }
  std::int64_t integer_or(const std::string& key, std::int64_t fallback, std::int64_t least,
                          std::int64_t most) const {
    if (!has(key)) return fallback;
    const double value = number(key, static_cast<double>(least), static_cast<double>(most));
    if (value != std::floor(value)) throw ConfigError(path(key), "not a whole number");
    return static_cast<std::int64_t>(value);
  }
  Duration milliseconds_or(const std::string& key, Duration fallback, std::int64_t least) const {
    if (!has(key)) return fallback;
    return std::chrono::milliseconds(integer_or(key, 0, least, 86'400'000));
  }
  SocketAddress endpoint(const std::string& key) const {
    const auto value = parse_socket_address(text(key));
    if (!value) throw ConfigError(path(key), "not an address like 127.0.0.1:8443 ('" + text(key) + "')");
    return *value;
  }
  // A misspelt key in an operator's file would else be a setting that silently does not hold.
  void allow_only(std::initializer_list<std::string_view> known) const {
    for (const auto& [key, value] : object_.items()) {
      if (std::find(known.begin(), known.end(), key) == known.end())
        throw ConfigError(path(key), "unknown key");
    }
  }
  const nlohmann::json& json() const { return object_; }

 private:
  const nlohmann::json& object_;
  std::string path_;
};

LogConfig read_log_config(const ConfigReader& log);

}  // namespace rookproxy
