// Tests whether and until when an attempt may start, and whether its request may be rejected.
#include "policy/attempt_guard.h"

#include <catch2/catch.hpp>
#include <vector>

namespace rookproxy::policy {
namespace {

using namespace std::chrono_literals;

constexpr Time kNow(100s);
constexpr Time kFarDeadline(1000s);
constexpr EngineLocation kLocation{"z0", 1};
constexpr EngineLocation kOtherCell{"z0", 2};
constexpr EngineLocation kOtherZone{"z1", 1};

SentAttempt may_have_run(EngineLocation location, Duration ago = 1s) {
  return {kNow - ago, location, false, true};
}

const SentAttempt kNeverRan{kNow - 9s, kOtherZone, false, false};
const SentAttempt kInFlight{kNow - 1s, kLocation, true, true};

struct Row {
  RetryRule rule;
  std::vector<SentAttempt> others;
  std::optional<BlockReason> expected_reason;
  Time latest_start = kFarDeadline;
  Time deadline = kFarDeadline;
  Time engine_accepts_until = Time::max();
};

TEST_CASE("attempt guard: the retry rule, other attempts, deadline and engine limit starts and rejections") {
  constexpr auto kAnywhere = RetryScope::kAnywhere;
  constexpr auto kZone = RetryScope::kZone;
  constexpr auto kCell = RetryScope::kCell;
  constexpr auto kNowhere = RetryScope::kNowhere;
  constexpr auto kOutsideScope = BlockReason::kMayHaveRunElsewhere;
  constexpr auto kWindowOver = BlockReason::kIdempotencyWindowOver;
  const std::vector<Row> rows{
      {{kAnywhere, {}, false}, {}, {}},
      {{kAnywhere, {}, false}, {may_have_run(kOtherZone)}, {}},
      {{kAnywhere, {}, false}, {kInFlight}, BlockReason::kAttemptInFlight},
      {{kAnywhere, {}, true}, {kInFlight}, {}},
      {{kNowhere, {}, true}, {kInFlight}, BlockReason::kMayHaveRun},
      {{kNowhere, {}, false}, {may_have_run(kLocation)}, BlockReason::kMayHaveRun},
      {{kNowhere, {}, false}, {kNeverRan, kNeverRan}, {}},
      {{kZone, 5s, false}, {may_have_run(kOtherCell)}, {}, kNow + 4s},
      {{kZone, 5s, false}, {may_have_run(kOtherZone)}, kOutsideScope, kNow + 4s},
      {{kCell, 5s, false}, {may_have_run(kLocation)}, {}, kNow + 4s},
      {{kCell, 5s, false}, {may_have_run(kOtherCell)}, kOutsideScope, kNow + 4s},
      // An attempt that never ran starts no idempotency window. If several may have run, the window starts
      // with the first of them.
      {{kCell, 5s, false}, {kNeverRan, may_have_run(kLocation)}, {}, kNow + 4s},
      {{kCell, 5s, false}, {may_have_run(kLocation, 4s), may_have_run(kLocation)}, {}, kNow + 1s},
      {{kCell, 1s, false}, {may_have_run(kLocation)}, kWindowOver, kNow},
      {{kAnywhere, 1s, false}, {may_have_run(kOtherZone)}, kWindowOver, kNow},
      {{kCell, 5s, false}, {may_have_run(kLocation)}, {}, kNow + 2s, kNow + 2s},
      {{kCell, 5s, false}, {may_have_run(kLocation)}, {}, kNow + 3s, kFarDeadline, kNow + 3s},
      {{kAnywhere, {}, false}, {}, BlockReason::kDeadlineExceeded, kNow, kNow},
      {{kAnywhere, {}, false}, {}, BlockReason::kEngineDraining, kNow, kFarDeadline, kNow},
      {{kAnywhere, {}, false}, {}, BlockReason::kEngineRemoved, Time::min(), kFarDeadline, Time::min()},
  };
  for (std::size_t i = 0; i < rows.size(); ++i) {
    INFO("row " << i);
    const Row& row = rows[i];
    AttemptGuard guard(row.rule, kLocation, row.deadline, row.engine_accepts_until);
    for (const auto& other : row.others) guard.add_other_attempt(other);
    CHECK(guard.blocked_reason(kNow) == row.expected_reason);
    CHECK(guard.latest_start() == row.latest_start);
  }
  for (const auto scope : {kAnywhere, kZone, kCell, kNowhere}) {
    CHECK(may_reject({scope, 5s, false}, false));
    CHECK(may_reject({scope, 5s, false}, true) == (scope == kAnywhere));
  }
  // Operators search the log for these texts.
  CHECK(to_text(BlockReason::kAttemptInFlight) == "another attempt is in flight");
  CHECK(to_text(BlockReason::kMayHaveRun) == "an earlier attempt may have run");
  CHECK(to_text(BlockReason::kMayHaveRunElsewhere) ==
        "an earlier attempt may have run outside the retry scope of this engine");
  CHECK(to_text(BlockReason::kIdempotencyWindowOver) == "idempotency window is over");
  CHECK(to_text(BlockReason::kDeadlineExceeded) == "deadline exceeded");
  CHECK(to_text(BlockReason::kEngineDraining) == "drain grace period of the engine is over");
  CHECK(to_text(BlockReason::kEngineRemoved) == "engine was removed");
}

}  // namespace
}  // namespace rookproxy::policy
