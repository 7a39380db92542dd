// Signals as events of the loop.
#pragma once

#include <functional>
#include <initializer_list>

#include "net/event_loop.h"
#include "net/file_descriptor.h"

namespace rookproxy {

// Blocks these signals until a SignalWatcher takes them, and ignores SIGPIPE. A program calls this first: a
// signal that comes while it starts must neither kill it nor be lost.
void block_signals(std::initializer_list<int> signals);

// Hands signals to a callback on the loop's thread.
class SignalWatcher final : private EventHandler {
 public:
  // Blocks these signals and passes them to `on_signal`, also those that are pending already. Throws
  // std::system_error if the kernel refuses.
  SignalWatcher(EventLoop& loop, std::initializer_list<int> signals, std::function<void(int)> on_signal);
  ~SignalWatcher();
  SignalWatcher(const SignalWatcher&) = delete;
  SignalWatcher& operator=(const SignalWatcher&) = delete;

 private:
  void on_ready(std::uint32_t events) override;

  EventLoop& loop_;
  FileDescriptor signal_descriptor_;
  SlotKey key_ = 0;
  std::function<void(int)> on_signal_;
};

}  // namespace rookproxy
