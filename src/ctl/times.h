// Durations and times as operators write and read them.
#pragma once

#include <cstdint>
#include <string>

namespace rookproxy::ctl {

// The present Unix time in seconds.
[[nodiscard]] std::int64_t unix_seconds_now();
// A duration in seconds, written as "90s", "10m", "12h", "30d" or a plain number of seconds. Throws
// CommandError.
[[nodiscard]] std::int64_t parse_duration_seconds(const std::string& text);
// A Unix time in seconds as "2026-12-02T05:13:28Z".
[[nodiscard]] std::string format_utc_time(double unix_seconds);

}  // namespace rookproxy::ctl
