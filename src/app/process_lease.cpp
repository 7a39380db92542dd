#include "app/process_lease.h"

#include <fcntl.h>

namespace rookproxy {
namespace {

// Two processes at a time, and some that have not ended yet.
constexpr int kSlots = 8;
constexpr int kBytesPerSlot = 2;

struct flock record_lock(decltype(flock::l_type) type, int slot, int byte) {
  struct flock lock {};
  lock.l_type = type;
  lock.l_whence = SEEK_SET;
  lock.l_start = kBytesPerSlot * slot + byte;
  lock.l_len = 1;
  return lock;
}

}  // namespace

ProcessLease::ProcessLease(const std::string& file)
    : file_(::open(file.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600)) {
  for (int slot = 0; file_ && slot < kSlots && !is_acquired(); ++slot) {
    if (set_lock(slot, kRunning, true)) slot_ = slot;
  }
}

bool ProcessLease::set_lock(int slot, LockByte byte, bool locked) const {
  struct flock lock = record_lock(locked ? F_WRLCK : F_UNLCK, slot, byte);
  return ::fcntl(file_.get(), F_SETLK, &lock) == 0;
}

void ProcessLease::set_ready(bool ready) {
  // Nobody else locks this slot, so this can't fail.
  if (is_acquired()) static_cast<void>(set_lock(slot_, kReady, ready));
}

// Asks who holds a lock without trying to take it: one taken for a moment could keep another process from its
// slot.
bool ProcessLease::another_holds(LockByte byte) const {
  if (!is_acquired()) return false;
  for (int slot = 0; slot < kSlots; ++slot) {
    if (slot == slot_) continue;
    struct flock lock = record_lock(F_WRLCK, slot, byte);
    const bool answered = ::fcntl(file_.get(), F_GETLK, &lock) == 0;
    if (answered && lock.l_type != F_UNLCK) return true;
  }
  return false;
}

}  // namespace rookproxy
