// A process that runs out of descriptors, at the test's word.
#pragma once

#include <fcntl.h>
#include <sys/resource.h>

#include <vector>

#include "net/file_descriptor.h"
#include "net/sockets.h"

namespace rookproxy::test {

// While it lives, this process and what it starts may hold so many descriptors. What is open stays open.
class DescriptorLimit {
 public:
  explicit DescriptorLimit(std::size_t most) {
    ::getrlimit(RLIMIT_NOFILE, &before_);
    rlimit low = before_;
    low.rlim_cur = most;
    ::setrlimit(RLIMIT_NOFILE, &low);
  }
  ~DescriptorLimit() { ::setrlimit(RLIMIT_NOFILE, &before_); }
  DescriptorLimit(const DescriptorLimit&) = delete;
  DescriptorLimit& operator=(const DescriptorLimit&) = delete;

 private:
  rlimit before_{};
};

// While it lives, a descriptor is to be had in place of one that is closed alone.
class DescriptorExhaustion {
 public:
  DescriptorExhaustion() {
    for (FileDescriptor one = another(); one; one = another()) taken_.push_back(std::move(one));
  }

 private:
  static FileDescriptor another() { return FileDescriptor(::open("/dev/null", O_RDONLY | O_CLOEXEC)); }
  DescriptorLimit limit_{256};
  std::vector<FileDescriptor> taken_;
};

}  // namespace rookproxy::test
