#include "discovery/dns_discovery_client.h"

#include "log/log_fields.h"
#include "net/event_loop.h"
#include "net/socket_address.h"
#include "net/sockets.h"

#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

namespace rookproxy {
namespace {

using policy::DiscoveryPath;

// More than the number of queries sent from two sockets before a third one is opened.
constexpr std::size_t kMaxPendingQueries = 64;
constexpr std::size_t kDnsHeaderSize = 12;
constexpr std::size_t kMaxResponseSize = 16 * 1024;
constexpr int kDatagramsPerIteration = 64;

}  // namespace

DnsDiscoveryClient::DnsDiscoveryClient(EventLoop& loop, Logger& log, DiscoveryMetrics& metrics,
                                       const SocketAddress& server, std::string service,
                                       Duration poll_interval, const EndpointList& known, std::uint64_t seed,
                                       UpdateHandler on_update)
    : loop_(loop),
      log_(log),
      metrics_(metrics),
      server_(server),
      service_(std::move(service)),
      schedule_(poll_interval),
      list_tracker_(known, loop.now()),
      random_(seed),
      on_update_(std::move(on_update)),
      list_announced_at_(loop.now()) {
  open_socket(spare_socket());
  poll_server();
}

DnsDiscoveryClient::~DnsDiscoveryClient() {
  loop_.cancel(poll_timer_);
  for (auto& socket : sockets_) close_socket(socket);
}

void DnsDiscoveryClient::close_socket(Socket& socket) {
  if (socket.fd) loop_.unwatch(socket.key, socket.fd.get());
  socket.fd.reset();
}

bool DnsDiscoveryClient::open_socket(Socket& socket) {
  close_socket(socket);
  // A connected socket receives datagrams from the server's address only.
  socket.fd = connect_udp(server_);
  socket.used = false;
  if (socket.fd) socket.key = loop_.watch(socket.fd.get(), socket);
  if (socket.fd && socket.key != 0) {
    socket_unavailable_ = false;
    return true;
  }
  const int error = errno;
  socket.fd.reset();
  if (!std::exchange(socket_unavailable_, true)) {
    log_.write(LogLevel::kWarning, "directory",
               "cannot open a UDP socket for service discovery; retrying at each poll",
               {{"error", std::strerror(error)}});
  }
  return false;
}

void DnsDiscoveryClient::change_server(const SocketAddress& server, std::string service,
                                       Duration poll_interval) {
  loop_.cancel(poll_timer_);
  server_ = server;
  service_ = std::move(service);
  schedule_ = policy::PollSchedule(poll_interval);
  path_ = DiscoveryPath();
  pending_queries_.clear();  // Responses of the previous server cannot arrive any more.
  // Both sockets are closed before a new one is opened, so that new sockets reuse their descriptors.
  for (auto& socket : sockets_) close_socket(socket);
  open_socket(spare_socket());
  poll_server();
}

void DnsDiscoveryClient::poll_server() {
  const double draw = std::uniform_real_distribution<double>(0, 1)(random_);
  poll_timer_ = loop_.run_at(loop_.now() + schedule_.next_pause(draw), [this] { poll_server(); });
  // The new socket reuses the descriptor of the spare one. If it cannot be opened, the current one is kept.
  if (current_socket().fd && path_.needs_new_socket() && open_socket(spare_socket())) {
    current_index_ = 1 - current_index_;
    path_.on_socket_opened();
  }
  if (!current_socket().fd && !open_socket(current_socket())) return;
  unanswered_polls_.on_poll_sent(loop_.now());
  report_path_event(path_.on_poll_sent(), "");
  const auto id = static_cast<std::uint16_t>(random_());
  const bool first_on_socket = !std::exchange(current_socket().used, true);
  pending_queries_.push_back({id, loop_.now(), first_on_socket});
  if (pending_queries_.size() > kMaxPendingQueries) pending_queries_.erase(pending_queries_.begin());
  ++metrics_.polls;
  send_query(encode_dns_query(id, service_));
}

void DnsDiscoveryClient::send_query(const std::string& query) {
  for (int attempt = 0; attempt < 2; ++attempt) {
    const ssize_t sent =
        ::send(current_socket().fd.get(), query.data(), query.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent >= 0) return;
    // The kernel reports the error of an earlier datagram instead of sending; the second attempt sends.
    if (errno == ECONNREFUSED) report_path_event(path_.on_refused(), "");
  }
}

void DnsDiscoveryClient::read_responses(Socket& socket) {
  std::array<char, kMaxResponseSize> buffer;
  for (int datagram = 0; datagram < kDatagramsPerIteration; ++datagram) {
    const ssize_t received = ::recv(socket.fd.get(), buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return;
    if (received < 0 && errno == ECONNREFUSED) report_path_event(path_.on_refused(), "");
    if (received >= 0) handle_response({buffer.data(), static_cast<std::size_t>(received)});
  }
  loop_.requeue(socket.key, EPOLLIN);
}

// Returns the end of the pending queries if there is none: the response is forged, or so late that its query
// was removed.
std::vector<DnsDiscoveryClient::PendingQuery>::iterator DnsDiscoveryClient::find_query(
    std::string_view message) {
  const auto id = static_cast<std::uint16_t>(static_cast<unsigned char>(message[0]) << 8 |
                                             static_cast<unsigned char>(message[1]));
  return std::find_if(pending_queries_.begin(), pending_queries_.end(),
                      [id](const PendingQuery& query) { return query.id == id; });
}

void DnsDiscoveryClient::handle_response(std::string_view message) {
  if (message.size() < kDnsHeaderSize) return;
  const auto query = find_query(message);
  if (query == pending_queries_.end()) return;
  DnsResponse response = parse_dns_response(message, query->id, service_);
  if (response.error == DnsError::kMismatched) return;  // The actual response may still arrive.
  const bool is_usable = response.error == DnsError::kNone;
  report_path_event(path_.on_response(query->first_on_socket, is_usable), dns_error_text(response.error));
  if (!is_usable) {
    ++metrics_.unusable_responses;
    return;  // A valid response may still arrive if this one was damaged in transit.
  }
  has_endpoint_list_ = true;
  handle_list(std::move(response), *query);
}

// A response that contradicts the newest list does not complete its query, and its poll counts as unanswered:
// a lagging server may lack a list that has been announced in a response that was lost or is in transit.
void DnsDiscoveryClient::handle_list(DnsResponse response, PendingQuery& query) {
  using Ordering = EndpointListTracker::Ordering;
  const std::uint32_t version = response.version;
  const std::size_t engine_count = response.endpoints.size();
  list_announced_at_ = unanswered_polls_.earliest_announcement(schedule_.max_pause(), loop_.now());
  const bool was_contradicted = list_tracker_.is_contradicted();
  const Ordering ordering =
      list_tracker_.take({version, std::move(response.endpoints), query.sent_at, loop_.now()});
  log_list(ordering, version, engine_count, !was_contradicted && list_tracker_.is_contradicted());
  switch (ordering) {
    case Ordering::kStale:
    case Ordering::kFirstContradicting:
    case Ordering::kContradicting:
      ++metrics_.older_lists;
      break;
    case Ordering::kSame:
      ++metrics_.same_lists;
      complete_query(query);
      break;
    case Ordering::kNewer:
    case Ordering::kNewestDiscarded:
    case Ordering::kServerRestarted:
      ++metrics_.newer_lists;
      complete_query(query);
      break;
  }
  report_changed_list();
}

void DnsDiscoveryClient::complete_query(const PendingQuery& query) {
  unanswered_polls_.on_answered(query.sent_at);
  std::erase_if(pending_queries_, [id = query.id](const PendingQuery& other) { return other.id == id; });
}

void DnsDiscoveryClient::report_changed_list() {
  if (std::exchange(reported_revision_, list_tracker_.revision()) == list_tracker_.revision()) return;
  on_update_(list_tracker_.usable_endpoints());
}

void DnsDiscoveryClient::log_list(EndpointListTracker::Ordering ordering, std::uint32_t version,
                                  std::size_t engine_count, bool newly_contradicted) {
  using Ordering = EndpointListTracker::Ordering;
  const std::string serial = std::to_string(version);
  const std::string engines = std::to_string(engine_count);
  if (newly_contradicted) {
    log_.write(LogLevel::kWarning, "directory",
               "responses contradict the newest list; engines that either does not list as serving get no "
               "new requests",
               {{"serial", serial}, {"engines", engines}});
  }
  if (ordering == Ordering::kFirstContradicting) {
    log_.write(LogLevel::kWarning, "directory",
               "received a list with an older serial or other content; the newest list stays in force",
               {{"serial", serial}});
  }
  if (ordering == Ordering::kServerRestarted) {
    log_.write(LogLevel::kWarning, "directory",
               "only older serials received; assuming that service discovery restarted its serials",
               {{"serial", serial}});
  }
  if (ordering == Ordering::kNewestDiscarded) {
    log_.write(LogLevel::kWarning, "directory",
               "newest list was received once and contradicted since; discarding it", {{"serial", serial}});
  }
  if (ordering != Ordering::kNewer && ordering != Ordering::kServerRestarted &&
      ordering != Ordering::kNewestDiscarded) {
    return;
  }
  log_.write(LogLevel::kInfo, "directory", "new list",
             {{"serial", serial},
              {"engines", engines},
              {"announced_ms", milliseconds_field(loop_.now() - list_announced_at_)}});
}

void DnsDiscoveryClient::report_path_event(DiscoveryPath::Event event, std::string_view error) {
  switch (event) {
    case DiscoveryPath::Event::kNone:
      return;
    case DiscoveryPath::Event::kServerUnresponsive:
      return log_.write(LogLevel::kWarning, "directory",
                        "service discovery does not respond on any socket; the last list stays in force", {});
    case DiscoveryPath::Event::kConnectionRefused:
      return log_.write(LogLevel::kWarning, "directory",
                        "service discovery refuses queries; the last list stays in force", {});
    case DiscoveryPath::Event::kMalformedResponse:
      return log_.write(LogLevel::kWarning, "directory",
                        "service discovery responses are unusable; the last list stays in force",
                        {{"fault", std::string(error)}});
    case DiscoveryPath::Event::kPathUnresponsive:
      return log_.write(
          LogLevel::kWarning, "directory",
          "network path of the previous socket failed; service discovery responds on a new socket", {});
    case DiscoveryPath::Event::kRecovered:
      return log_.write(LogLevel::kNotice, "directory", "service discovery responds again", {});
  }
}

}  // namespace rookproxy
