// What the outcome of an attempt says of it.
#pragma once

#include "rookproxy/routing/router.h"

namespace rookproxy::routing {

// Whether an attempt that ended so has certainly done nothing.
[[nodiscard]] constexpr bool never_ran(Outcome outcome) {
  return outcome == Outcome::kRejected || outcome == Outcome::kConnectFailed || outcome == Outcome::kNotSent;
}

// Whether an attempt that ended so may still be running on its engine.
[[nodiscard]] constexpr bool may_still_run(Outcome outcome) {
  return outcome == Outcome::kNoResponse || outcome == Outcome::kConnectionLost ||
         outcome == Outcome::kCancelled;
}

// Whether the outcome is a failure of the engine or of the way to it, other than a response with an error.
[[nodiscard]] constexpr bool is_engine_failure(Outcome outcome) {
  return outcome == Outcome::kRejected || outcome == Outcome::kConnectFailed ||
         outcome == Outcome::kConnectionLost;
}

}  // namespace rookproxy::routing
