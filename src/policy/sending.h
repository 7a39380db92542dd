// Whether an attempt may go to an engine, until when its first byte may leave for it, and whether its request
// may still be refused. Decides from what may be repeated, the request's other attempts, its deadline and the
// engine's end. Asked when an attempt is ordered and once more as its first byte is handed to the kernel: a
// connection may take long to come up, and what was right when it was ordered need not be so any more.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "base/time.h"

namespace rookproxy::policy {

// Where a request that may have run may go once more, from wide to narrow.
enum class RetryScope { kAnywhere, kZone, kCell, kNowhere };

struct RetryRule {
  RetryScope scope = RetryScope::kNowhere;
  std::optional<Duration> idempotency_window;  // from the send of what may have run; absent: at any time
  bool hedging_allowed = false;                // may two attempts be out at once?
};

struct EngineLocation {
  std::string_view zone;
  std::uint32_t cell = 0;
  bool operator==(const EngineLocation&) const = default;
};

struct SentAttempt {
  Time sent_at;  // ordered: no later than its first byte, so a window that counts from it ends no later
  EngineLocation location;
  bool in_flight = false, may_have_run = false;
};

class AttemptGuard {
 public:
  // `engine_until`: when the engine's grace ends; Time::max() while it serves, Time::min() once it is gone.
  AttemptGuard(const RetryRule& rule, EngineLocation to, Time deadline, Time engine_until);
  // Another attempt of the same request, sent before or after.
  void add_other_attempt(const SentAttempt& other);
  // Why no byte may leave at `now`; empty: it may.
  std::string_view blocked_reason(Time now) const;
  // From then on it may never begin.
  Time latest_start() const { return latest_start_; }

 private:
  void limit_start(Time end, std::string_view why);
  RetryRule retry_rule_;
  EngineLocation location_;
  Time latest_start_ = Time::max();
  std::string_view limit_reason_, conflict_reason_;
};

// What may have run is refused only where a repeat does no harm on any engine, whatever the time.
inline bool may_reject(const RetryRule& rule, bool may_have_run) {
  return !may_have_run || rule.scope == RetryScope::kAnywhere;
}

}  // namespace rookproxy::policy
