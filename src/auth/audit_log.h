// Records denied requests in the log and the metrics.
#pragma once

#include <cstdint>
#include <string_view>

#include "dispatcher/metrics.h"
#include "log/log.h"
#include "net/event_loop.h"
#include "policy/denial.h"
#include "policy/identity.h"

namespace rookproxy::auth {

// Where a denied request came from.
struct AuditContext {
  std::string_view frontend;
  // The id of the request; empty if it has none.
  std::string_view request;
};

// One denial to be recorded.
struct AuditRecord {
  policy::Denial denial = policy::Denial::kNone;
  const policy::Identity& identity;
  // Empty if no request class is involved.
  std::string_view class_name;
  AuditContext context;
  // Additional information, such as the schema that was denied.
  std::string_view detail;
};

// Counts every denial and logs up to a number of them per second, so that a flood of denials does not
// suppress other messages. Used only on the loop's thread; loop, logger and metrics must outlive it.
class AuditLog {
 public:
  AuditLog(EventLoop& loop, Logger& logger, AuthMetrics& metrics)
      : loop_(loop), logger_(logger), metrics_(metrics) {}

  void record(const AuditRecord& record);

 private:
  [[nodiscard]] bool may_write_line();

  EventLoop& loop_;
  Logger& logger_;
  AuthMetrics& metrics_;
  Time window_start_{};
  int lines_in_window_ = 0;
  std::uint64_t suppressed_lines_ = 0;
};

}  // namespace rookproxy::auth
