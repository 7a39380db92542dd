// Reads a connection to its end and tells whether it was closed or reset.
#pragma once

#include <sys/socket.h>

#include <cerrno>
#include <string>

#include "fakes/sockets.h"
#include "net/file_descriptor.h"

namespace rookproxy::test {

// The bytes received up to the end; `error` is 0 for an orderly close, else an errno value.
struct ReadResult {
  std::string bytes;
  int error = 0;
};

// Reads until the peer closes or resets the connection. The error is ETIMEDOUT if nothing arrives for
// kWaitLimit.
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
