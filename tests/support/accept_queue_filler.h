/// Listeners that let no connection in.
#pragma once

#include <chrono>
#include <vector>

#include "net/file_descriptor.h"

namespace rookproxy::test {

/// Fills the accept queue of a listener on 127.0.0.1: the kernel then drops attempts to connect, as for a
/// machine that is cut off, and clients try again a second later. For one listener and one thread.
class AcceptQueueFiller {
 public:
  /// Returns once the queue is full; throws std::runtime_error if it does not become so.
  void fill(const FileDescriptor& listener);

  /// Empties the queue, until nothing has come for so long, and lets connections in again.
  void drain(const FileDescriptor& listener, std::chrono::milliseconds idle_time);

  [[nodiscard]] bool is_full() const { return !fillers_.empty(); }

 private:
  std::vector<FileDescriptor> fillers_;
};

}  // namespace rookproxy::test
