// IPv4 socket addresses.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace rookproxy {

// An IPv4 address and a port, both in host byte order.
struct SocketAddress {
  std::uint32_t ip = 0;
  std::uint16_t port = 0;

  auto operator<=>(const SocketAddress&) const = default;
  // Formats the address as "a.b.c.d:port".
  [[nodiscard]] std::string to_string() const;
  [[nodiscard]] sockaddr_in to_sockaddr() const;
  [[nodiscard]] static SocketAddress from_sockaddr(const sockaddr_in& address);
};

// Parses "a.b.c.d:port"; returns an empty result for any other text. Host names are not resolved.
[[nodiscard]] std::optional<SocketAddress> parse_socket_address(std::string_view text);

}  // namespace rookproxy
