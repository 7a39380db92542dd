// Helpers that make a process run out of file descriptors.
#pragma once

#include <fcntl.h>
#include <sys/resource.h>

#include <utility>
#include <vector>

#include "net/file_descriptor.h"
#include "net/socket_address.h"
#include "net/sockets.h"

namespace rookproxy::test {

// Lowers the descriptor limit (RLIMIT_NOFILE) of this process and the children that it starts, until the end
// of the scope. Descriptors that are already open stay open.
class DescriptorLimit {
 public:
  explicit DescriptorLimit(std::size_t count) {
    ::getrlimit(RLIMIT_NOFILE, &former_limit_);
    rlimit lowered = former_limit_;
    lowered.rlim_cur = count;
    ::setrlimit(RLIMIT_NOFILE, &lowered);
  }
  ~DescriptorLimit() { ::setrlimit(RLIMIT_NOFILE, &former_limit_); }
  DescriptorLimit(const DescriptorLimit&) = delete;
  DescriptorLimit& operator=(const DescriptorLimit&) = delete;

 private:
  rlimit former_limit_{};
};

// Opens descriptors up to the limit and holds them until the end of the scope. A new descriptor is available
// only after another was closed.
class DescriptorExhaustion {
 public:
  DescriptorExhaustion() {
    for (FileDescriptor fd = open_placeholder(); fd; fd = open_placeholder())
      placeholders_.push_back(std::move(fd));
  }

 private:
  static constexpr std::size_t kLimit = 256;

  static FileDescriptor open_placeholder() {
    return FileDescriptor(::open("/dev/null", O_RDONLY | O_CLOEXEC));
  }

  DescriptorLimit limit_{kLimit};
  std::vector<FileDescriptor> placeholders_;
};

}  // namespace rookproxy::test
