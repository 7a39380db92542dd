// Who may hold how many of a process's descriptors, so that clients who fill theirs leave the directory, the
// engines and the operators their own.
#pragma once

#include <cstddef>

namespace rookproxy::policy {

struct DescriptorBudget {
  // Standard streams, epoll and signals; a listener and its reserve for each front and the operators; the
  // directory's two sockets; lock, watch, syslog and peers, where they are on; and some for a moment (a file
  // that is read anew, a connection that is closed at its turn's end).
  std::size_t reserved;
  std::size_t admin;    // their calls
  std::size_t clients;  // the third that they may hold, and a little more for connections on their way out
  std::size_t engines;
};

// `limit`: of the configuration or of the process, whichever is lower; from 32 on all of them together stay
// within it.
DescriptorBudget descriptor_budget(std::size_t limit);

}  // namespace rookproxy::policy
