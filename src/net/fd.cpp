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
constexpr int kBacklog = 4096;

Fd new_socket(int family, int type) { return Fd(::socket(family, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)); }

template <class Address>
bool try_connect(const Fd& fd, const Address& address) {
  return ::connect(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 ||
         errno == EINPROGRESS;
}

template <class Address>
Fd bound_listener(Fd fd, const Address& address) {
  if (!fd || ::bind(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(fd.get(), kBacklog) != 0) {
    return Fd();
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

void Fd::reset() {
  if (fd_ >= 0) ::close(fd_);
  fd_ = -1;
}

std::string Endpoint::text() const {
  in_addr address{htonl(ip)};
  char out[INET_ADDRSTRLEN] = "";
  ::inet_ntop(AF_INET, &address, out, sizeof out);
  return std::string(out) + ":" + std::to_string(port);
}

sockaddr_in Endpoint::socket_address() const {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(ip);
  address.sin_port = htons(port);
  return address;
}

Endpoint Endpoint::of(const sockaddr_in& address) {
  return {ntohl(address.sin_addr.s_addr), ntohs(address.sin_port)};
}

std::optional<Endpoint> parse_endpoint(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == text.npos) return std::nullopt;
  Endpoint endpoint;
  in_addr address{};
  if (::inet_pton(AF_INET, std::string(text.substr(0, colon)).c_str(), &address) != 1) return std::nullopt;
  endpoint.ip = ntohl(address.s_addr);
  const auto port = parse_number<std::uint16_t>(text.substr(colon + 1));
  if (!port) return std::nullopt;
  endpoint.port = *port;
  return endpoint;
}

Fd listen_tcp(const Endpoint& at) {
  Fd fd = new_socket(AF_INET, SOCK_STREAM);
  const int on = 1;
  if (fd) ::setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  return bound_listener(std::move(fd), at.socket_address());
}

Fd connect_tcp(const Endpoint& to) {
  Fd fd = new_socket(AF_INET, SOCK_STREAM);
  if (!fd) return fd;
  const int on = 1;
  ::setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return try_connect(fd, to.socket_address()) ? std::move(fd) : Fd();
}

Fd connect_udp(const Endpoint& to) {
  Fd fd = new_socket(AF_INET, SOCK_DGRAM);
  return fd && try_connect(fd, to.socket_address()) ? std::move(fd) : Fd();
}

Fd bind_udp(const Endpoint& at) {
  Fd fd = new_socket(AF_INET, SOCK_DGRAM);
  const sockaddr_in address = at.socket_address();
  if (!fd || ::bind(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) return Fd();
  return fd;
}

Fd listen_unix(const std::string& path) {
  const auto address = unix_address(path);
  return address ? bound_listener(new_socket(AF_UNIX, SOCK_STREAM), *address) : Fd();
}

Fd connect_unix(const std::string& path) {
  const auto address = unix_address(path);
  if (!address) return Fd();
  Fd fd = new_socket(AF_UNIX, SOCK_STREAM);
  return fd && try_connect(fd, *address) ? std::move(fd) : Fd();
}

Fd adopt_listener(int number) {
  const auto option = [number](int name) {
    int value = -1;
    socklen_t size = sizeof value;
    return ::getsockopt(number, SOL_SOCKET, name, &value, &size) == 0 ? value : -1;
  };
  errno = 0;
  if (option(SO_DOMAIN) != AF_INET || option(SO_TYPE) != SOCK_STREAM || option(SO_ACCEPTCONN) != 1) {
    if (errno == 0) errno = EINVAL;
    return Fd();
  }
  const int flags = ::fcntl(number, F_GETFL);
  if (flags < 0 || ::fcntl(number, F_SETFL, flags | O_NONBLOCK) != 0 ||
      ::fcntl(number, F_SETFD, FD_CLOEXEC) != 0) {
    return Fd();
  }
  return Fd(number);
}

Fd accept_from(const Fd& listener) {
  Fd fd(::accept4(listener.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
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

std::uint16_t local_port(const Fd& fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  if (::getsockname(fd.get(), reinterpret_cast<sockaddr*>(&address), &size) != 0) return 0;
  return ntohs(address.sin_port);
}

void send_best_effort(const Fd& fd, std::string_view bytes) {
  if (fd) ::send(fd.get(), bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
}

}  // namespace rookproxy
