// Classifies errors of system calls.
#pragma once

namespace rookproxy {

// The cause of an errno of a call on sockets or descriptors.
enum class SystemErrorClass {
  // The call may be repeated immediately, for example after a signal or an aborted connection.
  kTransient,
  // The descriptor is not ready.
  kWouldBlock,
  // This process has reached its descriptor limit.
  kProcessExhausted,
  // The host has no free descriptors, memory, buffers or ports, usually for a short time.
  kHostExhausted,
  // The peer, the path to it, or the arguments.
  kOther
};

[[nodiscard]] SystemErrorClass classify_system_error(int error);

// Returns true if the error is caused by a lack of resources of this process or its host, not by the peer or
// the network.
[[nodiscard]] bool is_resource_exhaustion(int error);

}  // namespace rookproxy
