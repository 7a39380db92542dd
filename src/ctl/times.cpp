#include "ctl/times.h"

#include <chrono>
#include <ctime>
#include <iomanip>
#include <regex>
#include <sstream>

#include "auth/authenticator.h"
#include "ctl/command.h"

namespace rookproxy::ctl {
namespace {

std::int64_t seconds_per_unit(const std::string& unit) {
  if (unit == "m") return 60;
  if (unit == "h") return 3600;
  if (unit == "d") return 86400;
  return 1;
}

}  // namespace

std::int64_t unix_seconds_now() {
  const auto since_epoch = auth::wall_clock_now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::seconds>(since_epoch).count();
}

std::int64_t parse_duration_seconds(const std::string& text) {
  std::smatch parts;
  if (!std::regex_match(text, parts, std::regex("([0-9]{1,9})([smhd]?)"))) {
    throw CommandError("'" + text + "' is no span like 90s, 10m, 12h or 30d");
  }
  return std::stoll(parts[1]) * seconds_per_unit(parts[2]);
}

std::string format_utc_time(double unix_seconds) {
  const auto time = static_cast<std::time_t>(unix_seconds);
  std::tm parts{};
  ::gmtime_r(&time, &parts);
  std::ostringstream out;
  out << std::put_time(&parts, "%Y-%m-%dT%H:%M:%SZ");
  return out.str();
}

}  // namespace rookproxy::ctl
