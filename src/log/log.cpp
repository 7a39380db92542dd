#include "log/log.h"

#include <unistd.h>

#include <ostream>

#include "net/clock.h"
#include "net/file_descriptor.h"
#include "net/socket_address.h"
#include "net/sockets.h"

namespace rookproxy {
namespace {

constexpr Duration kWindow = std::chrono::seconds(1);

}  // namespace

Logger::Logger(std::ostream& out, LogLevel min_level, std::string host, std::string app)
    : out_(out),
      min_level_(min_level),
      host_(std::move(host)),
      app_(std::move(app)),
      process_(std::to_string(::getpid())) {}

void Logger::set_syslog_target(const std::optional<SocketAddress>& address, int facility) {
  syslog_ = address ? connect_udp(*address) : FileDescriptor();
  facility_ = facility;
}

void Logger::write(LogLevel level, std::string_view message_id, std::string_view text,
                   std::initializer_list<LogField> fields) {
  if (!is_enabled(level)) return;
  const Time now = monotonic_now();
  if (now - window_start_ >= kWindow) start_window(now);
  if (++lines_in_window_ > kMaxLinesPerSecond) {
    ++suppressed_lines_;
    return;
  }
  const std::string message =
      format_rfc5424(level, facility_, now, host_, app_, process_, message_id, fields, text);
  out_ << message << '\n' << std::flush;
  // Errors are ignored: a collector that is full or unreachable must not delay the dispatcher.
  send_best_effort(syslog_, message);
}

void Logger::start_window(Time now) {
  const int suppressed = std::exchange(suppressed_lines_, 0);
  window_start_ = now;
  lines_in_window_ = 0;
  if (suppressed > 0) {
    write(LogLevel::kWarning, "log", "messages suppressed by the rate limit",
          {{"count", std::to_string(suppressed)}});
  }
}

}  // namespace rookproxy
