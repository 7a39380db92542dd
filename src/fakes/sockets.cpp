#include "fakes/sockets.h"
#include "net/file_descriptor.h"
#include "net/sockets.h"

#include <poll.h>
#include <sys/socket.h>

namespace rookproxy::test {

bool wait_until_readable(const FileDescriptor& fd, std::chrono::milliseconds within) {
  pollfd request{fd.get(), POLLIN, 0};
  return ::poll(&request, 1, static_cast<int>(within.count())) > 0;
}

FileDescriptor listen_on_free_port() { return listen_tcp(kAnyLoopbackPort); }

void set_reset_on_close(const FileDescriptor& fd) {
  const linger reset_at_once{1, 0};
  ::setsockopt(fd.get(), SOL_SOCKET, SO_LINGER, &reset_at_once, sizeof reset_at_once);
}

}  // namespace rookproxy::test
