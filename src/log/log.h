// Logs to a stream and, if configured, to a syslog collector.
#pragma once

#include <initializer_list>
#include <iosfwd>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "base/time.h"
#include "log/rfc5424.h"
#include "net/file_descriptor.h"
#include "net/socket_address.h"
#include "net/sockets.h"

namespace rookproxy {

// Writes RFC 5424 messages. Used by one thread; the stream must outlive it.
class Logger {
 public:
  Logger(std::ostream& out, LogLevel min_level, std::string host, std::string app);

  // Also sends messages to a collector by UDP; without an address, stops doing so.
  void set_syslog_target(const std::optional<SocketAddress>& address, int facility);
  void set_min_level(LogLevel min_level) { min_level_ = min_level; }
  void set_host(std::string host) { host_ = std::move(host); }

  // Whether messages of the level are written.
  [[nodiscard]] bool is_enabled(LogLevel level) const { return level <= min_level_; }

  // Writes a message. Messages over a limit per second are suppressed and counted.
  void write(LogLevel level, std::string_view message_id, std::string_view text,
             std::initializer_list<LogField> fields);

 private:
  void start_window(Time now);

  // Bounds the CPU time that a burst of messages takes from requests.
  static constexpr int kMaxLinesPerSecond = 200;
  static constexpr int kDefaultFacility = 16;  // local0

  std::ostream& out_;
  LogLevel min_level_;
  std::string host_;
  std::string app_;
  std::string process_;
  int facility_ = kDefaultFacility;
  FileDescriptor syslog_;
  Time window_start_{};
  int lines_in_window_ = 0;
  int suppressed_lines_ = 0;
};

}  // namespace rookproxy
