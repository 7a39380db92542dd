// Durations and times in the format of the command line.
#pragma once

#include <cstdint>
#include <string>

namespace rookproxy::ctl {

// The current Unix time in seconds.
[[nodiscard]] std::int64_t unix_seconds_now();
// Parses a duration like "90s", "10m", "12h", "30d" or a plain number of seconds. Throws CommandError.
[[nodiscard]] std::int64_t parse_duration_seconds(const std::string& text);
// Formats a Unix time in seconds like "2026-12-02T05:13:28Z".
[[nodiscard]] std::string format_utc_time(double unix_seconds);

}  // namespace rookproxy::ctl
