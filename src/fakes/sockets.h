// Helpers for blocking sockets on the loopback interface, shared by the fakes and the tests.
#pragma once

#include <chrono>
#include <cstdint>

#include "net/file_descriptor.h"
#include "net/socket_address.h"
#include "net/sockets.h"

namespace rookproxy::test {

// 127.0.0.1 in host byte order.
inline constexpr std::uint32_t kLoopbackAddress = 0x7f000001;

// An address on the loopback interface whose port the kernel chooses.
inline constexpr SocketAddress kAnyLoopbackPort{kLoopbackAddress, 0};

// How long a test waits for an expected event. Long enough that a busy machine does not cause a failure.
inline constexpr auto kWaitLimit = std::chrono::seconds(20);

// Waits until `fd` is readable or at its end. Returns false if neither happens within the given time.
[[nodiscard]] bool wait_until_readable(const FileDescriptor& fd, std::chrono::milliseconds within);

// Opens a TCP listener on 127.0.0.1, on a port that the kernel chooses.
[[nodiscard]] FileDescriptor listen_on_free_port();

// Makes close() on the socket send a reset and discard unsent data.
void set_reset_on_close(const FileDescriptor& fd);

}  // namespace rookproxy::test
