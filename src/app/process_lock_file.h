// Lets the processes of one dispatcher see each other during a hot restart: whether another one runs, and
// whether it is ready.
#pragma once

#include <string>

#include "dispatcher/execution_claims.h"
#include "net/file_descriptor.h"
#include "net/socket_address.h"
#include "net/sockets.h"

namespace rookproxy {

// Record locks on a file in the shared folder. Each process has a slot with two locks: one means that it
// runs, the other that it is ready. Behind the slots there is a byte for each id of an execution, which is
// locked by the process that claims it. The kernel releases them when a process ends, however it ends. Used
// by one thread.
class ProcessLockFile final : public ExecutionClaims {
 public:
  // Creates the file if it is missing and acquires a slot. If that fails, as in a read-only folder, no other
  // process is seen.
  explicit ProcessLockFile(const std::string& file);

  [[nodiscard]] bool is_acquired() const { return slot_ >= 0; }

  void set_ready(bool ready);

  [[nodiscard]] ClaimResult try_claim(ExecutionId id) override;
  void release_claim(ExecutionId id) override;

  [[nodiscard]] bool another_is_running() const { return another_holds(kRunning); }
  [[nodiscard]] bool another_is_ready() const { return another_holds(kReady); }

 private:
  // The bytes of a slot. Each is locked separately.
  enum LockByte { kRunning = 0, kReady = 1 };

  [[nodiscard]] bool set_lock(int slot, LockByte byte, bool locked) const;
  [[nodiscard]] bool another_holds(LockByte byte) const;

  FileDescriptor file_;
  int slot_ = -1;  // Negative if no slot was acquired.
};

}  // namespace rookproxy
