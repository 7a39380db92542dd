#include "app/process_lock_file.h"

#include <fcntl.h>

#include <cerrno>

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

// Ids are random, so that two of them differ in the bits that fit an offset.
struct flock claim_lock(decltype(flock::l_type) type, ExecutionClaims::ExecutionId id) {
  constexpr int kUnusedBits = 2;
  struct flock lock = record_lock(type, kSlots, 0);
  lock.l_start += static_cast<off_t>(id >> kUnusedBits);
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

ClaimResult ProcessLockFile::try_claim(ExecutionId id) {
  if (!is_acquired()) return ClaimResult::kClaimed;
  struct flock lock = claim_lock(F_WRLCK, id);
  if (::fcntl(file_.get(), F_SETLK, &lock) == 0) return ClaimResult::kClaimed;
  return errno == EAGAIN || errno == EACCES ? ClaimResult::kHeldByOther : ClaimResult::kUnavailable;
}

void ProcessLockFile::release_claim(ExecutionId id) {
  struct flock lock = claim_lock(F_UNLCK, id);
  // A claim that can't be released is refused to other processes until this one ends.
  if (is_acquired()) static_cast<void>(::fcntl(file_.get(), F_SETLK, &lock));
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
