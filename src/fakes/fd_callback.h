/// A registration of a descriptor with an event loop that calls a function.
#pragma once

#include <functional>
#include <utility>

#include "net/event_loop.h"
#include "net/slot_map.h"

namespace rookproxy::test {

/// Calls `action` on the loop's thread whenever the descriptor is ready, until it is stopped or destroyed.
class FdCallback final : public EventHandler {
 public:
  /// Both the loop and the descriptor live longer than the registration, or stop() comes first.
  FdCallback(EventLoop& loop, int fd, std::function<void()> action)
      : loop_(loop), fd_(fd), action_(std::move(action)), key_(loop.watch(fd, *this)) {}
  ~FdCallback() { stop(); }
  FdCallback(const FdCallback&) = delete;
  FdCallback& operator=(const FdCallback&) = delete;

  void on_ready(std::uint32_t) override { action_(); }

  /// Ends the registration; call it before the descriptor is closed. Inside of `action` the object itself has
  /// to live on until the call returns.
  void stop() { loop_.unwatch(std::exchange(key_, 0), fd_); }

  /// Has the action called again in the loop's next iteration.
  void requeue(std::uint32_t events) { loop_.requeue(key_, events); }

 private:
  EventLoop& loop_;
  int fd_;
  std::function<void()> action_;
  SlotKey key_;
};

}  // namespace rookproxy::test
