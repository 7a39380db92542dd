// An owning wrapper of a file descriptor.
#pragma once

#include <utility>

namespace rookproxy {

// Owns a file descriptor and closes it on destruction; may be empty. Movable, not copyable.
class FileDescriptor {
 public:
  FileDescriptor() = default;
  // Takes ownership of `descriptor`. A negative number creates an empty object.
  explicit FileDescriptor(int descriptor) : descriptor_(descriptor) {}
  FileDescriptor(FileDescriptor&& other) noexcept : descriptor_(std::exchange(other.descriptor_, -1)) {}
  // Swaps the descriptors; the previous one is closed when `other` is destroyed.
  FileDescriptor& operator=(FileDescriptor&& other) noexcept {
    std::swap(descriptor_, other.descriptor_);
    return *this;
  }
  ~FileDescriptor() { reset(); }

  // Closes the descriptor, if there is one.
  void reset();
  // Returns the descriptor without releasing ownership, or -1 if empty.
  [[nodiscard]] int get() const { return descriptor_; }
  explicit operator bool() const { return descriptor_ >= 0; }

 private:
  int descriptor_ = -1;
};

}  // namespace rookproxy
