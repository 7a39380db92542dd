// Divides the file descriptors of the process among its components, so that clients cannot take those that
// service discovery, engines and operators need.
#pragma once

#include <cstddef>

namespace rookproxy::policy {

// The number of file descriptors for each purpose.
struct DescriptorBudget {
  // Standard streams, epoll and signals; a listener and its spare descriptor for each frontend and the admin
  // address; two sockets of service discovery; lock, file watch, syslog and cluster, where they are enabled;
  // and short-lived ones (a file being reloaded, a connection to be closed at the end of the iteration).
  std::size_t reserved;
  // Connections of admin clients.
  std::size_t admin;
  // Connections of clients, including those that are closing.
  std::size_t clients;
  // Connections to engines.
  std::size_t engines;
};

// `limit` is the lower one of the configured limit and the limit of the process. For limits of at least 32
// the sum of all parts does not exceed it.
[[nodiscard]] DescriptorBudget descriptor_budget(std::size_t limit);

}  // namespace rookproxy::policy
