#include "net/file_watch.h"

#include <sys/stat.h>

namespace rookproxy {

FileWatch::FileWatch(Loop& loop, std::vector<std::string> paths, Duration every,
                     std::function<void()> changed)
    : loop_(loop), paths_(std::move(paths)), every_(every), changed_(std::move(changed)) {
  taken_ = last_ = look();
  timer_ = loop_.at(loop_.now() + every_, [this] { turn(); });
}

std::vector<FileWatch::Look> FileWatch::look() const {
  std::vector<Look> looks;
  for (const std::string& path : paths_) {
    struct stat found {};
    Look one;
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

void FileWatch::turn() {
  timer_ = loop_.at(loop_.now() + every_, [this] { turn(); });
  const auto now = look();
  const bool settled = now == last_;
  last_ = now;
  if (!settled || now == taken_) return;
  taken_ = now;
  changed_();  // may destroy this
}

}  // namespace rookproxy
