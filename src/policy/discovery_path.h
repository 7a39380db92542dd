// Detects from polls, responses and refused connections whether service discovery is reachable and, if not,
// whether the network path of one socket or the server is at fault.
//
// The network path of a connected socket can fail while the server responds to other clients, for example
// when the NAT or firewall entry of the socket's source port expires. A new socket with a new source port
// then gets responses. The next scheduled poll is sent on the new socket; there is no additional poll. The
// previous socket stays open, since a late response on it is still useful.
#pragma once

#include <cstddef>

namespace rookproxy::policy {

// Tracks the reachability of service discovery over the sockets of this process.
class DiscoveryPath {
 public:
  // A change of state to be logged.
  enum class Event {
    kNone,
    kServerUnresponsive,
    kConnectionRefused,
    kMalformedResponse,
    kPathUnresponsive,
    kRecovered
  };

  // Whether the next poll should be sent on a new socket. The threshold of unanswered polls doubles with each
  // new socket, so that the responses of a slow server still arrive on an open socket.
  [[nodiscard]] bool needs_new_socket() const { return unanswered_on_socket_ >= new_socket_threshold_; }

  // To be called when a new socket was opened, which is the current one from now on.
  void on_socket_opened();

  // To be called when a poll is sent on the current socket.
  [[nodiscard]] Event on_poll_sent();

  // To be called for each response to a poll. `is_first_poll`: it answers the first poll of its socket.
  // `is_usable`: its endpoint list is complete.
  [[nodiscard]] Event on_response(bool is_first_poll, bool is_usable);

  // To be called when the server's port refuses a poll. The network path works, since the refusal arrived.
  [[nodiscard]] Event on_refused();

 private:
  // The number of consecutive unanswered polls after which the first new socket is opened.
  static constexpr std::size_t kInitialThreshold = 2;
  static constexpr std::size_t kMaxThreshold = 32;
  // The number of consecutive unanswered polls after which the server is reported as unresponsive: those of
  // the first socket and of the first new one. It also applies if no new socket can be opened.
  static constexpr std::size_t kServerUnresponsiveThreshold = 3 * kInitialThreshold;

  Event report_fault(Event fault);

  std::size_t new_socket_threshold_ = kInitialThreshold;
  // All counted since the last response on any socket.
  std::size_t unanswered_on_socket_ = 0;
  std::size_t unanswered_on_all_sockets_ = 0;
  std::size_t sockets_opened_ = 0;
  // The fault that was reported last; kNone while service discovery works.
  Event reported_fault_ = Event::kNone;
};

}  // namespace rookproxy::policy
