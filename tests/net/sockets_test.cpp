// Tests of socket options.
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <catch2/catch.hpp>

#include "fakes/sockets.h"
#include "net/file_descriptor.h"
#include "net/sockets.h"

using namespace rookproxy;
using namespace rookproxy::test;

TEST_CASE("sockets: TCP_NODELAY is set on connected and accepted sockets") {
  const FileDescriptor listener = listen_on_free_port();
  const FileDescriptor outgoing = connect_tcp({0x7f000001, local_port(listener)});
  REQUIRE(wait_until_readable(listener, kWaitLimit));
  const FileDescriptor accepted = accept_connection(listener);
  for (const FileDescriptor* fd : {&outgoing, &accepted}) {
    int on = 0;
    socklen_t size = sizeof on;
    REQUIRE(::getsockopt(fd->get(), IPPROTO_TCP, TCP_NODELAY, &on, &size) == 0);
    CHECK(on == 1);
  }
}
