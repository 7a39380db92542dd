// Is the directory heard, and if not, what is silent: the path of one socket, or the server? From the order
// of questions, answers and refusals alone.
//
// A path may die under a socket that is connected (its source port's entry in a NAT or a firewall is gone)
// while the server answers everybody else: then only a fresh socket, with a new source port, is heard. It
// costs no question of its own: the schedule's next one goes from there. The former socket is kept, since a
// late answer on it still tells something.
#pragma once

#include <cstddef>

namespace rookproxy::decide {

class DirectoryPath {
 public:
  // What an operator is told, once for each change.
  enum class News { kNone, kServerSilent, kRefused, kSpoilt, kPathSilent, kHeardAgain };

  // Is the next question to go from a fresh socket? Once so many on the present one went unanswered, and
  // twice as many each further time: a server that answers, but late, must find the socket still open.
  bool wants_fresh() const { return unanswered_ >= patience_; }
  // A fresh socket was had, and the present one is the former now.
  void opened();
  // A question goes out on the present socket.
  News asked();
  // An answer to a question of ours came, whole (its list may be used) or not; `first`: to the first that was
  // asked on its socket.
  News answered(bool first, bool whole);
  // Nobody listens there: the path brought that back, so it is not silent.
  News refused();

 private:
  // One answer lost is nothing unusual; two in a row are looked into.
  static constexpr std::size_t kFirstPatience = 2, kMostPatience = 32;
  // All questions of the first socket and of a fresh one: it is not the path of one. So many also where no
  // fresh socket is to be had.
  static constexpr std::size_t kSilent = 3 * kFirstPatience;
  News tell(News news);

  std::size_t patience_ = kFirstPatience;
  std::size_t unanswered_ = 0;  // on the present socket, since an answer came on any
  std::size_t on_all_ = 0;      // on all sockets
  std::size_t fresh_ = 0;       // sockets opened since then
  News told_ = News::kNone;     // the fault an operator knows of; none: all is well
};

}  // namespace rookproxy::decide
