#include "policy/discovery_path.h"

#include <algorithm>
#include <utility>

namespace rookproxy::policy {

DiscoveryPath::Event DiscoveryPath::report_fault(Event fault) {
  return std::exchange(reported_fault_, fault) == fault ? Event::kNone : fault;
}

void DiscoveryPath::on_socket_opened() {
  new_socket_threshold_ = std::min(2 * new_socket_threshold_, kMaxThreshold);
  unanswered_on_socket_ = 0;
  ++sockets_opened_;
}

DiscoveryPath::Event DiscoveryPath::on_poll_sent() {
  const bool is_unresponsive = unanswered_on_all_sockets_ >= kServerUnresponsiveThreshold;
  ++unanswered_on_socket_;
  ++unanswered_on_all_sockets_;
  // A refusal is the more specific fault, so it is not replaced by a missing response.
  if (!is_unresponsive || reported_fault_ == Event::kConnectionRefused) return Event::kNone;
  return report_fault(Event::kServerUnresponsive);
}

DiscoveryPath::Event DiscoveryPath::on_response(bool is_first_poll, bool is_usable) {
  // The first poll of the only new socket was answered, so the path of the previous socket had failed, not
  // the server.
  const bool path_failed =
      is_usable && is_first_poll && sockets_opened_ == 1 && reported_fault_ == Event::kNone;
  new_socket_threshold_ = kInitialThreshold;
  unanswered_on_socket_ = 0;
  unanswered_on_all_sockets_ = 0;
  sockets_opened_ = 0;
  if (!is_usable) return report_fault(Event::kMalformedResponse);
  if (path_failed) return Event::kPathUnresponsive;
  const Event previous = std::exchange(reported_fault_, Event::kNone);
  return previous == Event::kNone ? Event::kNone : Event::kRecovered;
}

DiscoveryPath::Event DiscoveryPath::on_refused() { return report_fault(Event::kConnectionRefused); }

}  // namespace rookproxy::policy
