#include "frontend/turn_scheduler.h"

#include <utility>

namespace rookproxy {
namespace {

// A command that has waited for this part of the time until its deadline is rejected.
constexpr int kMaxWaitDivisor = 2;

}  // namespace

TurnScheduler::WaitId TurnScheduler::wait(Time deadline, Callback callback) {
  const Time now = loop_.now();
  const WaitId id = turns_.add(now + (deadline - now) / kMaxWaitDivisor);
  callbacks_.emplace(id, std::move(callback));
  schedule_next_decision();
  return id;
}

void TurnScheduler::cancel(WaitId id) {
  turns_.remove(id);
  callbacks_.erase(id);
}

void TurnScheduler::end_turn(Time started) {
  turns_.end_turn(started, monotonic_now());
  schedule_next_decision();
}

void TurnScheduler::schedule_next_decision() {
  loop_.cancel(timer_);
  if (turns_.is_empty()) return;
  timer_ = loop_.run_at(turns_.next_action_at(), [this] {
    timer_ = {};
    decide();
  });
}

// Gives turns until a pause is due: `now` stays the same while each turn moves the next one.
void TurnScheduler::decide() {
  const Time now = loop_.now();
  for (const WaitId id : turns_.take_overdue(now)) complete_wait(id, TurnDecision::kRefused);
  while (const auto id = turns_.take_next(now)) complete_wait(*id, TurnDecision::kGranted);
  schedule_next_decision();
}

// The wait of an overdue command may have been cancelled by the callback of another one.
void TurnScheduler::complete_wait(WaitId id, TurnDecision decision) {
  auto callback = callbacks_.extract(id);
  if (!callback.empty()) callback.mapped()(decision);
}

}  // namespace rookproxy
