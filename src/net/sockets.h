// Functions that create and use sockets. All returned descriptors are non-blocking and closed on exec. A
// function that fails returns an empty descriptor, with errno set.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "net/file_descriptor.h"
#include "net/socket_address.h"

namespace rookproxy {

[[nodiscard]] FileDescriptor listen_tcp(const SocketAddress& address);
// Starts to connect. The connection may still be in progress when the function returns.
[[nodiscard]] FileDescriptor connect_tcp(const SocketAddress& address);
[[nodiscard]] FileDescriptor connect_udp(const SocketAddress& address);
[[nodiscard]] FileDescriptor bind_udp(const SocketAddress& address);
[[nodiscard]] FileDescriptor listen_unix(const std::string& path);
// Starts to connect, like connect_tcp().
[[nodiscard]] FileDescriptor connect_unix(const std::string& path);

// Takes ownership of an inherited descriptor if it is a listening IPv4 TCP socket; otherwise returns an empty
// descriptor, with errno set. The accept queue and the O_NONBLOCK flag are shared with all processes that
// hold the socket, so it must not be shut down.
[[nodiscard]] FileDescriptor adopt_listener(int descriptor);
// Accepts the next pending connection.
FileDescriptor accept_connection(const FileDescriptor& listener);

// Returns the maximum number of descriptors of this process; SIZE_MAX if it is not limited.
[[nodiscard]] std::size_t descriptor_limit();
// Returns the port that the socket is bound to; 0 if it can't be determined.
[[nodiscard]] std::uint16_t local_port(const FileDescriptor& socket);
// Sends the bytes with one non-blocking call and ignores the result.
void send_best_effort(const FileDescriptor& socket, std::string_view bytes);

}  // namespace rookproxy
