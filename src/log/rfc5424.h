// The syslog message format of RFC 5424, with structured data.
#pragma once

#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"

namespace rookproxy {

// RFC 5424's severities, as far as they are used here.
enum class LogLevel { kError = 3, kWarning = 4, kNotice = 5, kInfo = 6, kDebug = 7 };

// The level of that name, as configuration files spell it.
[[nodiscard]] std::optional<LogLevel> parse_log_level(std::string_view name);

// A value of the structured data. The name's text must outlive the field.
struct LogField {
  std::string_view name;
  std::string value;
};

// The whole message without a line end. Characters that the format does not allow are replaced.
[[nodiscard]] std::string format_rfc5424(LogLevel level, int facility, Time at, std::string_view host,
                                         std::string_view app, std::string_view process,
                                         std::string_view message_id, std::initializer_list<LogField> fields,
                                         std::string_view text);

}  // namespace rookproxy
