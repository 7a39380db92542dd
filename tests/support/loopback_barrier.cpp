#include "support/loopback_barrier.h"

#include <sys/socket.h>

#include "fakes/sockets.h"
#include "net/sockets.h"
#include "support/require.h"

namespace rookproxy::test {

LoopbackBarrier::LoopbackBarrier()
    : receiver_(bind_udp(kAnyLoopbackPort)), sender_(connect_udp({kLoopbackAddress, local_port(receiver_)})) {
  require(receiver_ && sender_, "no sockets for the barrier");
  require(::sched_getaffinity(0, sizeof former_cpus_, &former_cpus_) == 0, "the thread's CPUs are unknown");
  cpu_set_t current_cpu;
  CPU_ZERO(&current_cpu);
  CPU_SET(static_cast<std::size_t>(::sched_getcpu()), &current_cpu);
  require(::sched_setaffinity(0, sizeof current_cpu, &current_cpu) == 0, "the thread can't stay on its CPU");
}

LoopbackBarrier::~LoopbackBarrier() { ::sched_setaffinity(0, sizeof former_cpus_, &former_cpus_); }

void LoopbackBarrier::wait() {
  const std::uint64_t number = ++last_number_;
  require(::send(sender_.get(), &number, sizeof number, 0) == sizeof number, "a barrier that can't be sent");
  std::uint64_t received = 0;
  while (received != number) {
    if (::recv(receiver_.get(), &received, sizeof received, MSG_DONTWAIT) > 0) continue;
    require(wait_until_readable(receiver_, kWaitLimit), "the kernel does not deliver");
  }
}

}  // namespace rookproxy::test
