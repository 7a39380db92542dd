#include "dispatcher/request_table.h"

#include <algorithm>
#include <utility>

namespace rookproxy {
namespace {

bool never_ran(Outcome outcome) {
  return outcome == Outcome::kRejected || outcome == Outcome::kConnectFailed || outcome == Outcome::kNotSent;
}

}  // namespace

bool Request::may_have_run() const {
  return std::any_of(attempts.begin(), attempts.end(),
                     [](const Attempt& attempt) { return attempt.may_have_run; });
}

RequestKey RequestTable::add(Request request) {
  ++unanswered_;
  return requests_.insert(std::move(request));
}

Attempt* RequestTable::find_attempt(AttemptKey key) {
  Request* request = requests_.find(key.request);
  if (!request || key.number >= request->attempts.size()) return nullptr;
  return &request->attempts[key.number];
}

void RequestTable::complete(Request& request) {
  request.is_completed = true;
  --unanswered_;
}

void RequestTable::end_attempt(Request& request, Attempt& attempt, Outcome outcome) {
  attempt.in_flight = false;
  attempt.may_have_run = !never_ran(outcome);
  --request.attempts_in_flight;
}

std::optional<Request> RequestTable::release_if_done(RequestKey key) {
  const Request* request = requests_.find(key);
  if (!request || !request->is_completed || request->attempts_in_flight > 0) return std::nullopt;
  return requests_.take(key);
}

}  // namespace rookproxy
