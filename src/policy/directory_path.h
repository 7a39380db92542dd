// Is the directory heard, and if not, what is silent: the path of one socket, or the server? From the order
// of questions, answers and refusals alone.
//
// A path may die under a socket that is connected (its source port's entry in a NAT or a firewall is gone)
// while the server answers everybody else: then only a fresh socket, with a new source port, is heard. It
// costs no question of its own: the schedule's next one goes from there. The former socket is kept, since a
// late answer on it still tells something.
#pragma once

#include <cstddef>

namespace rookproxy::policy {

class DiscoveryPath {
 public:
  // What an operator is told, once for each change.
  enum class Event {
    kNone,
    kServerUnresponsive,
    kConnectionRefused,
    kMalformedResponse,
    kPathUnresponsive,
    kRecovered
  };

  // Is the next question to go from a fresh socket? Once so many on the present one went unanswered, and
  // twice as many each further time: a server that answers, but late, must find the socket still open.
  bool needs_new_socket() const { return unanswered_on_socket_ >= new_socket_threshold_; }
  // A fresh socket was had, and the present one is the former now.
  void on_socket_opened();
  // A question goes out on the present socket.
  Event on_poll_sent();
  // An answer to a question of ours came, whole (its list may be used) or not; `first`: to the first that was
  // asked on its socket.
  Event on_response(bool first, bool whole);
  // Nobody listens there: the path brought that back, so it is not silent.
  Event on_refused();

 private:
  // One answer lost is nothing unusual; two in a row are looked into.
  static constexpr std::size_t kInitialThreshold = 2, kMaxThreshold = 32;
  // All questions of the first socket and of a fresh one: it is not the path of one. So many also where no
  // fresh socket is to be had.
  static constexpr std::size_t kServerUnresponsiveThreshold = 3 * kInitialThreshold;
  Event report_fault(Event news);

  std::size_t new_socket_threshold_ = kInitialThreshold;
  std::size_t unanswered_on_socket_ = 0;       // on the present socket, since an answer came on any
  std::size_t unanswered_on_all_sockets_ = 0;  // on all sockets
  std::size_t sockets_opened_ = 0;             // sockets opened since then
  Event reported_fault_ = Event::kNone;        // the fault an operator knows of; none: all is well
};

}  // namespace rookproxy::policy
