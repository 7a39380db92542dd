#include "auth/audit_log.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

namespace rookproxy::auth {
namespace {

// Half of the limit of the logger, so that denials leave room for other messages.
constexpr int kMaxLinesPerSecond = 100;
constexpr Duration kWindow = std::chrono::seconds(1);
// Clients choose some of the values, and statements may name schemas that are megabytes long.
constexpr std::size_t kMaxValueBytes = 256;

// Returns the start of the text, without a part of a UTF-8 character at its end.
std::string excerpt(std::string_view text) {
  if (text.size() <= kMaxValueBytes) return std::string(text);
  std::size_t size = kMaxValueBytes;
  while (size > 0 && (static_cast<unsigned char>(text[size]) & 0xc0) == 0x80) --size;
  return std::string(text.substr(0, size));
}

}  // namespace

void AuditLog::record(const AuditRecord& record) {
  const std::string code(policy::reason_code(record.denial));
  ++metrics_.denied_by_code[code];
  if (!may_write_line()) return;
  logger_.write(LogLevel::kNotice, "access", policy::reason_message(record.denial),
                {{"denied", code},
                 {"subject", excerpt(record.identity.subject)},
                 {"tenant", excerpt(record.identity.tenant)},
                 {"credential", excerpt(record.identity.credential_id)},
                 {"front", std::string(record.context.frontend)},
                 {"class", excerpt(record.class_name)},
                 {"request", excerpt(record.context.request)},
                 {"detail", excerpt(record.detail)}});
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
