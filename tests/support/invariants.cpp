#include "support/invariants.h"

#include <algorithm>

#include "frontend/frame_codec.h"

namespace rookproxy::test {
namespace {

using namespace std::chrono_literals;

// An attempt that starts later than this after its client has disconnected is a violation.
constexpr Duration kAttemptAfterDisconnectLimit = 100ms;

}  // namespace

void InvariantChecker::check(Violations& violations) const {
  for (const ClusterRequest& request : history_.requests) {
    std::vector<const ObservedAttempt*> attempts;
    for (const ObservedAttempt& attempt : history_.attempts) {
      if (attempt.id == request.call_id) attempts.push_back(&attempt);
    }
    check_response_count(request, violations);
    if (attempts.size() > options_.max_attempts) violations.insert("too many attempts");
    for (std::size_t index = 0; index < attempts.size(); ++index) {
      check_attempt(request, *attempts[index], violations);
      for (std::size_t earlier = 0; earlier < index; ++earlier) {
        check_repeated_attempt(request, *attempts[earlier], *attempts[index], violations);
      }
    }
    check_responses(request, attempts, violations);
  }
  violations.insert(history_.protocol_violations.begin(), history_.protocol_violations.end());
}

void InvariantChecker::check_response_count(const ClusterRequest& request, Violations& violations) const {
  const bool is_owed = request.sent_at && !request.client_disconnected_at;
  if (is_owed && request.responses.empty()) violations.insert("no response");
  if (request.responses.size() > 1) violations.insert("a second response");
  if (!request.sent_at && !request.responses.empty()) violations.insert("a response to half a request");
}

void InvariantChecker::check_attempt(const ClusterRequest& request, const ObservedAttempt& attempt,
                                     Violations& violations) const {
  const auto& disconnected_at = request.client_disconnected_at;
  if (!request.sent_at) violations.insert("an attempt of half a request");
  if (disconnected_at && attempt.started_at > *disconnected_at + kAttemptAfterDisconnectLimit) {
    violations.insert("an attempt after its client disconnected");
  }
  if (request.sent_at && attempt.started_at > *request.sent_at + request.time_to_live) {
    violations.insert("an attempt after the deadline");
  }
  const auto drain = history_.drain_started_at.find(attempt.engine);
  if (request.may_lie_unread || drain == history_.drain_started_at.end()) return;
  if (attempt.started_at > drain->second + options_.drain_grace_period) {
    violations.insert("an attempt after the drain's grace period");
  }
}

void InvariantChecker::check_repeated_attempt(const ClusterRequest& request, const ObservedAttempt& earlier,
                                              const ObservedAttempt& later, Violations& violations) const {
  if (earlier.proven_not_run_at && *earlier.proven_not_run_at <= later.started_at) return;
  if (request.class_name == kNonIdempotentClass) {
    violations.insert("non-idempotent, and an earlier attempt may have run");
  }
  if (request.class_name == kNonIdempotentClass || request.class_name == "safe") return;
  if (later.started_at > earlier.started_at + options_.idempotency_window) {
    violations.insert("keyed, and its window is over");
  }
  const bool leaves_zone =
      request.class_name == "zone" && zone_of_engine(later.engine) != zone_of_engine(earlier.engine);
  const bool leaves_cell =
      request.class_name == "cell" && cell_of_engine(later.engine) != cell_of_engine(earlier.engine);
  if (leaves_zone || leaves_cell) violations.insert("keyed, and outside its scope");
}

void InvariantChecker::check_responses(const ClusterRequest& request,
                                       const std::vector<const ObservedAttempt*>& attempts,
                                       Violations& violations) const {
  const bool may_have_run = std::any_of(attempts.begin(), attempts.end(), [](const ObservedAttempt* attempt) {
    return !attempt->proven_not_run_at;
  });
  const auto produced = history_.produced_bodies.find(request.call_id);
  for (const auto& [code, body] : request.responses) {
    const bool is_produced = produced != history_.produced_bodies.end() && produced->second.contains(body);
    if (code == frames::kServed && !is_produced) violations.insert("served what no engine produced");
    if (code == frames::kRejected && request.class_name == kNonIdempotentClass && may_have_run) {
      violations.insert("rejected, and it may have run");
    }
  }
}

}  // namespace rookproxy::test
