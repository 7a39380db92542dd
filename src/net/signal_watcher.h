// Delivers signals as events of the event loop.
#pragma once

#include <functional>
#include <initializer_list>

#include "net/event_loop.h"
#include "net/file_descriptor.h"

namespace rookproxy {

// Blocks the signals until a SignalWatcher receives them, and ignores SIGPIPE. Must be called at the start of
// the program, so that a signal during the startup neither terminates the process nor is lost.
void block_signals(std::initializer_list<int> signals);

// Passes signals to a callback on the event loop's thread.
class SignalWatcher final : private EventHandler {
 public:
  // Blocks the signals and passes them to `on_signal`, including those that are already pending. Throws
  // std::system_error on failure.
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
