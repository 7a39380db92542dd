// Registers a file descriptor with an event loop and calls a function when it is ready.
#pragma once

#include <functional>
#include <utility>

#include "net/event_loop.h"
#include "net/slot_map.h"

namespace rookproxy::test {

// Calls `action` on the loop's thread whenever the descriptor is ready, until stopped or destroyed.
class FdCallback final : public EventHandler {
 public:
  // The loop and the descriptor must outlive the registration, unless stop() is called first.
  FdCallback(EventLoop& loop, int fd, std::function<void()> action)
      : loop_(loop), fd_(fd), action_(std::move(action)), key_(loop.watch(fd, *this)) {}
  ~FdCallback() { stop(); }
  FdCallback(const FdCallback&) = delete;
  FdCallback& operator=(const FdCallback&) = delete;

  void on_ready(std::uint32_t) override { action_(); }

  // Ends the registration. Must be called before the descriptor is closed. If `action` calls it, the object
  // must exist until `action` returns.
  void stop() { loop_.unwatch(std::exchange(key_, 0), fd_); }

  // Schedules another call of the action for the loop's next iteration.
  void requeue(std::uint32_t events) { loop_.requeue(key_, events); }

 private:
  EventLoop& loop_;
  int fd_;
  std::function<void()> action_;
  SlotKey key_;
};

}  // namespace rookproxy::test
