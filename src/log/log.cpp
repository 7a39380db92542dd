#include "log/log.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <ctime>
#include <ostream>

#include "net/clock.h"

namespace rookproxy {
namespace {

constexpr std::array<std::pair<std::string_view, Level>, 5> kLevels{{{"error", Level::kError},
                                                                     {"warning", Level::kWarning},
                                                                     {"notice", Level::kNotice},
                                                                     {"info", Level::kInfo},
                                                                     {"debug", Level::kDebug}}};

// Header fields and names are printable ASCII without spaces, of bounded length; empty ones are '-'.
std::string header_word(std::string_view text, std::size_t most, std::string_view barred = "") {
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

std::optional<Level> level_named(std::string_view name) {
  for (const auto& [word, level] : kLevels) {
    if (word == name) return level;
  }
  return std::nullopt;
}

std::string format_rfc5424(Level level, int facility, Time at, std::string_view host, std::string_view app,
                           std::string_view process, std::string_view message_id,
                           std::initializer_list<LogField> fields, std::string_view text) {
  std::string line = "<" + std::to_string(facility * 8 + static_cast<int>(level)) + ">1 " + timestamp(at) +
                     " " + header_word(host, 255) + " " + header_word(app, 48) + " " +
                     header_word(process, 128) + " " + header_word(message_id, 32) + " ";
  if (fields.size() == 0) {
    line += "-";
  } else {
    // 32473 is the enterprise number that RFC 5612 sets aside for documentation and private use like this.
    line += "[rookproxy@32473";
    for (const auto& field : fields) {
      line += " " + header_word(field.name, 32, "=]\"") + "=\"" + param_value(field.value) + "\"";
    }
    line += "]";
  }
  line += ' ';
  for (const char c : text) line += static_cast<unsigned char>(c) < 32 || c == 127 ? ' ' : c;
  return line;
}

Log::Log(std::ostream& out, Level least, std::string host, std::string app)
    : out_(out),
      least_(least),
      host_(std::move(host)),
      app_(std::move(app)),
      process_(std::to_string(::getpid())) {}

void Log::to_syslog(const std::optional<Endpoint>& address, int facility) {
  syslog_ = address ? connect_udp(*address) : Fd();
  facility_ = facility;
}

void Log::line(Level level, std::string_view message_id, std::string_view text,
               std::initializer_list<LogField> fields) {
  if (!takes(level)) return;
  const Time now = wall_now();
  if (now - second_ >= std::chrono::seconds(1)) {
    const int left_out = std::exchange(left_out_, 0);
    second_ = now;
    in_second_ = 0;
    if (left_out > 0) line(Level::kWarning, "log", "lines left out", {{"count", std::to_string(left_out)}});
  }
  if (++in_second_ > kMostPerSecond) {
    ++left_out_;
    return;
  }
  const std::string made =
      format_rfc5424(level, facility_, now, host_, app_, process_, message_id, fields, text);
  out_ << made << '\n' << std::flush;
  // Best effort: a full or unreachable collector must not hold the dispatcher up.
  send_best_effort(syslog_, made);
}

}  // namespace rookproxy
