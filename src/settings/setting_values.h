// The settings of a deployment as pairs of a path and a value in text form, looked up by path.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "settings/text_values.h"

namespace rookproxy::settings {

// Pairs like `grades.0.name=lookup`. Keeps views into the pairs that it is constructed from, which must
// outlive it. Looking up a malformed value throws FormatError with its path. Used by one thread at a time.
class SettingValues {
 public:
  // Throws FormatError for a pair without '='. If a path occurs more than once, the last pair applies.
  explicit SettingValues(const std::vector<std::string_view>& pairs);

  // The text at a path, or nothing if it is missing, empty or a single dash.
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

  // The time or duration in microseconds at a path, if there is one.
  [[nodiscard]] std::optional<routing::Time> time(const std::string& path) const;

  // Whether the flag at a path is present and true.
  [[nodiscard]] bool is_set(const std::string& path) const;

  // The comma-separated values at a path; empty if there are none.
  [[nodiscard]] std::vector<std::string_view> list(const std::string& path) const;

  // The number of entries of the array at a path, from its `.count`; 0 if there is none.
  [[nodiscard]] std::uint32_t count(const std::string& path) const;

 private:
  std::unordered_map<std::string, std::string_view> values_;
};

}  // namespace rookproxy::settings
