// Logs requests and attempts that are not served, and attempts that start on draining engines.
#pragma once

#include <cstdint>
#include <string_view>

#include "base/time.h"
#include "dispatcher/request.h"
#include "dispatcher/request_table.h"
#include "log/log.h"
#include "log/log_rate_limiter.h"
#include "policy/attempt_guard.h"

namespace rookproxy {

// Writes one line for each request that is not served, for each attempt that is blocked or not served, and
// for each attempt that starts on a draining engine, up to a limit per second. Each line has the client's id
// of the request. The logger must outlive it.
class RequestLog {
 public:
  explicit RequestLog(Logger& log) : log_(log) {}

  // To be called when an attempt starts on a draining engine; `remaining` is the rest of the time in which
  // attempts may start on it.
  void attempt_starts_at_draining_engine(const Request& request, std::uint32_t number,
                                         std::string_view engine, Duration remaining, Time now);
  // To be called when an attempt must not start.
  void attempt_blocked(const Request& request, std::string_view engine, policy::BlockReason reason, Time now);
  // To be called when an attempt has ended. Writes nothing if it was served.
  void attempt_ended(const Request& request, std::uint32_t number, std::string_view engine,
                     routing::Outcome outcome, Time now);
  // The client cancelled the request or left.
  void request_cancelled(const Request& request, Time now);
  // To be called when a request is answered. Writes nothing if it was served.
  void request_completed(const Request& request, std::string_view class_name, const Response& response,
                         Time now);

 private:
  // Leaves a part of the logger's own limit, 200 lines per second, to other log lines.
  static constexpr int kMaxLinesPerSecond = 40;

  // Whether another line may be written, which is then counted.
  [[nodiscard]] bool reserve_line(Time now);

  Logger& log_;
  LogRateLimiter rate_limiter_{kMaxLinesPerSecond};
};

}  // namespace rookproxy
