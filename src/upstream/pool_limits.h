// Limits and timeouts of the connections to engines.
#pragma once

#include <chrono>
#include <cstddef>

#include "base/time.h"

namespace rookproxy {

// The limits and timeouts of a ConnectionPool, with the defaults of an empty configuration.
struct PoolLimits {
  // The maximum number of connections to all engines together.
  std::size_t max_connections = 256;
  // The maximum number of concurrent attempts on one connection.
  std::size_t max_streams_per_connection = 1;
  // The number of concurrent attempts on one connection while more connections can be opened.
  std::size_t preferred_streams_per_connection = 1;
  Duration connect_timeout = std::chrono::milliseconds(250);
  // A connection without attempts is closed after this time. Shorter than the idle timeout of engines.
  Duration idle_timeout = std::chrono::seconds(10);
  // A connection with open attempts that received nothing for this long takes no new ones. 0 disables the
  // check.
  Duration unresponsive_timeout = std::chrono::milliseconds(1500);
  Duration probe_timeout = std::chrono::milliseconds(250);
  // A response must be complete this long after its first byte, or the connection is closed.
  Duration response_timeout = std::chrono::milliseconds(250);
  // The next page of a paged response must arrive within this time.
  Duration page_timeout = std::chrono::milliseconds(750);
  // If an attempt is cancelled and the connection received nothing for at least this long since it was
  // submitted, the connection takes no new attempts because it may be broken.
  Duration cancel_unresponsive_timeout = std::chrono::milliseconds(250);
  // The longest time during which a request may be repeated.
  Duration request_id_retention = std::chrono::seconds(30);
};

}  // namespace rookproxy
