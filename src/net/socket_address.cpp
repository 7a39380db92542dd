#include "net/socket_address.h"

#include <arpa/inet.h>

#include "base/numbers.h"

namespace rookproxy {

std::string SocketAddress::to_string() const {
  const in_addr address{htonl(ip)};
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
  in_addr ip{};
  if (::inet_pton(AF_INET, std::string(text.substr(0, colon)).c_str(), &ip) != 1) return std::nullopt;
  const auto port = parse_number<std::uint16_t>(text.substr(colon + 1));
  if (!port) return std::nullopt;
  return SocketAddress{ntohl(ip.s_addr), *port};
}

}  // namespace rookproxy
