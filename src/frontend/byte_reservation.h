// A connection's reservation in a byte budget that all connections of a frontend share.
#pragma once

#include <cstddef>
#include <utility>

namespace rookproxy {

// Reserves bytes of a budget and returns them when it is released or destroyed. `used` is the number of bytes
// reserved by all connections and must outlive this object. Not synchronized: must be used on the event
// loop's thread.
class ByteReservation {
 public:
  explicit ByteReservation(std::size_t& used) : used_(used) {}
  ~ByteReservation() { release(); }
  ByteReservation(const ByteReservation&) = delete;
  ByteReservation& operator=(const ByteReservation&) = delete;

  // Reserves `bytes` and returns true, or returns false if the total would exceed `limit`.
  [[nodiscard]] bool try_reserve(std::size_t bytes, std::size_t limit) {
    if (used_ + bytes > limit) return false;
    used_ += bytes;
    bytes_ += bytes;
    return true;
  }
  void release() { used_ -= std::exchange(bytes_, 0); }
  [[nodiscard]] bool is_active() const { return bytes_ > 0; }

 private:
  std::size_t& used_;
  std::size_t bytes_ = 0;
};

}  // namespace rookproxy
