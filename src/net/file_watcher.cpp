#include "net/file_watcher.h"

#include <sys/stat.h>

#include <utility>

namespace rookproxy {
namespace {

std::int64_t to_nanoseconds(const timespec& time) { return time.tv_sec * 1'000'000'000LL + time.tv_nsec; }

}  // namespace

FileWatcher::FileWatcher(EventLoop& loop, std::vector<std::string> paths, Duration interval,
                         std::function<void()> on_change)
    : loop_(loop),
      paths_(std::move(paths)),
      interval_(interval),
      on_change_(std::move(on_change)),
      reported_(read_file_states()),
      previous_(reported_),
      timer_(loop) {
  schedule_check();
}

std::vector<FileWatcher::FileState> FileWatcher::read_file_states() const {
  std::vector<FileState> states;
  for (const std::string& path : paths_) {
    struct stat status {};
    FileState state;
    if (::stat(path.c_str(), &status) == 0) {
      state.device = status.st_dev;
      state.inode = status.st_ino;
      state.size = static_cast<std::uint64_t>(status.st_size);
      state.changed_ns = to_nanoseconds(status.st_ctim);
      state.modified_ns = to_nanoseconds(status.st_mtim);
    }
    states.push_back(state);
  }
  return states;
}

void FileWatcher::schedule_check() {
  timer_.set(loop_.now() + interval_, [this] { check_for_change(); });
}

void FileWatcher::check_for_change() {
  schedule_check();
  const std::vector<FileState> current = read_file_states();
  const bool settled = current == previous_;
  previous_ = current;
  if (!settled || current == reported_) return;
  reported_ = current;
  on_change_();  // May destroy this object.
}

}  // namespace rookproxy
