// Decides whether an attempt may be sent to an engine, until when its first byte may leave, and whether its
// request may still be rejected.
//
// The decision is made when an attempt is ordered and again right before its first byte is handed to the
// kernel: establishing a connection can take long, and what was right at first may be wrong by then.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "base/time.h"

namespace rookproxy::policy {

// Where a request that may have run can be sent again, from the widest scope to the narrowest.
enum class RetryScope { kAnywhere, kZone, kCell, kNowhere };

// What the class of a request says about sending it again.
struct RetryRule {
  RetryScope scope = RetryScope::kNowhere;
  // Counted from the time at which the attempt that may have run was sent; absent: no limit in time.
  std::optional<Duration> idempotency_window;
  // Whether two attempts of one request may be in flight at the same time.
  bool hedging_allowed = false;
};

// An engine's place. The zone's text must outlive the location.
struct EngineLocation {
  std::string_view zone;
  std::uint32_t cell = 0;
  bool operator==(const EngineLocation&) const = default;
};

// Another attempt of the request that is being decided on.
struct SentAttempt {
  // When it was ordered. Its first byte left no earlier, so a window counted from here never ends too late.
  Time sent_at;
  EngineLocation location;
  bool in_flight = false;
  bool may_have_run = false;
};

// Why an attempt must not start.
enum class BlockReason {
  kRequestCompleted,      // the request has its response
  kUnknownEngine,         // no engine of that id was ever listed
  kTooManyAttempts,       // the class allows no further attempt
  kAttemptInFlight,       // another attempt is in flight and hedging is not allowed
  kMayHaveRun,            // an earlier attempt may have run, and the request must not run twice
  kMayHaveRunElsewhere,   // an earlier attempt may have run where this engine can't recognize the repeat
  kDeadlineExceeded,      // the client's time is up
  kEngineDraining,        // the engine's drain grace period is over
  kEngineRemoved,         // the engine is no longer listed
  kIdempotencyWindowOver  // engines may have forgotten the earlier attempt's idempotency key
};

inline constexpr std::size_t kBlockReasonCount = 10;

// The reason as it is written to the log.
[[nodiscard]] std::string_view to_text(BlockReason reason);
// The reason as one word, for the names of metrics.
[[nodiscard]] std::string_view to_metric_word(BlockReason reason);

// Joins the limits on one attempt: its deadline, its engine's end and the other attempts of its request.
class AttemptGuard {
 public:
  // `engine_until`: when the engine stops taking attempts; Time::max() while it serves, Time::min() once it
  // is removed.
  AttemptGuard(const RetryRule& rule, EngineLocation location, Time deadline, Time engine_until);

  // Adds another attempt of the same request, whether it was sent before or after this one.
  void add_other_attempt(const SentAttempt& other);

  // Why no byte of the attempt may leave at `now`; nothing if it may.
  [[nodiscard]] std::optional<BlockReason> blocked_reason(Time now) const;

  // From this time on the attempt must not start.
  [[nodiscard]] Time latest_start() const { return latest_start_; }

 private:
  void limit_start(Time end, BlockReason reason);

  RetryRule retry_rule_;
  EngineLocation location_;
  Time latest_start_ = Time::max();
  std::optional<BlockReason> limit_reason_;     // why the attempt must not start from latest_start_ on
  std::optional<BlockReason> conflict_reason_;  // why it must not start at any time
};

// Whether a request may be rejected, that is, whether its client may safely send it again. One that may have
// run qualifies only if it may be repeated on every engine at any time.
[[nodiscard]] inline bool may_reject(const RetryRule& rule, bool may_have_run) {
  return !may_have_run || rule.scope == RetryScope::kAnywhere;
}

}  // namespace rookproxy::policy
