#include "settings/text_values.h"

#include <cmath>

namespace rookproxy::settings {
namespace {

// Limit on the length of a malformed value that an error message quotes.
constexpr std::size_t kMaxQuotedLength = 80;

}  // namespace

void throw_format_error(std::string_view problem, std::string_view text) {
  throw FormatError(std::string(problem) + ": '" + std::string(text.substr(0, kMaxQuotedLength)) + "'");
}

void split_into(std::string_view text, char separator, std::vector<std::string_view>& parts) {
  parts.clear();
  std::size_t start = 0;
  for (;;) {
    const std::size_t end = text.find(separator, start);
    if (end == std::string_view::npos) break;
    parts.push_back(text.substr(start, end - start));
    start = end + 1;
  }
  parts.push_back(text.substr(start));
}

std::vector<std::string_view> split(std::string_view text, char separator) {
  std::vector<std::string_view> parts;
  split_into(text, separator, parts);
  return parts;
}

double read_number(std::string_view text, std::string_view name) {
  double value = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || stop != end || !std::isfinite(value)) {
    throw_format_error(std::string(name) + " is not a number", text);
  }
  return value;
}

routing::Time read_time(std::string_view text, std::string_view name) {
  const auto value = read_integer<routing::Time>(text, name);
  if (value < 0) throw_format_error(std::string(name) + " is out of range", text);
  return value;
}

bool read_flag(std::string_view text, std::string_view name) {
  if (text == "1" || text == "true") return true;
  if (text == "0" || text == "false") return false;
  throw_format_error(std::string(name) + " is not a bool", text);
}

}  // namespace rookproxy::settings
