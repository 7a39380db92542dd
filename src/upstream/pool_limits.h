// Limits and timeouts of the connections to engines.
#pragma once

#include <chrono>
#include <cstddef>

#include "base/time.h"

namespace rookproxy {

// What a ConnectionPool keeps to. The defaults are those of a deployment that configures nothing.
struct PoolLimits {
  // Connections to all engines together.
  std::size_t max_connections = 256;
  // Attempts that one connection carries at a time.
  std::size_t max_streams_per_connection = 1;
  // Attempts that one carries while more connections can be opened.
  std::size_t preferred_streams_per_connection = 1;
  Duration connect_timeout = std::chrono::milliseconds(250);
  // A connection without attempts is closed after this, well before the engine would close it.
  Duration idle_timeout = std::chrono::seconds(10);
  // A connection with open attempts that has received nothing for this long takes no more. 0: never.
  Duration unresponsive_timeout = std::chrono::milliseconds(1500);
  Duration probe_timeout = std::chrono::milliseconds(250);
  // A response that has begun has to be complete after this, or its connection is closed.
  Duration response_timeout = std::chrono::milliseconds(250);
  // The next page of a paged response has to come within this.
  Duration page_timeout = std::chrono::milliseconds(750);
  // After a cancelled attempt during which nothing was received for this long, nobody can tell whether the
  // connection still works: it takes no more.
  Duration cancel_unresponsive_timeout = std::chrono::milliseconds(250);
  // The longest time after which a request may be sent again.
  Duration request_id_retention = std::chrono::seconds(30);
};

}  // namespace rookproxy
