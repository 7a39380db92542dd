#include "policy/directory_path.h"

#include <algorithm>
#include <utility>

namespace rookproxy::policy {

DiscoveryPath::Event DiscoveryPath::report_fault(Event news) {
  return std::exchange(reported_fault_, news) == news ? Event::kNone : news;
}

void DiscoveryPath::on_socket_opened() {
  new_socket_threshold_ = std::min(2 * new_socket_threshold_, kMaxThreshold);
  unanswered_on_socket_ = 0;
  ++sockets_opened_;
}

DiscoveryPath::Event DiscoveryPath::on_poll_sent() {
  const bool silent = unanswered_on_all_sockets_ >= kServerUnresponsiveThreshold;
  ++unanswered_on_socket_;
  ++unanswered_on_all_sockets_;
  // A refusal says more than silence.
  return silent && reported_fault_ != Event::kConnectionRefused ? report_fault(Event::kServerUnresponsive)
                                                                : Event::kNone;
}

DiscoveryPath::Event DiscoveryPath::on_response(bool first, bool whole) {
  // The one fresh socket's first question: the server was there, the former socket's path was not.
  const bool path = whole && first && sockets_opened_ == 1 && reported_fault_ == Event::kNone;
  new_socket_threshold_ = kInitialThreshold;
  unanswered_on_socket_ = unanswered_on_all_sockets_ = sockets_opened_ = 0;
  if (!whole) return report_fault(Event::kMalformedResponse);
  if (path) return Event::kPathUnresponsive;
  return std::exchange(reported_fault_, Event::kNone) == Event::kNone ? Event::kNone : Event::kRecovered;
}

DiscoveryPath::Event DiscoveryPath::on_refused() { return report_fault(Event::kConnectionRefused); }

}  // namespace rookproxy::policy
