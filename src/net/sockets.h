// The socket calls the program makes. Every descriptor returned is non-blocking and closed on exec; a call
// that failed returns an empty one, with errno set.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "net/file_descriptor.h"
#include "net/socket_address.h"

namespace rookproxy {

[[nodiscard]] FileDescriptor listen_tcp(const SocketAddress& address);
// Starts to connect; the connection may still be in progress when this returns.
[[nodiscard]] FileDescriptor connect_tcp(const SocketAddress& address);
[[nodiscard]] FileDescriptor connect_udp(const SocketAddress& address);
[[nodiscard]] FileDescriptor bind_udp(const SocketAddress& address);
[[nodiscard]] FileDescriptor listen_unix(const std::string& path);
// Starts to connect, as connect_tcp() does.
[[nodiscard]] FileDescriptor connect_unix(const std::string& path);

// Takes ownership of an inherited descriptor if it is a listening IPv4 TCP socket; otherwise empty, with
// errno set. Its accept queue and its O_NONBLOCK flag are shared with every process that holds it, so the
// socket is never shut down.
[[nodiscard]] FileDescriptor adopt_listener(int descriptor);
// The next connection that waits at `listener`.
FileDescriptor accept_connection(const FileDescriptor& listener);

// How many descriptors this process may hold; SIZE_MAX if that is not limited.
[[nodiscard]] std::size_t descriptor_limit();
// The port a socket is bound to; 0 if it can't be found out.
[[nodiscard]] std::uint16_t local_port(const FileDescriptor& socket);
// Sends once without blocking and ignores the result.
void send_best_effort(const FileDescriptor& socket, std::string_view bytes);

}  // namespace rookproxy
