#include "support/accept_queue_filler.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <thread>

#include "fakes/sockets.h"
#include "net/socket_address.h"
#include "net/sockets.h"
#include "support/require.h"

namespace rookproxy::test {
namespace {

constexpr int kFillers = 8;
constexpr int kListenBacklog = 64;
constexpr auto kPollInterval = std::chrono::milliseconds(1);

// For a listener the kernel gives the length of its accept queue, and the most that it may have, in these.
bool is_accept_queue_full(const FileDescriptor& listener) {
  tcp_info info{};
  socklen_t size = sizeof info;
  const int outcome = ::getsockopt(listener.get(), IPPROTO_TCP, TCP_INFO, &info, &size);
  require(outcome == 0, "the accept queue can't be seen");
  return info.tcpi_unacked > info.tcpi_sacked;
}

}  // namespace

void AcceptQueueFiller::fill(const FileDescriptor& listener) {
  ::listen(listener.get(), 0);
  for (int i = 0; i < kFillers; ++i) {
    fillers_.push_back(connect_tcp({kLoopbackAddress, local_port(listener)}));
  }
  const auto deadline = std::chrono::steady_clock::now() + kWaitLimit;
  while (!is_accept_queue_full(listener)) {
    require(std::chrono::steady_clock::now() < deadline, "the accept queue does not become full");
    std::this_thread::sleep_for(kPollInterval);
  }
}

void AcceptQueueFiller::drain(const FileDescriptor& listener, std::chrono::milliseconds idle_time) {
  fillers_.clear();
  while (wait_until_readable(listener, idle_time)) accept_connection(listener);
  ::listen(listener.get(), kListenBacklog);
}

}  // namespace rookproxy::test
