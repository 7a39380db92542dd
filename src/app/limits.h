// How a process divides what its configuration allows it: memory, descriptors and times.
#pragma once

#include <cstddef>

#include "config/config.h"
#include "dispatcher/dispatcher.h"
#include "upstream/connection_pool.h"

namespace rookproxy {

// How many client connections a process may have open under its limit on sockets.
[[nodiscard]] std::size_t max_client_connections(std::size_t sockets);

// How many admin connections a process may have open under its limit on sockets.
[[nodiscard]] std::size_t max_admin_connections(std::size_t sockets);

// How many bytes of statements and results may be buffered, of the memory (in MiB) that the configuration
// allows.
[[nodiscard]] std::size_t max_buffered_bytes(std::size_t memory_mb);

// The limits of the connections to engines for one of the processes that share a dispatcher's limits.
[[nodiscard]] PoolLimits pool_limits(const Config& config, std::size_t process_count);

// The limits of the dispatcher in one process.
[[nodiscard]] DispatcherLimits dispatcher_limits(const Config& config);

}  // namespace rookproxy
