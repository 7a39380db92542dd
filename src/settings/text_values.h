// Splits text and parses numbers, times, flags and keywords. Errors name the value at fault.
#pragma once

#include <array>
#include <charconv>
#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "rookproxy/routing/router.h"

namespace rookproxy::settings {

// Text that is malformed by the rules of its protocol. The message names and quotes the value at fault.
class FormatError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Throws FormatError with `problem` and the beginning of `text`.
[[noreturn]] void throw_format_error(std::string_view problem, std::string_view text);

// Replaces `parts` with views of the parts of `text` between separators. An empty text has one empty part.
// `parts` keeps its capacity, so that callers can reuse it.
void split_into(std::string_view text, char separator, std::vector<std::string_view>& parts);

// The parts of `text` between separators, as views into it.
[[nodiscard]] std::vector<std::string_view> split(std::string_view text, char separator);

// Whether a value is absent: empty, or a single dash.
[[nodiscard]] inline bool is_absent(std::string_view text) { return text.empty() || text == "-"; }

// Reads an integer that fits into Integer. Throws FormatError, which refers to the value as `name`.
template <class Integer>
[[nodiscard]] Integer read_integer(std::string_view text, std::string_view name) {
  Integer value{};
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  if (error == std::errc::result_out_of_range)
    throw_format_error(std::string(name) + " is out of range", text);
  if (error != std::errc() || stop != end)
    throw_format_error(std::string(name) + " is not a whole number", text);
  return value;
}

// Reads a finite number. Throws FormatError, which refers to the value as `name`.
[[nodiscard]] double read_number(std::string_view text, std::string_view name);

// Reads a time or duration in microseconds, which must not be negative. Throws FormatError.
[[nodiscard]] routing::Time read_time(std::string_view text, std::string_view name);

// Reads `1` or `true`, `0` or `false`. Throws FormatError.
[[nodiscard]] bool read_flag(std::string_view text, std::string_view name);

// A keyword of a protocol and its value, as an entry of a table for read_keyword().
template <class Value>
struct Keyword {
  std::string_view word;
  Value value;
};

// Reads one of the keywords of a table. Throws FormatError.
template <class Value, std::size_t kCount>
[[nodiscard]] Value read_keyword(const std::array<Keyword<Value>, kCount>& keywords, std::string_view text,
                                 std::string_view name) {
  for (const Keyword<Value>& keyword : keywords) {
    if (keyword.word == text) return keyword.value;
  }
  throw_format_error("unknown " + std::string(name), text);
}

}  // namespace rookproxy::settings
