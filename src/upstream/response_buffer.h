// The buffer of a response that is being received.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

namespace rookproxy {

// Holds the bytes of one response and adds their number to `total`, the sum over the buffers of all
// connections. The destructor does not update the total, because the total belongs to a pool that is
// destroyed before its connections. Code that closes a connection earlier must clear its buffer.
class ResponseBuffer {
 public:
  // `total` is in bytes and must outlive all other calls.
  explicit ResponseBuffer(std::size_t& total) : total_(total) {}

  void append(std::string_view bytes) {
    bytes_ += bytes;
    total_ += bytes.size();
  }
  void clear() {
    total_ -= bytes_.size();
    bytes_.clear();
  }
  // Returns the bytes and leaves the buffer empty.
  [[nodiscard]] std::string take() {
    total_ -= bytes_.size();
    return std::exchange(bytes_, {});
  }
  [[nodiscard]] std::size_t size() const { return bytes_.size(); }

 private:
  std::size_t& total_;
  std::string bytes_;
};

}  // namespace rookproxy
