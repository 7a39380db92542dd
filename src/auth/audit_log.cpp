#include "auth/audit_log.h"

#include <string>
#include <utility>

namespace rookproxy::auth {
namespace {

// Half of the limit of the logger, so that denials leave room for other messages.
constexpr int kMaxLinesPerSecond = 100;
constexpr Duration kWindow = std::chrono::seconds(1);

}  // namespace

void AuditLog::record(const AuditRecord& record) {
  const std::string code(policy::reason_code(record.denial));
  ++metrics_.denied_by_code[code];
  if (!may_write_line()) return;
  logger_.write(LogLevel::kNotice, "access", policy::reason_message(record.denial),
                {{"denied", code},
                 {"subject", record.identity.subject},
                 {"tenant", record.identity.tenant},
                 {"credential", record.identity.credential_id},
                 {"front", std::string(record.context.frontend)},
                 {"class", std::string(record.class_name)},
                 {"request", std::string(record.context.request)},
                 {"detail", std::string(record.detail)}});
}

bool AuditLog::may_write_line() {
  if (loop_.now() - window_start_ >= kWindow) {
    window_start_ = loop_.now();
    lines_in_window_ = 0;
    if (const auto suppressed = std::exchange(suppressed_lines_, 0); suppressed > 0) {
      logger_.write(LogLevel::kWarning, "access", "denial messages suppressed by the rate limit",
                    {{"count", std::to_string(suppressed)}});
    }
  }
  if (++lines_in_window_ <= kMaxLinesPerSecond) return true;
  ++suppressed_lines_;
  return false;
}

}  // namespace rookproxy::auth
