#include "app/listeners.h"

#include <cerrno>
#include <cstring>
#include <system_error>

#include "config/config_error.h"
#include "net/file_descriptor.h"
#include "net/socket_address.h"
#include "net/sockets.h"
#include "net/system_error_class.h"

namespace rookproxy {

FileDescriptor open_listener(const SocketAddress& address, const std::string& config_key) {
  FileDescriptor listener = listen_tcp(address);
  if (!listener) {
    if (is_resource_exhaustion(errno) &&
        errno != EADDRNOTAVAIL) {  // A missing address is an error of the key.
      throw std::system_error(errno, std::generic_category(), "listen on " + address.to_string());
    }
    const std::string reason = std::strerror(errno);
    throw ConfigError(config_key, "can't listen on " + address.to_string() + ": " + reason);
  }
  return listener;
}

FileDescriptor open_client_listener(const SocketAddress& address, std::optional<int> passed,
                                    const std::string& key_prefix) {
  if (!passed) return open_listener(address, key_prefix + "listen");
  FileDescriptor listener = adopt_listener(*passed);
  if (!listener) {
    const std::string reason = std::strerror(errno);
    throw ConfigError(key_prefix + "passed_socket",
                      "descriptor " + std::to_string(*passed) + " is not a listening TCP socket: " + reason);
  }
  return listener;
}

}  // namespace rookproxy
