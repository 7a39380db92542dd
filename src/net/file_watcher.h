// Detects changes of files by polling, including replacement by a rename.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "net/event_loop.h"
#include "net/timer.h"

namespace rookproxy {

// Polls a set of files and calls a callback on the event loop's thread once a change is stable.
class FileWatcher {
 public:
  // Calls `on_change` after each change, once the new state was the same in two consecutive polls, so that a
  // file that is still being written is not reported. The callback may destroy this object.
  FileWatcher(EventLoop& loop, std::vector<std::string> paths, Duration interval,
              std::function<void()> on_change);

 private:
  // The attributes that identify a state of a file. A file that does not exist has the default state.
  struct FileState {
    std::uint64_t device = 0;
    std::uint64_t inode = 0;
    std::uint64_t size = 0;
    std::int64_t changed_ns = 0;
    std::int64_t modified_ns = 0;

    bool operator==(const FileState&) const = default;
  };

  [[nodiscard]] std::vector<FileState> read_file_states() const;
  void schedule_check();
  void check_for_change();

  EventLoop& loop_;
  std::vector<std::string> paths_;
  Duration interval_;
  std::function<void()> on_change_;
  std::vector<FileState> reported_;
  std::vector<FileState> previous_;
  Timer timer_;
};

}  // namespace rookproxy
