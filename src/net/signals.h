// Signals as events of the loop.
#pragma once

#include <functional>
#include <initializer_list>

#include "net/loop.h"

namespace rookproxy {

class Signals final : private Watcher {
 public:
  // Blocks these signals for the process and hands them to `taken` from the loop. SIGPIPE is ignored.
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
