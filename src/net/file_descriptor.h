// An owned file descriptor.
#pragma once

#include <utility>

namespace rookproxy {

// Owns one file descriptor and closes it on destruction; empty if it holds none. Movable, not copyable.
class FileDescriptor {
 public:
  FileDescriptor() = default;
  // Takes ownership of `descriptor`; a negative number makes an empty object.
  explicit FileDescriptor(int descriptor) : descriptor_(descriptor) {}
  FileDescriptor(FileDescriptor&& other) noexcept : descriptor_(std::exchange(other.descriptor_, -1)) {}
  // Swaps: the descriptor that was held before is closed when `other` is destroyed.
  FileDescriptor& operator=(FileDescriptor&& other) noexcept {
    std::swap(descriptor_, other.descriptor_);
    return *this;
  }
  ~FileDescriptor() { reset(); }

  // Closes the descriptor, if there is one.
  void reset();
  // The number, or -1 if empty; ownership stays here.
  [[nodiscard]] int get() const { return descriptor_; }
  explicit operator bool() const { return descriptor_ >= 0; }

 private:
  int descriptor_ = -1;
};

}  // namespace rookproxy
