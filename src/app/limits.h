// How a process divides what its configuration allows it: memory, descriptors and times.
#pragma once

#include <cstddef>

#include "config/config.h"
#include "dispatcher/dispatcher.h"
#include "upstream/connection_pool.h"

namespace rookproxy {

// How many connections of clients a process may hold by its limit on sockets.
[[nodiscard]] std::size_t max_client_connections(std::size_t sockets);

// How many connections of operators a process may hold by its limit on sockets.
[[nodiscard]] std::size_t max_admin_connections(std::size_t sockets);

// How many bytes of statements and results may be buffered, of the memory that the configuration allows.
[[nodiscard]] std::size_t max_buffered_bytes(std::size_t memory_mb);

// The limits of the connections to engines, of a dispatcher that so many processes stand in for.
[[nodiscard]] PoolLimits pool_limits(const Config& config, std::size_t process_count);

[[nodiscard]] DispatcherLimits dispatcher_limits(const Config& config);

}  // namespace rookproxy
