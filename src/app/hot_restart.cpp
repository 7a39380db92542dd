#include "app/hot_restart.h"

#include <fcntl.h>

namespace rookproxy {
namespace {
constexpr int kMaxProcesses = 8;  // two processes at a time, and some that are still on their way out

struct flock make_record_lock(short type, int seat, int byte) {
  struct flock lock {};
  lock.l_type = type;
  lock.l_whence = SEEK_SET;
  lock.l_start = 2 * seat + byte;
  lock.l_len = 1;
  return lock;
}
}  // namespace

ProcessLease::ProcessLease(const std::string& file)
    : file_(::open(file.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600)) {
  for (int seat = 0; file_ && seat < kMaxProcesses && slot_ < 0; ++seat) {
    if (lock(seat, kRunning, true)) slot_ = seat;
  }
}

bool ProcessLease::lock(int seat, LockByte byte, bool take) const {
  struct flock wanted = make_record_lock(take ? F_WRLCK : F_UNLCK, seat, byte);
  return ::fcntl(file_.get(), F_SETLK, &wanted) == 0;
}

void ProcessLease::set_ready(bool ready) {
  if (is_acquired()) lock(slot_, kReady, ready);
}

// Asks without taking: a lock tried for a moment could keep another process from its seat.
bool ProcessLease::another_holds(LockByte byte) const {
  for (int seat = 0; is_acquired() && seat < kMaxProcesses; ++seat) {
    struct flock found = make_record_lock(F_WRLCK, seat, byte);
    if (seat != slot_ && ::fcntl(file_.get(), F_GETLK, &found) == 0 && found.l_type != F_UNLCK) return true;
  }
  return false;
}

}  // namespace rookproxy
