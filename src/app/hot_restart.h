// What the processes of one dispatcher know of each other during a hot restart: who is there, and who is
// ready.
#pragma once

#include <string>

#include "net/sockets.h"

namespace rookproxy {

// Record locks on one file of the shared folder, two for each process: one says that it lives, the other that
// it is ready. The kernel releases them at its death, however it dies, so what the dead leave says nothing.
class ProcessLease {
 public:
  // The file is made if it is missing. Without it (a read-only folder) this process takes itself for alone.
  explicit ProcessLease(const std::string& file);
  bool is_acquired() const { return slot_ >= 0; }
  void set_ready(bool ready);
  bool another_is_running() const { return another_holds(kRunning); }
  bool another_is_ready() const { return another_holds(kReady); }

 private:
  enum LockByte { kRunning = 0, kReady = 1 };
  bool lock(int seat, LockByte byte, bool take) const;
  bool another_holds(LockByte byte) const;

  FileDescriptor file_;
  int slot_ = -1;
};

}  // namespace rookproxy
