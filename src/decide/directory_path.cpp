#include "decide/directory_path.h"

#include <algorithm>
#include <utility>

namespace rookproxy::decide {

DirectoryPath::News DirectoryPath::tell(News news) {
  return std::exchange(told_, news) == news ? News::kNone : news;
}

void DirectoryPath::opened() {
  patience_ = std::min(2 * patience_, kMostPatience);
  unanswered_ = 0;
  ++fresh_;
}

DirectoryPath::News DirectoryPath::asked() {
  const bool silent = on_all_ >= kSilent;
  ++unanswered_;
  ++on_all_;
  // A refusal says more than silence.
  return silent && told_ != News::kRefused ? tell(News::kServerSilent) : News::kNone;
}

DirectoryPath::News DirectoryPath::answered(bool first, bool whole) {
  // The one fresh socket's first question: the server was there, the former socket's path was not.
  const bool path = whole && first && fresh_ == 1 && told_ == News::kNone;
  patience_ = kFirstPatience;
  unanswered_ = on_all_ = fresh_ = 0;
  if (!whole) return tell(News::kSpoilt);
  if (path) return News::kPathSilent;
  return std::exchange(told_, News::kNone) == News::kNone ? News::kNone : News::kHeardAgain;
}

DirectoryPath::News DirectoryPath::refused() { return tell(News::kRefused); }

}  // namespace rookproxy::decide
