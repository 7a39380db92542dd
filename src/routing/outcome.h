// Classification of attempt outcomes.
#pragma once

#include "rookproxy/routing/router.h"

namespace rookproxy::routing {

// Returns whether the outcome proves that the attempt never ran.
[[nodiscard]] constexpr bool never_ran(Outcome outcome) {
  return outcome == Outcome::kRejected || outcome == Outcome::kConnectFailed || outcome == Outcome::kNotSent;
}

// Returns whether an attempt with this outcome may still be running on its engine.
[[nodiscard]] constexpr bool may_still_run(Outcome outcome) {
  return outcome == Outcome::kNoResponse || outcome == Outcome::kConnectionLost ||
         outcome == Outcome::kCancelled;
}

// Returns whether the outcome is a failure of the engine or the connection, other than an error response.
[[nodiscard]] constexpr bool is_engine_failure(Outcome outcome) {
  return outcome == Outcome::kRejected || outcome == Outcome::kConnectFailed ||
         outcome == Outcome::kConnectionLost;
}

}  // namespace rookproxy::routing
