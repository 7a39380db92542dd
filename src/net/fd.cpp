#include "net/fd.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

#include "base/numbers.h"

namespace rookproxy {
namespace {

// Crowds come faster than a turn takes; what finds no place here comes again a second later.
constexpr int kListenBacklog = 4096;

FileDescriptor open_socket(int family, int type) {
  return FileDescriptor(::socket(family, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

template <class Address>
bool try_connect(const FileDescriptor& fd, const Address& address) {
  return ::connect(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 ||
         errno == EINPROGRESS;
}

template <class Address>
FileDescriptor bind_and_listen(FileDescriptor fd, const Address& address) {
  if (!fd || ::bind(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(fd.get(), kListenBacklog) != 0) {
    return FileDescriptor();
  }
  return fd;
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

}  // namespace

void FileDescriptor::reset() {
  if (fd_ >= 0) ::close(fd_);
  fd_ = -1;
}

std::string SocketAddress::to_string() const {
  in_addr address{htonl(ip)};
  char out[INET_ADDRSTRLEN] = "";
  ::inet_ntop(AF_INET, &address, out, sizeof out);
  return std::string(out) + ":" + std::to_string(port);
}

sockaddr_in SocketAddress::to_sockaddr() const {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(ip);
  address.sin_port = htons(port);
  return address;
}

SocketAddress SocketAddress::from_sockaddr(const sockaddr_in& address) {
  return {ntohl(address.sin_addr.s_addr), ntohs(address.sin_port)};
}

std::optional<SocketAddress> parse_socket_address(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == text.npos) return std::nullopt;
  SocketAddress endpoint;
  in_addr address{};
  if (::inet_pton(AF_INET, std::string(text.substr(0, colon)).c_str(), &address) != 1) return std::nullopt;
  endpoint.ip = ntohl(address.s_addr);
  const auto port = parse_number<std::uint16_t>(text.substr(colon + 1));
  if (!port) return std::nullopt;
  endpoint.port = *port;
  return endpoint;
}

FileDescriptor listen_tcp(const SocketAddress& at) {
  FileDescriptor fd = open_socket(AF_INET, SOCK_STREAM);
  const int on = 1;
  if (fd) ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  return bind_and_listen(std::move(fd), at.to_sockaddr());
}

FileDescriptor connect_tcp(const SocketAddress& to) {
  FileDescriptor fd = open_socket(AF_INET, SOCK_STREAM);
  if (!fd) return fd;
  const int on = 1;
  ::setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return try_connect(fd, to.to_sockaddr()) ? std::move(fd) : FileDescriptor();
}

FileDescriptor connect_udp(const SocketAddress& to) {
  FileDescriptor fd = open_socket(AF_INET, SOCK_DGRAM);
  return fd && try_connect(fd, to.to_sockaddr()) ? std::move(fd) : FileDescriptor();
}

FileDescriptor bind_udp(const SocketAddress& at) {
  FileDescriptor fd = open_socket(AF_INET, SOCK_DGRAM);
  const sockaddr_in address = at.to_sockaddr();
  if (!fd || ::bind(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
    return FileDescriptor();
  return fd;
}

FileDescriptor listen_unix(const std::string& path) {
  const auto address = unix_address(path);
  return address ? bind_and_listen(open_socket(AF_UNIX, SOCK_STREAM), *address) : FileDescriptor();
}

FileDescriptor connect_unix(const std::string& path) {
  const auto address = unix_address(path);
  if (!address) return FileDescriptor();
  FileDescriptor fd = open_socket(AF_UNIX, SOCK_STREAM);
  return fd && try_connect(fd, *address) ? std::move(fd) : FileDescriptor();
}

FileDescriptor adopt_listener(int number) {
  const auto option = [number](int name) {
    int value = -1;
    socklen_t size = sizeof value;
    return ::getsockopt(number, SOL_SOCKET, name, &value, &size) == 0 ? value : -1;
  };
  errno = 0;
  if (option(SO_DOMAIN) != AF_INET || option(SO_TYPE) != SOCK_STREAM || option(SO_ACCEPTCONN) != 1) {
    if (errno == 0) errno = EINVAL;
    return FileDescriptor();
  }
  const int flags = ::fcntl(number, F_GETFL);
  if (flags < 0 || ::fcntl(number, F_SETFL, flags | O_NONBLOCK) != 0 ||
      ::fcntl(number, F_SETFD, FD_CLOEXEC) != 0) {
    return FileDescriptor();
  }
  return FileDescriptor(number);
}

FileDescriptor accept_connection(const FileDescriptor& listener) {
  FileDescriptor fd(::accept4(listener.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  const int on = 1;  // fails harmlessly on a Unix socket
  if (fd) {
    const int keep = errno;
    ::setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    errno = keep;
  }
  return fd;
}

std::size_t descriptor_limit() {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) return SIZE_MAX;
  return static_cast<std::size_t>(limit.rlim_cur);
}

std::uint16_t local_port(const FileDescriptor& fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  if (::getsockname(fd.get(), reinterpret_cast<sockaddr*>(&address), &size) != 0) return 0;
  return ntohs(address.sin_port);
}

void send_best_effort(const FileDescriptor& fd, std::string_view bytes) {
  if (fd) ::send(fd.get(), bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
}

}  // namespace rookproxy
