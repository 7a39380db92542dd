// Reads a connection to its end, as a peer does that wants to know how it ended.
#pragma once

#include <sys/socket.h>

#include <cerrno>
#include <string>

#include "fakes/sockets.h"
#include "net/file_descriptor.h"

namespace rookproxy::test {

// All that came up to the end, and how it ended: 0 for an end in order, else an errno.
struct ReadResult {
  std::string bytes;
  int error = 0;
};

// ETIMEDOUT if it does not end within the tests' limit.
inline ReadResult read_to_end(const FileDescriptor& socket) {
  ReadResult result;
  char bytes[64 * 1024];
  while (wait_until_readable(socket, kWaitLimit)) {
    const ssize_t received = ::recv(socket.get(), bytes, sizeof bytes, 0);
    if (received == 0) return result;
    if (received < 0) {
      result.error = errno;
      return result;
    }
    result.bytes.append(bytes, static_cast<std::size_t>(received));
  }
  result.error = ETIMEDOUT;
  return result;
}

}  // namespace rookproxy::test
