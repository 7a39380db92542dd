// Reads one table of a JSON document by key. Errors name the key at fault.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "config/config_error.h"
#include "net/file_descriptor.h"
#include "net/socket_address.h"
#include "net/sockets.h"

namespace rookproxy {

// A view of a table, which must outlive it. A key whose value is null counts as missing. Member functions
// throw ConfigError with the key's path if a required key is missing or a value is not of the type or in the
// range asked for. Used by one thread at a time.
class ConfigReader {
 public:
  // `path` is the path of the table in the document; empty for the document itself. Throws ConfigError if
  // `table` is not a table.
  ConfigReader(const nlohmann::json& table, std::string path);

  [[nodiscard]] bool has(const std::string& key) const;

  // The path of a key, as used in error messages.
  [[nodiscard]] std::string path(const std::string& key) const;

  // The value of a required key.
  [[nodiscard]] const nlohmann::json& required(const std::string& key) const;

  // A required table within this one.
  [[nodiscard]] ConfigReader table(const std::string& key) const;

  // A required string.
  [[nodiscard]] std::string text(const std::string& key) const;

  [[nodiscard]] std::string text_or(const std::string& key, const std::string& fallback) const;

  // A required number from `min` to `max`.
  [[nodiscard]] double number(const std::string& key, double min, double max) const;

  // An integer from `min` to `max`.
  [[nodiscard]] std::int64_t integer_or(const std::string& key, std::int64_t fallback, std::int64_t min,
                                        std::int64_t max) const;

  // A duration in milliseconds, from `min` up to a day.
  [[nodiscard]] Duration milliseconds_or(const std::string& key, Duration fallback, std::int64_t min) const;

  // A required address like 127.0.0.1:8443.
  [[nodiscard]] SocketAddress endpoint(const std::string& key) const;

  // The inherited descriptor of a listening socket, if the table has one.
  [[nodiscard]] std::optional<int> passed_socket() const;

  // Throws for an unknown key: without this check, a misspelt key would silently have no effect.
  void reject_unknown_keys(std::initializer_list<std::string_view> known) const;

  [[nodiscard]] const nlohmann::json& json() const { return object_; }

 private:
  const nlohmann::json& object_;
  std::string path_;
};

}  // namespace rookproxy
