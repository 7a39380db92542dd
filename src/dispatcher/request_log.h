/// Logs what becomes of requests that do not go the usual way.
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

/// Writes one line for each request that is not served, for each attempt that ends without a response and for
/// each attempt at an engine that drains, up to a number of lines a second. Every line has the client's id of
/// the request. The logger must outlive it.
class RequestLog {
 public:
  explicit RequestLog(Logger& log) : log_(log) {}

  /// The first byte of an attempt leaves for an engine that drains; attempts may start for `remaining` more.
  void attempt_starts_at_draining_engine(const Request& request, std::uint32_t number,
                                         std::string_view engine, Duration remaining, Time now);
  /// An attempt must not start; it never ran.
  void attempt_blocked(const Request& request, std::string_view engine, policy::BlockReason reason, Time now);
  /// An attempt ended with `outcome`; nothing is written if it was served.
  void attempt_ended(const Request& request, std::uint32_t number, std::string_view engine,
                     routing::Outcome outcome, Time now);
  /// A request is answered with `response`; nothing is written if it was served.
  void request_completed(const Request& request, std::string_view class_name, const Response& response,
                         Time now);

 private:
  // Of the 200 lines that the logger writes in a second.
  static constexpr int kLinesPerSecond = 40;

  // Whether one more line may be written.
  [[nodiscard]] bool take_line(Time now);

  Logger& log_;
  LogRateLimiter budget_{kLinesPerSecond};
};

}  // namespace rookproxy
