#include "net/sockets.h"

#include <fcntl.h>
#include <netinet/tcp.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <optional>

namespace rookproxy {
namespace {

// Large enough for bursts of connections: a connection request that finds the queue full is retransmitted
// only after a second.
constexpr int kListenBacklog = 4096;

FileDescriptor open_socket(int family, int type) {
  return FileDescriptor(::socket(family, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

template <class Address>
bool try_connect(const FileDescriptor& socket, const Address& address) {
  return ::connect(socket.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 ||
         errno == EINPROGRESS;
}

template <class Address>
FileDescriptor bind_and_listen(FileDescriptor socket, const Address& address) {
  if (!socket || ::bind(socket.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(socket.get(), kListenBacklog) != 0) {
    return FileDescriptor();
  }
  return socket;
}

std::optional<sockaddr_un> unix_address(const std::string& path) {
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  if (path.empty() || path.size() >= sizeof address.sun_path) {
    errno = ENAMETOOLONG;
    return std::nullopt;
  }
  std::memcpy(address.sun_path, path.data(), path.size());
  return address;
}

// Returns the value of an integer option at the socket level, or -1 with errno set on failure.
int socket_option(int descriptor, int option) {
  int value = -1;
  socklen_t size = sizeof value;
  return ::getsockopt(descriptor, SOL_SOCKET, option, &value, &size) == 0 ? value : -1;
}

}  // namespace

FileDescriptor listen_tcp(const SocketAddress& address) {
  FileDescriptor socket = open_socket(AF_INET, SOCK_STREAM);
  const int enabled = 1;
  if (socket) ::setsockopt(socket.get(), SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  return bind_and_listen(std::move(socket), address.to_sockaddr());
}

FileDescriptor connect_tcp(const SocketAddress& address) {
  FileDescriptor socket = open_socket(AF_INET, SOCK_STREAM);
  if (!socket) return socket;
  const int enabled = 1;
  ::setsockopt(socket.get(), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
  return try_connect(socket, address.to_sockaddr()) ? std::move(socket) : FileDescriptor();
}

FileDescriptor connect_udp(const SocketAddress& address) {
  FileDescriptor socket = open_socket(AF_INET, SOCK_DGRAM);
  return socket && try_connect(socket, address.to_sockaddr()) ? std::move(socket) : FileDescriptor();
}

FileDescriptor bind_udp(const SocketAddress& address) {
  FileDescriptor socket = open_socket(AF_INET, SOCK_DGRAM);
  const sockaddr_in raw = address.to_sockaddr();
  if (!socket || ::bind(socket.get(), reinterpret_cast<const sockaddr*>(&raw), sizeof raw) != 0) {
    return FileDescriptor();
  }
  return socket;
}

FileDescriptor listen_unix(const std::string& path) {
  const auto address = unix_address(path);
  return address ? bind_and_listen(open_socket(AF_UNIX, SOCK_STREAM), *address) : FileDescriptor();
}

FileDescriptor connect_unix(const std::string& path) {
  const auto address = unix_address(path);
  if (!address) return FileDescriptor();
  FileDescriptor socket = open_socket(AF_UNIX, SOCK_STREAM);
  return socket && try_connect(socket, *address) ? std::move(socket) : FileDescriptor();
}

FileDescriptor adopt_listener(int descriptor) {
  errno = 0;
  if (socket_option(descriptor, SO_DOMAIN) != AF_INET || socket_option(descriptor, SO_TYPE) != SOCK_STREAM ||
      socket_option(descriptor, SO_ACCEPTCONN) != 1) {
    if (errno == 0) errno = EINVAL;
    return FileDescriptor();
  }
  const int flags = ::fcntl(descriptor, F_GETFL);
  if (flags < 0 || ::fcntl(descriptor, F_SETFL, flags | O_NONBLOCK) != 0 ||
      ::fcntl(descriptor, F_SETFD, FD_CLOEXEC) != 0) {
    return FileDescriptor();
  }
  return FileDescriptor(descriptor);
}

FileDescriptor accept_connection(const FileDescriptor& listener) {
  FileDescriptor connection(::accept4(listener.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (connection) {
    const int accept_errno = errno;
    const int enabled = 1;
    // This fails on a Unix socket, where the option is not needed.
    ::setsockopt(connection.get(), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    errno = accept_errno;
  }
  return connection;
}

std::size_t descriptor_limit() {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) return SIZE_MAX;
  return static_cast<std::size_t>(limit.rlim_cur);
}

std::uint16_t local_port(const FileDescriptor& socket) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  if (::getsockname(socket.get(), reinterpret_cast<sockaddr*>(&address), &size) != 0) return 0;
  return ntohs(address.sin_port);
}

void send_best_effort(const FileDescriptor& socket, std::string_view bytes) {
  if (socket) ::send(socket.get(), bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
}

}  // namespace rookproxy
