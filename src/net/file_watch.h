// Files whose change is to be noticed: looked at every so often, whole or being written, renamed into place
// or not.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "net/loop.h"

namespace rookproxy {

class FileWatch {
 public:
  // `changed` is called once what was seen of a change has been the same at two looks, so that a file that is
  // being written is left alone, and again after each further change.
  FileWatch(Loop& loop, std::vector<std::string> paths, Duration every, std::function<void()> changed);
  ~FileWatch() { loop_.cancel(timer_); }
  FileWatch(const FileWatch&) = delete;
  FileWatch& operator=(const FileWatch&) = delete;

 private:
  // What tells one state of the files from another; a file that is not there is a state as well.
  struct Look {
    std::uint64_t device = 0, inode = 0, size = 0;
    std::int64_t changed_ns = 0, modified_ns = 0;
    bool operator==(const Look&) const = default;
  };
  std::vector<Look> look() const;
  void turn();

  Loop& loop_;
  std::vector<std::string> paths_;
  Duration every_;
  std::function<void()> changed_;
  std::vector<Look> taken_, last_;
  TimerKey timer_{};
};

}  // namespace rookproxy
