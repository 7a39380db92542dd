// Opens the listening sockets that a configuration names. Errors name the configuration's key.
#pragma once

#include <optional>
#include <string>

#include "net/file_descriptor.h"
#include "net/socket_address.h"
#include "net/sockets.h"

namespace rookproxy {

// Opens a listening socket. Throws ConfigError for `config_key`, or std::system_error if the system is out of
// resources.
[[nodiscard]] FileDescriptor open_listener(const SocketAddress& address, const std::string& config_key);

// Adopts the inherited listening socket `passed`, or opens one if there is none. `key_prefix` is the prefix
// of the keys `listen` and `passed_socket`. Throws like open_listener().
[[nodiscard]] FileDescriptor open_client_listener(const SocketAddress& address, std::optional<int> passed,
                                                  const std::string& key_prefix);

}  // namespace rookproxy
