// Tests of the acceptor in a process that has no descriptors left.
#include "net/acceptor.h"

#include <sys/socket.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <vector>

#include "fakes/sockets.h"
#include "net/event_loop.h"
#include "net/file_descriptor.h"
#include "net/sockets.h"
#include "support/descriptor_limit.h"

namespace rookproxy {
namespace {

using namespace std::chrono_literals;

// A group of client connections.
struct Clients {
  std::vector<FileDescriptor> fds;
  void connect(std::uint16_t port, std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) fds.push_back(connect_tcp({0x7f000001, port}));
  }
  std::size_t closed_by_peer() const {
    std::size_t ended = 0;
    char byte = 0;
    for (const FileDescriptor& fd : fds) ended += ::recv(fd.get(), &byte, 1, MSG_DONTWAIT) == 0 ? 1 : 0;
    return ended;
  }
};

TEST_CASE("acceptor: without free descriptors it closes new connections, even after losing its reserve") {
  EventLoop loop;
  std::vector<FileDescriptor> accepted;
  Acceptor acceptor(loop, test::listen_on_free_port(),
                    [&](FileDescriptor fd) { accepted.push_back(std::move(fd)); });
  Clients first;
  Clients burst;
  std::size_t iterations = 0;
  std::size_t iterations_without_descriptors = 0;
  bool late = false;
  bool reserve_lost = false;
  std::optional<test::DescriptorExhaustion> exhaustion;
  std::optional<test::DescriptorLimit> limit;  // Prevents the acceptor from reopening its reserve descriptor.
  first.connect(acceptor.port(), 1);
  loop.on_iteration_end([&] {
    ++iterations;
    if (!exhaustion && accepted.size() == 1) {
      burst.connect(acceptor.port(), 100);
      exhaustion.emplace();
      limit.emplace(3);
      iterations = 0;
      loop.run_at(loop.now() + 200ms, [&] {
        reserve_lost = burst.closed_by_peer() == 0 && accepted.size() == 1;
        iterations_without_descriptors = iterations;
        limit.reset();
      });
    }
    if (reserve_lost && burst.closed_by_peer() == 100) loop.stop();
  });
  loop.run_at(loop.now() + test::kWaitLimit, [&] {
    late = true;
    loop.stop();
  });
  loop.run();
  limit.reset();
  exhaustion.reset();  // A failing check and a sanitizer need descriptors.
  CHECK(reserve_lost);
  CHECK(iterations_without_descriptors < 20);  // The acceptor retries after an interval and does not spin.
  CHECK_FALSE(late);
  CHECK(accepted.size() == 1);
}

}  // namespace
}  // namespace rookproxy
