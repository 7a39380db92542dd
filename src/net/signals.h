// Signals as events of the loop.
#pragma once

#include <functional>
#include <initializer_list>

#include "net/loop.h"

namespace rookproxy {

// From here on these signals wait until somebody takes them, and SIGPIPE is ignored. A program's first act:
// one that comes while it starts must neither kill it nor be lost.
void block_signals(std::initializer_list<int> signals);

class SignalWatcher final : private EventHandler {
 public:
  // Blocks these signals and hands them to `taken` from the loop, also those that have waited.
  SignalWatcher(EventLoop& loop, std::initializer_list<int> signals, std::function<void(int)> taken);
  ~SignalWatcher();

 private:
  void on_ready(std::uint32_t events) override;
  EventLoop& loop_;
  FileDescriptor fd_;
  SlotKey key_ = 0;
  std::function<void(int)> on_signal_;
};

}  // namespace rookproxy
