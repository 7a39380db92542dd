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

class FileDescriptor {
 public:
  FileDescriptor() = default;
  explicit FileDescriptor(int fd) : fd_(fd) {}
  FileDescriptor(FileDescriptor&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  FileDescriptor& operator=(FileDescriptor&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  ~FileDescriptor() { reset(); }
  void reset();
  int get() const { return fd_; }
  explicit operator bool() const { return fd_ >= 0; }

 private:
  int fd_ = -1;
};

struct SocketAddress {
  std::uint32_t ip = 0;  // host order
  std::uint16_t port = 0;
  auto operator<=>(const SocketAddress&) const = default;
  std::string to_string() const;
  sockaddr_in to_sockaddr() const;
  static SocketAddress from_sockaddr(const sockaddr_in& address);
};

// Reads 'a.b.c.d:port'. Names are not looked up: the platform's resolver finds nothing.
std::optional<SocketAddress> parse_socket_address(std::string_view text);

// All of these are non-blocking and closed on exec; a failed one is empty, with errno set.
FileDescriptor listen_tcp(const SocketAddress& at);
FileDescriptor connect_tcp(const SocketAddress& to);
FileDescriptor connect_udp(const SocketAddress& to);
FileDescriptor bind_udp(const SocketAddress& at);
FileDescriptor listen_unix(const std::string& path);
FileDescriptor connect_unix(const std::string& path);
// Takes over a descriptor that was inherited, if it is a TCP socket that listens; else empty, with errno set.
// Its queue, and whether it blocks, are shared with every process that holds it: it is never shut down.
FileDescriptor adopt_listener(int number);
FileDescriptor accept_connection(const FileDescriptor& listener);
// How many descriptors this process may hold.
std::size_t descriptor_limit();
std::uint16_t local_port(const FileDescriptor& fd);
// One send, and whatever comes of it.
void send_best_effort(const FileDescriptor& fd, std::string_view bytes);

}  // namespace rookproxy
