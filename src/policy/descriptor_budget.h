// Decides how many of the process's file descriptors each part may hold, so that clients who use up theirs
// leave enough for service discovery, engines and operators.
#pragma once

#include <cstddef>

namespace rookproxy::policy {

// File descriptors by their users.
struct DescriptorBudget {
  // Standard streams, epoll and signals; a listener and its spare descriptor for each frontend and the admin
  // address; two sockets of service discovery; lock, watch, syslog and cluster, where they are enabled; and
  // some that are short-lived (a file that is reloaded, a connection that closes at the iteration's end).
  std::size_t reserved;
  // Connections of admin clients.
  std::size_t admin;
  // A third of the limit, and a little more for connections that are closing.
  std::size_t clients;
  std::size_t engines;
};

// `limit` is that of the configuration or of the process, whichever is lower. From 32 on the sum stays within
// it.
[[nodiscard]] DescriptorBudget descriptor_budget(std::size_t limit);

}  // namespace rookproxy::policy
