#include "app/hot_restart.h"

#include <fcntl.h>

namespace rookproxy {
namespace {
constexpr int kSeats = 8;  // two processes at a time, and some that are still on their way out

struct flock record(short type, int seat, int byte) {
  struct flock lock {};
  lock.l_type = type;
  lock.l_whence = SEEK_SET;
  lock.l_start = 2 * seat + byte;
  lock.l_len = 1;
  return lock;
}
}  // namespace

HotRestart::HotRestart(const std::string& file)
    : file_(::open(file.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600)) {
  for (int seat = 0; file_ && seat < kSeats && seat_ < 0; ++seat) {
    if (lock(seat, kLives, true)) seat_ = seat;
  }
}

bool HotRestart::lock(int seat, Byte byte, bool take) const {
  struct flock wanted = record(take ? F_WRLCK : F_UNLCK, seat, byte);
  return ::fcntl(file_.get(), F_SETLK, &wanted) == 0;
}

void HotRestart::say_ready(bool ready) {
  if (has_seat()) lock(seat_, kReady, ready);
}

// Asks without taking: a lock tried for a moment could keep another process from its seat.
bool HotRestart::another(Byte byte) const {
  for (int seat = 0; has_seat() && seat < kSeats; ++seat) {
    struct flock found = record(F_WRLCK, seat, byte);
    if (seat != seat_ && ::fcntl(file_.get(), F_GETLK, &found) == 0 && found.l_type != F_UNLCK) return true;
  }
  return false;
}

}  // namespace rookproxy
