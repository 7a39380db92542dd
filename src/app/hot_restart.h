// What the processes of one dispatcher know of each other during a hot restart: who is there, and who is
// ready.
#pragma once

#include <string>

#include "net/fd.h"

namespace rookproxy {

// Record locks on one file of the shared folder, two for each process: one says that it lives, the other that
// it is ready. The kernel releases them at its death, however it dies, so what the dead leave says nothing.
class HotRestart {
 public:
  // The file is made if it is missing. Without it (a read-only folder) this process takes itself for alone.
  explicit HotRestart(const std::string& file);
  bool has_seat() const { return seat_ >= 0; }
  void say_ready(bool ready);
  bool another_lives() const { return another(kLives); }
  bool another_is_ready() const { return another(kReady); }

 private:
  enum Byte { kLives = 0, kReady = 1 };
  bool lock(int seat, Byte byte, bool take) const;
  bool another(Byte byte) const;

  Fd file_;
  int seat_ = -1;
};

}  // namespace rookproxy
