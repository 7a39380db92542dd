/// Tells what an error of a system call says, in one place for all callers.
#pragma once

namespace rookproxy {

/// What an errno of a call on sockets or descriptors is due to.
enum class SystemErrorClass {
  kTransient,   // the same call may be made again at once: a signal, a connection that ended in the queue
  kWouldBlock,  // nothing to do until the descriptor is ready
  kProcessExhausted,  // this process is at its own limit of descriptors
  kHostExhausted,     // the host is short of descriptors, memory, buffers or ports, mostly for a moment
  kOther              // the peer, the path to it, or the arguments
};

[[nodiscard]] SystemErrorClass classify_system_error(int error);

/// Whether this process or its host lacks something, which says nothing about the peer or the way to it.
[[nodiscard]] bool is_resource_exhaustion(int error);

}  // namespace rookproxy
