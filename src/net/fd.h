// Descriptors, addresses and the few socket calls the program makes.
#pragma once

#include <netinet/in.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace rookproxy {

class Fd {
 public:
  Fd() = default;
  explicit Fd(int fd) : fd_(fd) {}
  Fd(Fd&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Fd& operator=(Fd&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  ~Fd() { reset(); }
  void reset();
  int get() const { return fd_; }
  explicit operator bool() const { return fd_ >= 0; }

 private:
  int fd_ = -1;
};

struct Endpoint {
  std::uint32_t ip = 0;  // host order
  std::uint16_t port = 0;
  auto operator<=>(const Endpoint&) const = default;
  std::string text() const;
  sockaddr_in socket_address() const;
  static Endpoint of(const sockaddr_in& address);
};

// Reads 'a.b.c.d:port'. Names are not looked up: the platform's resolver finds nothing.
std::optional<Endpoint> parse_endpoint(std::string_view text);

// All of these are non-blocking and closed on exec; a failed one is empty, with errno set.
Fd listen_tcp(const Endpoint& at);
Fd connect_tcp(const Endpoint& to);
Fd connect_udp(const Endpoint& to);
Fd bind_udp(const Endpoint& at);
Fd listen_unix(const std::string& path);
Fd connect_unix(const std::string& path);
// Takes over a descriptor that was inherited, if it is a TCP socket that listens; else empty, with errno set.
// Its queue, and whether it blocks, are shared with every process that holds it: it is never shut down.
Fd adopt_listener(int number);
Fd accept_from(const Fd& listener);
// How many descriptors this process may hold.
std::size_t descriptor_limit();
std::uint16_t local_port(const Fd& fd);
// One send, and whatever comes of it.
void send_best_effort(const Fd& fd, std::string_view bytes);

}  // namespace rookproxy
