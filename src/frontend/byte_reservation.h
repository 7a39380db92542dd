// A connection's part of a byte budget that all connections of a frontend share.
#pragma once

#include <cstddef>
#include <utility>

namespace rookproxy {

/// Holds bytes of a budget and gives them back when it is released or destroyed. `used`, the count of all
/// bytes in use, must outlive it. Not synchronized: used on the event loop's thread.
class ByteReservation {
 public:
  explicit ByteReservation(std::size_t& used) : used_(used) {}
  ~ByteReservation() { release(); }
  ByteReservation(const ByteReservation&) = delete;
  ByteReservation& operator=(const ByteReservation&) = delete;

  /// Reserves `bytes` unless the budget would exceed `limit`; false if it would.
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
