// Opening the sockets that a configuration names, with errors that name its keys.
#pragma once

#include <optional>
#include <string>

#include "net/file_descriptor.h"
#include "net/socket_address.h"
#include "net/sockets.h"

namespace rookproxy {

// Opens a listening socket. Throws ConfigError for `config_key` if that fails.
[[nodiscard]] FileDescriptor open_listener(const SocketAddress& address, const std::string& config_key);

// Adopts the listening socket `passed` that the process has inherited, or opens one where there is none.
// `key_prefix` is that of the keys `listen` and `passed_socket`. Throws ConfigError.
[[nodiscard]] FileDescriptor open_client_listener(const SocketAddress& address, std::optional<int> passed,
                                                  const std::string& key_prefix);

}  // namespace rookproxy
