// The syslog message format of RFC 5424, with structured data.
#pragma once

#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"

namespace rookproxy {

// The severities of RFC 5424 that are used.
enum class LogLevel { kError = 3, kWarning = 4, kNotice = 5, kInfo = 6, kDebug = 7 };

// Returns the level of that name in configuration files.
[[nodiscard]] std::optional<LogLevel> parse_log_level(std::string_view name);

// A field of the structured data. The text of `name` must outlive the field.
struct LogField {
  std::string_view name;
  std::string value;
};

// Formats a whole message, without a line feed. Characters that the format does not allow are replaced.
[[nodiscard]] std::string format_rfc5424(LogLevel level, int facility, Time at, std::string_view host,
                                         std::string_view app, std::string_view process,
                                         std::string_view message_id, std::initializer_list<LogField> fields,
                                         std::string_view text);

}  // namespace rookproxy
