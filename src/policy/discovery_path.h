// Decides whether service discovery is reachable and, if not, whether the path of one socket or the server
// itself is unresponsive, from the order of polls, responses and refusals alone.
//
// A path can stop working under a connected socket (its source port's entry in a NAT or firewall expired)
// while the server responds to everybody else. Then only a new socket, with a new source port, gets
// responses. This costs no poll of its own: the next scheduled poll goes out on the new socket. The previous
// socket stays open, since a late response on it still carries information.
#pragma once

#include <cstddef>

namespace rookproxy::policy {

// The reachability of service discovery over the sockets of this process.
class DiscoveryPath {
 public:
  // A change of state that operators are told about, each once.
  enum class Event {
    kNone,
    kServerUnresponsive,
    kConnectionRefused,
    kMalformedResponse,
    kPathUnresponsive,
    kRecovered
  };

  // Whether the next poll should go out on a new socket. The threshold of unanswered polls doubles with each
  // new socket: the responses of a slow server must still find their socket open.
  [[nodiscard]] bool needs_new_socket() const { return unanswered_on_socket_ >= new_socket_threshold_; }

  // A new socket was opened and is the current one now.
  void on_socket_opened();

  // A poll is sent on the current socket.
  [[nodiscard]] Event on_poll_sent();

  // A response to one of the polls came. `is_first_poll`: it answers the first poll of its socket.
  // `is_usable`: its endpoint list is complete.
  [[nodiscard]] Event on_response(bool is_first_poll, bool is_usable);

  // Nothing listens at the server's port. The refusal came back over the path, so the path works.
  [[nodiscard]] Event on_refused();

 private:
  // One lost response is ordinary; two in a row are investigated.
  static constexpr std::size_t kInitialThreshold = 2;
  static constexpr std::size_t kMaxThreshold = 32;
  // All polls of the first socket and of a new one went unanswered, so not just one path is at fault. The
  // number is the same where no new socket can be opened.
  static constexpr std::size_t kServerUnresponsiveThreshold = 3 * kInitialThreshold;

  Event report_fault(Event fault);

  std::size_t new_socket_threshold_ = kInitialThreshold;
  // Each counted since the last response on any socket.
  std::size_t unanswered_on_socket_ = 0;
  std::size_t unanswered_on_all_sockets_ = 0;
  std::size_t sockets_opened_ = 0;
  // The fault operators were told about last; kNone while everything works.
  Event reported_fault_ = Event::kNone;
};

}  // namespace rookproxy::policy
