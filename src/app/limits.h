// Derives the limits of a process's components from its configuration: memory, descriptors and timeouts.
#pragma once

#include <cstddef>

#include "config/config.h"
#include "dispatcher/dispatcher.h"
#include "upstream/connection_pool.h"

namespace rookproxy {

// The maximum number of client connections of a process with this limit on sockets.
[[nodiscard]] std::size_t max_client_connections(std::size_t sockets);

// The maximum number of connections to the admin address of a process with this limit on sockets.
[[nodiscard]] std::size_t max_admin_connections(std::size_t sockets);

// The limits of the connections to engines for one of `process_count` processes of a dispatcher.
[[nodiscard]] PoolLimits pool_limits(const Config& config, std::size_t process_count);

[[nodiscard]] DispatcherLimits dispatcher_limits(const Config& config);

}  // namespace rookproxy
