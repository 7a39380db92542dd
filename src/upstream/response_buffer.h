// The buffer of a response that is being received.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "policy/memory_ledger.h"

namespace rookproxy {

// Holds the bytes of one response, which count as results of engines.
class ResponseBuffer {
 public:
  ResponseBuffer(std::shared_ptr<policy::MemoryLedger> ledger, std::size_t max_size)
      : holding_(std::move(ledger), policy::MemoryUse::kEngineResults), max_size_(max_size) {}

  // Returns whether a response that grows by `bytes` is within the limit for one response.
  [[nodiscard]] bool has_room_for(std::size_t bytes) const {
    return bytes <= max_size_ && bytes_.size() <= max_size_ - bytes;
  }
  // Returns false and appends nothing if the limit for one response or the one for all is exceeded.
  [[nodiscard]] bool try_append(std::string_view bytes) {
    if (!has_room_for(bytes.size()) || !holding_.try_add(bytes.size())) return false;
    bytes_ += bytes;
    return true;
  }
  void clear() { (void)take(); }
  // Returns the bytes and leaves the buffer empty.
  [[nodiscard]] std::string take() {
    holding_.release();
    return std::exchange(bytes_, {});
  }
  [[nodiscard]] std::size_t size() const { return bytes_.size(); }

 private:
  policy::MemoryHolding holding_;
  std::size_t max_size_;
  std::string bytes_;
};

}  // namespace rookproxy
