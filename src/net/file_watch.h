// Files whose change is to be noticed: looked at every so often, whole or being written, renamed into place
// or not.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "net/loop.h"

namespace rookproxy {

class FileWatcher {
 public:
  // `changed` is called once what was seen of a change has been the same at two looks, so that a file that is
  // being written is left alone, and again after each further change.
  FileWatcher(EventLoop& loop, std::vector<std::string> paths, Duration every, std::function<void()> changed);
  ~FileWatcher() { loop_.cancel(timer_); }
  FileWatcher(const FileWatcher&) = delete;
  FileWatcher& operator=(const FileWatcher&) = delete;

 private:
  // What tells one state of the files from another; a file that is not there is a state as well.
  struct FileState {
    std::uint64_t device = 0, inode = 0, size = 0;
    std::int64_t changed_ns = 0, modified_ns = 0;
    bool operator==(const FileState&) const = default;
  };
  std::vector<FileState> read_file_states() const;
  void check_for_change();

  EventLoop& loop_;
  std::vector<std::string> paths_;
  Duration interval_;
  std::function<void()> on_change_;
  std::vector<FileState> reported_, previous_;
  TimerId timer_{};
};

}  // namespace rookproxy
