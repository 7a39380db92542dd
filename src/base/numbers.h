// Parses numbers.
#pragma once

#include <charconv>
#include <cmath>
#include <optional>
#include <string_view>
#include <type_traits>

namespace rookproxy {

// Parses the whole text as a number. Returns nothing if it is not a number of type T or not finite. `base`
// applies to integers only.
template <class T>
[[nodiscard]] std::optional<T> parse_number(std::string_view text, int base = 10) {
  T value{};
  const char* const end = text.data() + text.size();
  std::from_chars_result result{};
  if constexpr (std::is_floating_point_v<T>) {
    result = std::from_chars(text.data(), end, value);
    if (!std::isfinite(value)) return std::nullopt;
  } else {
    result = std::from_chars(text.data(), end, value, base);
  }
  if (result.ec != std::errc() || result.ptr != end) return std::nullopt;
  return value;
}

}  // namespace rookproxy
