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
  std::string_view request;  // its id; empty if it has none
};

// One record of the audit.
struct AuditRecord {
  policy::Denial denial = policy::Denial::kNone;
  const policy::Identity& identity;
  std::string_view class_name;  // empty if no request class is concerned
  AuditContext context;
  std::string_view detail;  // as the schema that was denied
};

// Every denial is counted; log lines are limited per second, so that a flood can't push other lines out of
// the log. Used on the loop's thread alone; loop, logger and metrics must outlive it.
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
