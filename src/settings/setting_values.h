// The settings of a deployment as pairs of a path and a text, looked up by path.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "settings/text_values.h"

namespace rookproxy::settings {

// Pairs like `grades.0.name=lookup`. Holds views into the pairs it is made of, which have to outlive it.
// Every lookup of a malformed value throws FormatError with its path. Used by one thread at a time.
class SettingValues {
 public:
  // Throws FormatError for a pair without '='. Of two pairs with one path the later one counts.
  explicit SettingValues(const std::vector<std::string_view>& pairs);

  // The text at a path, or nothing if it is missing or left out with a dash.
  [[nodiscard]] std::optional<std::string_view> text(const std::string& path) const;

  // The finite number at a path, or `fallback` if there is none.
  [[nodiscard]] double number_or(const std::string& path, double fallback) const;

  // The integer at a path, if there is one.
  template <class Integer>
  [[nodiscard]] std::optional<Integer> integer(const std::string& path) const {
    const auto value = text(path);
    if (!value) return std::nullopt;
    return read_integer<Integer>(*value, path);
  }

  // The time or duration at a path in microseconds, if there is one.
  [[nodiscard]] std::optional<routing::Time> time(const std::string& path) const;

  // Whether the flag at a path is there and true.
  [[nodiscard]] bool is_set(const std::string& path) const;

  // The comma-separated values at a path; empty if there are none.
  [[nodiscard]] std::vector<std::string_view> list(const std::string& path) const;

  // How many entries the array at a path has, as its `.count` says; 0 if there is none.
  [[nodiscard]] std::uint32_t count(const std::string& path) const;

 private:
  std::unordered_map<std::string, std::string_view> values_;
};

}  // namespace rookproxy::settings
