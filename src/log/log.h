// Log lines: RFC 5424 with structured data, to standard error and, by an operator's file, to a syslog
// address.
#pragma once

#include <initializer_list>
#include <iosfwd>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "base/time.h"
#include "net/sockets.h"

namespace rookproxy {

// RFC 5424's severities, as far as they are used here.
enum class LogLevel { kError = 3, kWarning = 4, kNotice = 5, kInfo = 6, kDebug = 7 };

std::optional<LogLevel> parse_log_level(std::string_view name);

struct LogField {
  std::string_view name;
  std::string value;
};

// The whole line without its end, for anyone's stream or datagram.
std::string format_rfc5424(LogLevel level, int facility, Time at, std::string_view host, std::string_view app,
                           std::string_view process, std::string_view message_id,
                           std::initializer_list<LogField> fields, std::string_view text);

class Logger {
 public:
  Logger(std::ostream& out, LogLevel least, std::string host, std::string app);
  // No address: to no collector (any more).
  void set_syslog_target(const std::optional<SocketAddress>& address, int facility);
  void set_min_level(LogLevel least) { min_level_ = least; }
  void set_host(std::string host) { host_ = std::move(host); }
  bool is_enabled(LogLevel level) const { return level <= min_level_; }
  void write(LogLevel level, std::string_view message_id, std::string_view text,
             std::initializer_list<LogField> fields);

 private:
  std::ostream& out_;
  LogLevel min_level_;
  std::string host_, app_, process_;
  int facility_ = 16;  // local0
  FileDescriptor syslog_;
  // A burst must not cost what the requests need: this many lines a second, then one that counts the rest.
  static constexpr int kMaxLinesPerSecond = 200;
  Time window_start_{};
  int lines_in_window_ = 0, suppressed_lines_ = 0;
};

}  // namespace rookproxy
