// Signals as events of the loop.
#pragma once

#include <functional>
#include <initializer_list>

#include "net/loop.h"

namespace rookproxy {

// From here on these signals wait until somebody takes them, and SIGPIPE is ignored. A program's first act:
// one that comes while it starts must neither kill it nor be lost.
void block_signals(std::initializer_list<int> signals);

class Signals final : private Watcher {
 public:
  // Blocks these signals and hands them to `taken` from the loop, also those that have waited.
  Signals(Loop& loop, std::initializer_list<int> signals, std::function<void(int)> taken);
  ~Signals();

 private:
  void on_ready(std::uint32_t events) override;
  Loop& loop_;
  Fd fd_;
  SlotKey key_ = 0;
  std::function<void(int)> taken_;
};

}  // namespace rookproxy
