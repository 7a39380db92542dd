#include "log/log.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <ctime>
#include <ostream>

#include "net/clock.h"

namespace rookproxy {
namespace {

constexpr std::array<std::pair<std::string_view, LogLevel>, 5> kLevels{{{"error", LogLevel::kError},
                                                                        {"warning", LogLevel::kWarning},
                                                                        {"notice", LogLevel::kNotice},
                                                                        {"info", LogLevel::kInfo},
                                                                        {"debug", LogLevel::kDebug}}};

// Header fields and names are printable ASCII without spaces, of bounded length; empty ones are '-'.
std::string header_field(std::string_view text, std::size_t most, std::string_view barred = "") {
  std::string word;
  for (const char c : text.substr(0, most)) {
    const bool fits = c > 32 && c < 127 && barred.find(c) == barred.npos;
    word += fits ? c : '_';
  }
  return word.empty() ? "-" : word;
}

std::string timestamp(Time at) {
  const auto micros = at.time_since_epoch().count();
  const std::time_t seconds = static_cast<std::time_t>(micros / 1'000'000);
  std::tm parts{};
  ::gmtime_r(&seconds, &parts);
  char text[40];
  const auto used = std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &parts);
  std::string fraction = std::to_string(1'000'000 + micros % 1'000'000);
  fraction[0] = '.';
  return std::string(text, used) + fraction + "Z";
}

// In a value, '"', '\' and ']' are escaped (RFC 5424, 6.3.3). Control characters would break line-wise
// readers.
std::string param_value(std::string_view text) {
  std::string value;
  for (const char c : text) {
    if (c == '"' || c == '\\' || c == ']') value += '\\';
    value += static_cast<unsigned char>(c) < 32 || c == 127 ? ' ' : c;
  }
  return value;
}

}  // namespace

std::optional<LogLevel> parse_log_level(std::string_view name) {
  for (const auto& [word, level] : kLevels) {
    if (word == name) return level;
  }
  return std::nullopt;
}

std::string format_rfc5424(LogLevel level, int facility, Time at, std::string_view host, std::string_view app,
                           std::string_view process, std::string_view message_id,
                           std::initializer_list<LogField> fields, std::string_view text) {
  std::string line = "<" + std::to_string(facility * 8 + static_cast<int>(level)) + ">1 " + timestamp(at) +
                     " " + header_field(host, 255) + " " + header_field(app, 48) + " " +
                     header_field(process, 128) + " " + header_field(message_id, 32) + " ";
  if (fields.size() == 0) {
    line += "-";
  } else {
    // 32473 is the enterprise number that RFC 5612 sets aside for documentation and private use like this.
    line += "[rookproxy@32473";
    for (const auto& field : fields) {
      line += " " + header_field(field.name, 32, "=]\"") + "=\"" + param_value(field.value) + "\"";
    }
    line += "]";
  }
  line += ' ';
  for (const char c : text) line += static_cast<unsigned char>(c) < 32 || c == 127 ? ' ' : c;
  return line;
}

Logger::Logger(std::ostream& out, LogLevel least, std::string host, std::string app)
    : out_(out),
      min_level_(least),
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
  if (now - window_start_ >= std::chrono::seconds(1)) {
    const int left_out = std::exchange(suppressed_lines_, 0);
    window_start_ = now;
    lines_in_window_ = 0;
    if (left_out > 0)
      write(LogLevel::kWarning, "log", "lines left out", {{"count", std::to_string(left_out)}});
  }
  if (++lines_in_window_ > kMaxLinesPerSecond) {
    ++suppressed_lines_;
    return;
  }
  const std::string made =
      format_rfc5424(level, facility_, now, host_, app_, process_, message_id, fields, text);
  out_ << made << '\n' << std::flush;
  // Best effort: a full or unreachable collector must not hold the dispatcher up.
  send_best_effort(syslog_, made);
}

}  // namespace rookproxy
