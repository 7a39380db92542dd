// What the processes of one dispatcher know of each other during a hot restart: which of them run, and which
// are ready.
#pragma once

#include <string>

#include "net/file_descriptor.h"
#include "net/socket_address.h"
#include "net/sockets.h"

namespace rookproxy {

// Record locks on one file of the shared folder, two for each process: one says that it runs, the other that
// it is ready. The kernel releases them when a process ends, however it ends, so that none outlives its
// process. Used by one thread.
class ProcessLease {
 public:
  // Creates the file if it is missing. Where that fails (a read-only folder) the lease is not acquired, and
  // the process takes itself to be the only one.
  explicit ProcessLease(const std::string& file);

  [[nodiscard]] bool is_acquired() const { return slot_ >= 0; }

  void set_ready(bool ready);

  [[nodiscard]] bool another_is_running() const { return another_holds(kRunning); }
  [[nodiscard]] bool another_is_ready() const { return another_holds(kReady); }

 private:
  // The bytes of a slot, each with a lock of its own.
  enum LockByte { kRunning = 0, kReady = 1 };

  [[nodiscard]] bool set_lock(int slot, LockByte byte, bool locked) const;
  [[nodiscard]] bool another_holds(LockByte byte) const;

  FileDescriptor file_;
  int slot_ = -1;  // this process's; negative: none
};

}  // namespace rookproxy
