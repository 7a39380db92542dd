#include "net/event_loop.h"

#include <sys/epoll.h>

#include <algorithm>
#include <cerrno>
#include <system_error>
#include <utility>

#include "net/clock.h"

namespace rookproxy {
namespace {

constexpr int kEventsPerWait = 128;
constexpr std::int64_t kLongestWaitMilliseconds = 60'000;
constexpr int kWaitForever = -1;

}  // namespace

EventLoop::EventLoop() : epoll_(::epoll_create1(EPOLL_CLOEXEC)), now_(monotonic_now()) {
  if (!epoll_) throw std::system_error(errno, std::generic_category(), "epoll_create1");
}

SlotKey EventLoop::watch(int descriptor, EventHandler& handler) {
  const SlotKey key = handlers_.insert(&handler);
  epoll_event event{};
  event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  event.data.u64 = key;
  if (::epoll_ctl(epoll_.get(), EPOLL_CTL_ADD, descriptor, &event) == 0) return key;
  handlers_.take(key);
  return 0;
}

void EventLoop::unwatch(SlotKey key, int descriptor) {
  if (!handlers_.take(key)) return;
  input_schedule_.remove(key);
  ::epoll_ctl(epoll_.get(), EPOLL_CTL_DEL, descriptor, nullptr);
}

void EventLoop::requeue(SlotKey key, std::uint32_t events) { requeued_.push_back({key, events}); }

TimerId EventLoop::run_at(Time due, Task task) {
  const TimerId id{due, next_timer_sequence_++};
  timers_.emplace(id, std::move(task));
  return id;
}

void EventLoop::cancel(TimerId& id) {
  if (id.is_set()) timers_.erase(id);
  id = {};
}

void EventLoop::run() {
  while (!stopped_) run_iteration(true);
  stopped_ = false;  // run() may be called again.
}

bool EventLoop::run_due_timers() {
  // Runs only timers that were set before this function was called. A timer that is set meanwhile for a time
  // in the past runs in the next iteration, which does not wait for events. Otherwise a timer that sets
  // itself again would keep this iteration running forever, with its clock stopped.
  std::vector<TimerId> due;
  for (auto timer = timers_.begin(); timer != timers_.end() && timer->first.due <= now_; ++timer) {
    due.push_back(timer->first);
  }
  for (const TimerId& id : due) {
    auto node = timers_.extract(id);
    if (!node.empty()) node.mapped()();  // The node is empty if an earlier timer cancelled this one.
  }
  return !due.empty();
}

void EventLoop::run_deferred() {
  while (!deferred_.empty()) {
    std::vector<Task> tasks;
    tasks.swap(deferred_);
    for (auto& task : tasks) task();
  }
}

void EventLoop::report_stall(Time now) {
  if (now - now_ >= stall_threshold_) on_stalled_iteration_(now - now_);
}

// Returns how long to wait for events: not at all, until the first timer is due, or without limit.
int EventLoop::wait_milliseconds(bool may_wait) {
  const Time now = monotonic_now();
  report_stall(now);
  if (!may_wait || !requeued_.empty() || input_schedule_.has_waiting()) return 0;
  if (timers_.empty()) return kWaitForever;
  const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(timers_.begin()->first.due - now);
  return static_cast<int>(std::clamp<std::int64_t>(remaining.count(), 0, kLongestWaitMilliseconds));
}

// Returns the kernel's events, followed by the requeued ones, so that the data of accepted connections is
// read before a requeued listener accepts more.
std::vector<EventLoop::ReadyEvent> EventLoop::wait_for_events(int timeout_milliseconds) {
  epoll_event events[kEventsPerWait];
  const int count = ::epoll_wait(epoll_.get(), events, kEventsPerWait, timeout_milliseconds);
  if (count < 0 && errno != EINTR) throw std::system_error(errno, std::generic_category(), "epoll_wait");
  now_ = monotonic_now();
  std::vector<ReadyEvent> ready;
  for (int i = 0; i < count; ++i) {
    // The struct is packed, so it is copied instead of referenced.
    const epoll_event event = events[i];
    ready.push_back({event.data.u64, event.events});
  }
  ready.insert(ready.end(), requeued_.begin(), requeued_.end());
  requeued_.clear();
  // A wait that a signal interrupted does not show whether there are events.
  idle_ = count >= 0 && ready.empty() && !input_schedule_.has_waiting();
  return ready;
}

EventLoop::TurnLimit::TurnLimit(EventLoop& loop) : loop_(loop), previous_end_(loop.turn_ends_at_) {
  if (previous_end_ == Time::max()) loop_.turn_ends_at_ = monotonic_now() + policy::InputSchedule::kMaxTurn;
}

EventLoop::TurnLimit::~TurnLimit() { loop_.turn_ends_at_ = previous_end_; }

bool EventLoop::is_turn_over() const {
  return turn_ends_at_ != Time::max() && monotonic_now() >= turn_ends_at_;
}

// Gives turns until no input waits or the iteration's time for them is used up.
void EventLoop::run_input_turns() {
  if (!input_schedule_.has_waiting()) return;
  input_schedule_.begin_iteration();
  Time started = monotonic_now();
  while (const auto key = input_schedule_.begin_turn()) {
    turn_ends_at_ = started + policy::InputSchedule::kMaxTurn;
    if (EventHandler** handler = handlers_.find(*key)) (*handler)->on_input_turn();
    turn_ends_at_ = Time::max();
    Time ended = monotonic_now();
    if (ended - started >= policy::InputSchedule::kMaxTurn) {
      ++full_turns_;
      if (on_full_turn_) on_full_turn_();
      ended = monotonic_now();
    }
    const Duration used = ended - std::exchange(started, ended);
    input_schedule_.end_turn(used);
  }
}

bool EventLoop::run_iteration(bool may_wait) {
  const std::vector<ReadyEvent> ready = wait_for_events(wait_milliseconds(may_wait));
  for (const ReadyEvent& event : ready) {
    // The handler is looked up for each event, because an earlier event of this iteration may have closed it
    // and reused its slot.
    if (EventHandler** handler = handlers_.find(event.key)) (*handler)->on_ready(event.events);
  }
  const bool had_input = input_schedule_.has_waiting();
  run_input_turns();
  const bool timers_ran = run_due_timers();
  run_deferred();
  if (on_iteration_end_) on_iteration_end_();
  run_deferred();
  return timers_ran || had_input || !ready.empty();
}

}  // namespace rookproxy
