#include "config/config_reader.h"
#include "net/socket_address.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace rookproxy {
namespace {

// One day.
constexpr std::int64_t kMaxMilliseconds = 86'400'000;
// Descriptors 0 to 2 are the standard streams.
constexpr std::int64_t kFirstPassedSocket = 3;
constexpr std::int64_t kLastPassedSocket = 1'000'000;

}  // namespace

ConfigReader::ConfigReader(const nlohmann::json& table, std::string path)
    : object_(table), path_(std::move(path)) {
  if (!object_.is_object()) throw ConfigError(path_.empty() ? "the document" : path_, "not a table");
}

bool ConfigReader::has(const std::string& key) const {
  return object_.contains(key) && !object_[key].is_null();
}

std::string ConfigReader::path(const std::string& key) const {
  return path_.empty() ? key : path_ + "." + key;
}

const nlohmann::json& ConfigReader::required(const std::string& key) const {
  if (!has(key)) throw ConfigError(path(key), "missing");
  return object_[key];
}

ConfigReader ConfigReader::table(const std::string& key) const {
  return ConfigReader(required(key), path(key));
}

std::string ConfigReader::text(const std::string& key) const {
  const nlohmann::json& value = required(key);
  if (!value.is_string()) throw ConfigError(path(key), "not a string");
  return value.get<std::string>();
}

std::string ConfigReader::text_or(const std::string& key, const std::string& fallback) const {
  return has(key) ? text(key) : fallback;
}

double ConfigReader::number(const std::string& key, double min, double max) const {
  const nlohmann::json& value = required(key);
  if (!value.is_number()) throw ConfigError(path(key), "not a number");
  const auto number = value.get<double>();
  const bool in_range = number >= min && number <= max;
  if (!in_range) throw ConfigError(path(key), "out of range (" + value.dump() + ")");
  return number;
}

std::int64_t ConfigReader::integer_or(const std::string& key, std::int64_t fallback, std::int64_t min,
                                      std::int64_t max) const {
  if (!has(key)) return fallback;
  const double value = number(key, static_cast<double>(min), static_cast<double>(max));
  if (value != std::floor(value)) throw ConfigError(path(key), "not a whole number");
  return static_cast<std::int64_t>(value);
}

Duration ConfigReader::milliseconds_or(const std::string& key, Duration fallback, std::int64_t min) const {
  if (!has(key)) return fallback;
  return std::chrono::milliseconds(integer_or(key, 0, min, kMaxMilliseconds));
}

SocketAddress ConfigReader::endpoint(const std::string& key) const {
  const auto address = parse_socket_address(text(key));
  if (!address) throw ConfigError(path(key), "not an address like 127.0.0.1:8443 ('" + text(key) + "')");
  return *address;
}

std::optional<int> ConfigReader::passed_socket() const {
  if (!has("passed_socket")) return std::nullopt;
  return static_cast<int>(
      integer_or("passed_socket", kFirstPassedSocket, kFirstPassedSocket, kLastPassedSocket));
}

void ConfigReader::reject_unknown_keys(std::initializer_list<std::string_view> known) const {
  for (const auto& [key, value] : object_.items()) {
    const bool is_known = std::find(known.begin(), known.end(), key) != known.end();
    if (!is_known) throw ConfigError(path(key), "unknown key");
  }
}

}  // namespace rookproxy
