/// Waiting until the kernel has delivered what was sent over loopback.
#pragma once

#include <sched.h>

#include <cstdint>

#include "net/file_descriptor.h"
#include "net/socket_address.h"

namespace rookproxy::test {

/// The kernel delivers loopback packets in a softirq, which it may leave to a thread of its own: a peer sees
/// them later then, though send() has returned. Packets of one CPU are delivered in order, so this keeps the
/// calling thread on its CPU for its scope, and sends a datagram to itself that comes behind all of them. For
/// the thread that made it.
class LoopbackBarrier {
 public:
  LoopbackBarrier();
  ~LoopbackBarrier();
  LoopbackBarrier(const LoopbackBarrier&) = delete;
  LoopbackBarrier& operator=(const LoopbackBarrier&) = delete;

  /// Returns once every packet that this thread has sent so far was delivered. What the kernel sends in
  /// response to them, such as the next step of a handshake, may still be on its way.
  void wait();

 private:
  cpu_set_t former_cpus_{};
  FileDescriptor receiver_;
  FileDescriptor sender_;
  std::uint64_t last_number_ = 0;
};

}  // namespace rookproxy::test
