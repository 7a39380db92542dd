/// Processes that run out of file descriptors when a test wants it.
#pragma once

#include <fcntl.h>
#include <sys/resource.h>

#include <utility>
#include <vector>

#include "net/file_descriptor.h"
#include "net/socket_address.h"
#include "net/sockets.h"

namespace rookproxy::test {

/// Limits how many descriptors this process and its children may hold, for its scope. What is open stays
/// open.
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

/// Takes all descriptors for its scope: a new one can be had only where another was closed.
class DescriptorExhaustion {
 public:
  DescriptorExhaustion() {
    for (FileDescriptor fd = open_any(); fd; fd = open_any()) taken_.push_back(std::move(fd));
  }

 private:
  static constexpr std::size_t kLimit = 256;

  static FileDescriptor open_any() { return FileDescriptor(::open("/dev/null", O_RDONLY | O_CLOEXEC)); }

  DescriptorLimit limit_{kLimit};
  std::vector<FileDescriptor> taken_;
};

}  // namespace rookproxy::test
