// Reading one table of a JSON document by key, with errors that name the key at fault.
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

// A view of a table that has to outlive it. A key whose value is null counts as missing. Every member
// function throws ConfigError with the key's path where it says what a value has to be. Used by one thread at
// a time.
class ConfigReader {
 public:
  // `path` is that of the table in the document; empty for the document itself. Throws ConfigError unless it
  // is a table.
  ConfigReader(const nlohmann::json& table, std::string path);

  [[nodiscard]] bool has(const std::string& key) const;

  // The path of a key, as error messages have it.
  [[nodiscard]] std::string path(const std::string& key) const;

  // The value of a key that has to be there.
  [[nodiscard]] const nlohmann::json& required(const std::string& key) const;

  // A table within this one, which has to be there.
  [[nodiscard]] ConfigReader table(const std::string& key) const;

  // A text that has to be there.
  [[nodiscard]] std::string text(const std::string& key) const;

  [[nodiscard]] std::string text_or(const std::string& key, const std::string& fallback) const;

  // A number from `least` to `most` that has to be there.
  [[nodiscard]] double number(const std::string& key, double least, double most) const;

  // An integer from `least` to `most`.
  [[nodiscard]] std::int64_t integer_or(const std::string& key, std::int64_t fallback, std::int64_t least,
                                        std::int64_t most) const;

  // A duration in milliseconds, from `least` up to a day.
  [[nodiscard]] Duration milliseconds_or(const std::string& key, Duration fallback, std::int64_t least) const;

  // An address like 127.0.0.1:8443 that has to be there.
  [[nodiscard]] SocketAddress endpoint(const std::string& key) const;

  // The descriptor of a listening socket that the process has inherited, if the table names one.
  [[nodiscard]] std::optional<int> passed_socket() const;

  // Throws for a key that is not known: a misspelt one would be a setting that silently does not apply.
  void allow_only(std::initializer_list<std::string_view> known) const;

  [[nodiscard]] const nlohmann::json& json() const { return object_; }

 private:
  const nlohmann::json& object_;
  std::string path_;
};

}  // namespace rookproxy
