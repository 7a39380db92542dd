#include "net/loop.h"

#include <sys/epoll.h>

#include <algorithm>
#include <cerrno>
#include <system_error>

#include "net/clock.h"

namespace rookproxy {

EventLoop::EventLoop() : epoll_(::epoll_create1(EPOLL_CLOEXEC)), now_(monotonic_now()) {
  if (!epoll_) throw std::system_error(errno, std::generic_category(), "epoll_create1");
}

SlotKey EventLoop::watch(int fd, EventHandler& watcher) {
  const SlotKey key = handlers_.insert(&watcher);
  epoll_event event{};
  event.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP | EPOLLET;
  event.data.u64 = key;
  if (::epoll_ctl(epoll_.get(), EPOLL_CTL_ADD, fd, &event) == 0) return key;
  handlers_.take(key);
  return 0;
}

void EventLoop::unwatch(SlotKey key, int fd) {
  if (!handlers_.take(key)) return;
  ::epoll_ctl(epoll_.get(), EPOLL_CTL_DEL, fd, nullptr);
}

void EventLoop::requeue(SlotKey key, std::uint32_t events) { requeued_.emplace_back(key, events); }

TimerId EventLoop::run_at(Time when, Task task) {
  const TimerId key{when, next_timer_sequence_++};
  timers_.emplace(key, std::move(task));
  return key;
}

void EventLoop::cancel(TimerId& key) {
  if (key.second != 0) timers_.erase(key);
  key = {};
}

void EventLoop::run() {
  while (!stopped_) run_iteration(true);
  stopped_ = false;  // it may be run again
}

bool EventLoop::run_due_timers() {
  // Only those due at the turn's time and set before this turn's timers began: one set meanwhile at a time
  // already past (a wake the module asks for at once, say) waits for the next turn, which waits for nothing.
  // Else a timer that sets itself again holds the turn, with its clock, for ever.
  std::vector<TimerId> due;
  for (auto at = timers_.begin(); at != timers_.end() && at->first.first <= now_; ++at)
    due.push_back(at->first);
  for (const TimerId& key : due) {
    auto node = timers_.extract(key);
    if (!node.empty()) node.mapped()();  // empty: cancelled by one before it
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

bool EventLoop::run_iteration(bool may_wait) {
  int wait_ms = -1;
  if (!may_wait || !requeued_.empty()) {
    wait_ms = 0;
  } else if (!timers_.empty()) {
    const Time now = monotonic_now();
    if (now - now_ >= stall_threshold_) on_stalled_iteration_(now - now_);
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(timers_.begin()->first.first - now);
    wait_ms = static_cast<int>(std::clamp<std::int64_t>(left.count(), 0, 60'000));
  }
  epoll_event events[128];
  const int count = ::epoll_wait(epoll_.get(), events, std::size(events), wait_ms);
  if (count < 0 && errno != EINTR) throw std::system_error(errno, std::generic_category(), "epoll_wait");
  now_ = monotonic_now();
  std::vector<std::pair<SlotKey, std::uint32_t>> ready;
  for (int i = 0; i < count; ++i) {
    const epoll_event event = events[i];  // the kernel packs it: no references into it
    ready.emplace_back(SlotKey(event.data.u64), std::uint32_t(event.events));
  }
  // Who used up a share comes last: a listener with a crowd before it must not push out those it has just let
  // in before what they sent is read.
  ready.insert(ready.end(), requeued_.begin(), requeued_.end());
  requeued_.clear();
  idle_ = count >= 0 && ready.empty();  // one cut short by a signal has not looked
  for (const auto& [key, what] : ready) {
    // Found anew for each event: one before it in this turn may have closed this one and reused its slot.
    if (EventHandler** watcher = handlers_.find(key)) (*watcher)->on_ready(what);
  }
  const bool fired = run_due_timers();
  run_deferred();
  if (on_iteration_end_) on_iteration_end_();
  run_deferred();
  return fired || !ready.empty();
}

}  // namespace rookproxy
