// Decides whether an attempt may be sent to an engine, until when its first byte may be sent, and whether its
// request may still be rejected.
//
// The decision is made when an attempt is scheduled and again right before its first byte is passed to the
// kernel, since conditions may change while a connection is being established.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "base/time.h"

namespace rookproxy::policy {

// Where a request that may have run can be sent again, from the widest scope to the narrowest.
enum class RetryScope { kAnywhere, kZone, kCell, kNowhere };

// The retry settings of a request class.
struct RetryRule {
  RetryScope scope = RetryScope::kNowhere;
  // How long after the first attempt that may have run a further one may start; absent: unlimited.
  std::optional<Duration> idempotency_window;
  // Whether two attempts of one request may be in flight at the same time.
  bool hedging_allowed = false;
};

// The location of an engine. The zone's text must outlive this object.
struct EngineLocation {
  std::string_view zone;
  std::uint32_t cell = 0;
  bool operator==(const EngineLocation&) const = default;
};

// Another attempt of the request for which an attempt is checked.
struct SentAttempt {
  // When it was scheduled. Its first byte was sent no earlier, so a window counted from this time never ends
  // too late.
  Time sent_at;
  EngineLocation location;
  bool in_flight = false;
  bool may_have_run = false;
};

// Why an attempt must not start.
enum class BlockReason {
  kRequestCompleted,      // The request has been answered.
  kUnknownEngine,         // No engine with that id was ever listed.
  kTooManyAttempts,       // The class allows no further attempt.
  kAttemptInFlight,       // Another attempt is in flight, and hedging is not allowed.
  kMayHaveRun,            // An earlier attempt may have run, and the request must not run twice.
  kMayHaveRunElsewhere,   // An earlier attempt may have run on an engine outside the retry scope.
  kDeadlineExceeded,      // The client's deadline has passed.
  kEngineDraining,        // The drain grace period of the engine is over.
  kEngineRemoved,         // The engine is no longer listed.
  kIdempotencyWindowOver  // Engines may no longer know the idempotency key of the earlier attempt.
};

inline constexpr std::size_t kBlockReasonCount = 10;

// The reason as it is written to the log.
[[nodiscard]] std::string_view to_text(BlockReason reason);
// The reason as one word, for the names of metrics.
[[nodiscard]] std::string_view to_metric_word(BlockReason reason);

// Combines the limits on one attempt: its deadline, the time at which its engine stops taking attempts, and
// the other attempts of its request.
class AttemptGuard {
 public:
  // `engine_accepts_until`: when the engine stops taking attempts; Time::max() while it serves, Time::min()
  // once it is removed.
  AttemptGuard(const RetryRule& rule, EngineLocation location, Time deadline, Time engine_accepts_until);

  // Adds another attempt of the same request, whether it was sent before or after this one.
  void add_other_attempt(const SentAttempt& other);

  // Why the attempt must not start at `now`; nothing if it may.
  [[nodiscard]] std::optional<BlockReason> blocked_reason(Time now) const;

  // The time from which the attempt must not start.
  [[nodiscard]] Time latest_start() const { return latest_start_; }

 private:
  void limit_start(Time end, BlockReason reason);

  RetryRule retry_rule_;
  EngineLocation location_;
  Time latest_start_ = Time::max();
  // Why the attempt must not start from `latest_start_` on.
  std::optional<BlockReason> limit_reason_;
  // Why the attempt must not start at any time.
  std::optional<BlockReason> conflict_reason_;
};

// Whether a request may be rejected, which tells its client that it may safely send the request again. A
// request that may have run may be rejected only if its class allows retries on every engine.
[[nodiscard]] inline bool may_reject(const RetryRule& rule, bool may_have_run) {
  return !may_have_run || rule.scope == RetryScope::kAnywhere;
}

}  // namespace rookproxy::policy
