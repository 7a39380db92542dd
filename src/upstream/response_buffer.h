// A response that is coming in, counted into the total of all connections.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

namespace rookproxy {

// Holds the bytes of one response and keeps `total` up to date, which sums up the buffers of all connections.
// Its destructor does not touch the total, which belongs to a pool that is destroyed before its connections:
// whoever closes a connection earlier has to clear its buffer.
class ResponseBuffer {
 public:
  // `total` in bytes; it must outlive every other call.
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
