// Tasks that leave a trace, for tests of what runs and in which order.
#pragma once

#include <string>

#include "net/event_loop.h"

namespace rookproxy::test {

// A task that appends the mark to the text, which must outlive it.
inline EventLoop::Task append_mark(std::string& text, char mark) {
  return [&text, mark] {
    text += mark;
  };
}

}  // namespace rookproxy::test
