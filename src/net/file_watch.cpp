#include "net/file_watch.h"

#include <sys/stat.h>

namespace rookproxy {

FileWatcher::FileWatcher(EventLoop& loop, std::vector<std::string> paths, Duration every,
                         std::function<void()> changed)
    : loop_(loop), paths_(std::move(paths)), interval_(every), on_change_(std::move(changed)) {
  reported_ = previous_ = read_file_states();
  timer_ = loop_.run_at(loop_.now() + interval_, [this] { check_for_change(); });
}

std::vector<FileWatcher::FileState> FileWatcher::read_file_states() const {
  std::vector<FileState> looks;
  for (const std::string& path : paths_) {
    struct stat found {};
    FileState one;
    if (::stat(path.c_str(), &found) == 0) {
      one.device = found.st_dev;
      one.inode = found.st_ino;
      one.size = static_cast<std::uint64_t>(found.st_size);
      one.changed_ns = found.st_ctim.tv_sec * 1'000'000'000LL + found.st_ctim.tv_nsec;
      one.modified_ns = found.st_mtim.tv_sec * 1'000'000'000LL + found.st_mtim.tv_nsec;
    }
    looks.push_back(one);
  }
  return looks;
}

void FileWatcher::check_for_change() {
  timer_ = loop_.run_at(loop_.now() + interval_, [this] { check_for_change(); });
  const auto now = read_file_states();
  const bool settled = now == previous_;
  previous_ = now;
  if (!settled || now == reported_) return;
  reported_ = now;
  on_change_();  // may destroy this
}

}  // namespace rookproxy
