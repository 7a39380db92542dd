#include "app/process_lock_file.h"

#include <fcntl.h>

namespace rookproxy {
namespace {

// Usually two processes run at a time; the rest is for processes that have not ended yet.
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

ProcessLockFile::ProcessLockFile(const std::string& file)
    : file_(::open(file.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600)) {
  for (int slot = 0; file_ && slot < kSlots && !is_acquired(); ++slot) {
    if (set_lock(slot, kRunning, true)) slot_ = slot;
  }
}

bool ProcessLockFile::set_lock(int slot, LockByte byte, bool locked) const {
  struct flock lock = record_lock(locked ? F_WRLCK : F_UNLCK, slot, byte);
  return ::fcntl(file_.get(), F_SETLK, &lock) == 0;
}

void ProcessLockFile::set_ready(bool ready) {
  // No other process locks this slot, so this can't fail.
  if (is_acquired()) static_cast<void>(set_lock(slot_, kReady, ready));
}

// Queries the locks without taking them: a lock held for a moment could keep another process from its slot.
bool ProcessLockFile::another_holds(LockByte byte) const {
  if (!is_acquired()) return false;
  for (int slot = 0; slot < kSlots; ++slot) {
    if (slot == slot_) continue;
    struct flock lock = record_lock(F_WRLCK, slot, byte);
    const bool succeeded = ::fcntl(file_.get(), F_GETLK, &lock) == 0;
    if (succeeded && lock.l_type != F_UNLCK) return true;
  }
  return false;
}

}  // namespace rookproxy
