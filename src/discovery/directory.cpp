#include "discovery/directory.h"

#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace rookproxy {
namespace {
using policy::DiscoveryPath;
using policy::EndpointListVersion;

constexpr std::size_t kMaxPendingQueries = 64;  // questions; more than two sockets in doubt are asked
}  // namespace

DnsDiscoveryClient::DnsDiscoveryClient(EventLoop& loop, Logger& log, const SocketAddress& server,
                                       std::string service, Duration poll, std::uint64_t serial,
                                       std::uint64_t seed, UpdateHandler told)
    : loop_(loop),
      log_(log),
      server_(server),
      service_(std::move(service)),
      schedule_(poll),
      order_(static_cast<std::uint32_t>(serial), loop.now()),
      random_(seed),
      update_handler_(std::move(told)),
      list_effective_since_(loop.now()) {
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
  // Connected, so the kernel passes on only what comes from the server's address.
  socket.fd = connect_udp(server_);
  socket.used = false;
  if (socket.fd && (socket.key = loop_.watch(socket.fd.get(), socket)) != 0) {
    socket_unavailable_ = false;
    return true;
  }
  const int why = errno;
  socket.fd.reset();
  if (!std::exchange(socket_unavailable_, true)) {
    log_.write(LogLevel::kWarning, "directory", "no socket to ask from; tried again with each question",
               {{"error", std::strerror(why)}});
  }
  return false;
}

void DnsDiscoveryClient::change_server(const SocketAddress& server, std::string service, Duration poll) {
  loop_.cancel(poll_timer_);
  server_ = server;
  service_ = std::move(service);
  schedule_ = policy::PollSchedule(poll);
  path_ = DiscoveryPath();
  pending_queries_.clear();  // an answer of the former server can't arrive any more
  // Both are closed before one is opened: their descriptors are what the new ones take.
  for (auto& socket : sockets_) close_socket(socket);
  open_socket(spare_socket());
  poll_server();
}

void DnsDiscoveryClient::poll_server() {
  const double draw = std::uniform_real_distribution<double>(0, 1)(random_);
  poll_timer_ = loop_.run_at(loop_.now() + schedule_.next_pause(draw), [this] { poll_server(); });
  // The former one gives its descriptor to the fresh one; if that can't be had, the present one goes on.
  if (current_socket().fd && path_.needs_new_socket() && open_socket(spare_socket())) {
    current_index_ = 1 - current_index_;
    path_.on_socket_opened();
  }
  if (!current_socket().fd && !open_socket(current_socket())) return;
  if (!first_unanswered_at_) first_unanswered_at_ = loop_.now();
  report_path_state(path_.on_poll_sent(), "");
  const auto id = static_cast<std::uint16_t>(random_());
  pending_queries_.push_back({id, loop_.now(), !std::exchange(current_socket().used, true)});
  if (pending_queries_.size() > kMaxPendingQueries) pending_queries_.erase(pending_queries_.begin());
  send_query(encode_dns_query(id, service_));
}

void DnsDiscoveryClient::send_query(const std::string& query) {
  for (int tries = 0; tries < 2; ++tries) {
    if (::send(current_socket().fd.get(), query.data(), query.size(), MSG_DONTWAIT | MSG_NOSIGNAL) >= 0)
      return;
    // What an earlier datagram met is told here in place of sending; the next try sends.
    if (errno == ECONNREFUSED) report_path_state(path_.on_refused(), "");
  }
}

void DnsDiscoveryClient::read_responses(Socket& socket) {
  char buffer[16 * 1024];
  for (int i = 0; i < 64; ++i) {
    const ssize_t got = ::recv(socket.fd.get(), buffer, sizeof buffer, MSG_DONTWAIT);
    if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return;
    if (got < 0 && errno == ECONNREFUSED) report_path_state(path_.on_refused(), "");
    if (got >= 0) handle_response({buffer, static_cast<std::size_t>(got)});
  }
  loop_.requeue(socket.key, EPOLLIN);
}

void DnsDiscoveryClient::handle_response(std::string_view message) {
  if (message.size() < 12) return;
  const auto id = static_cast<std::uint16_t>(static_cast<unsigned char>(message[0]) << 8 |
                                             static_cast<unsigned char>(message[1]));
  const auto asked = std::find_if(pending_queries_.begin(), pending_queries_.end(),
                                  [id](const PendingQuery& q) { return q.id == id; });
  if (asked == pending_queries_.end()) return;  // forged, or so late that we forgot the question
  const DnsResponse list = parse_dns_response(message, id, service_);
  if (list.error == DnsError::kMismatched) return;  // the true answer may still come under this id
  report_path_state(path_.on_response(asked->first_on_socket, list.error == DnsError::kNone),
                    dns_error_text(list.error));
  if (list.error != DnsError::kNone) return;  // a whole one may still come, as what is spoilt on the way does
  const Time asked_at = asked->sent_at;
  pending_queries_.erase(asked);
  has_endpoint_list_ = true;
  list_effective_since_ = policy::announced_since(first_unanswered_at_, schedule_.max_pause(), loop_.now());
  // What was asked before may be answered late, but with no news that this answer had not.
  const auto later = std::find_if(pending_queries_.begin(), pending_queries_.end(),
                                  [asked_at](const PendingQuery& q) { return q.sent_at > asked_at; });
  if (!first_unanswered_at_ || *first_unanswered_at_ <= asked_at) {
    first_unanswered_at_ = later == pending_queries_.end() ? std::nullopt : std::optional(later->sent_at);
  }
  const auto fields = [&list] {
    return std::pair<LogField, LogField>{{"serial", std::to_string(list.version)},
                                         {"engines", std::to_string(list.endpoints.size())}};
  };
  switch (order_.classify(list.version, asked_at, loop_.now())) {
    case EndpointListVersion::Ordering::kSame:
    case EndpointListVersion::Ordering::kOlder:
      return;
    case EndpointListVersion::Ordering::kSuspectedRestart:
      log_.write(LogLevel::kWarning, "directory",
                 "the serial went back; the newer list stays in force for now", {fields().first});
      return;
    case EndpointListVersion::Ordering::kServerRestarted:
      log_.write(LogLevel::kWarning, "directory", "older serials alone: the directory counts anew",
                 {fields().first});
      break;
    case EndpointListVersion::Ordering::kNewer:
      break;
  }
  log_.write(LogLevel::kInfo, "directory", "new list", {fields().first, fields().second});
  update_handler_(list.endpoints);
}

void DnsDiscoveryClient::report_path_state(DiscoveryPath::Event news, std::string_view why) {
  switch (news) {
    case DiscoveryPath::Event::kNone:
      return;
    case DiscoveryPath::Event::kServerUnresponsive:
      return log_.write(LogLevel::kWarning, "directory",
                        "no answers on any socket: the server is silent; the last list stays in force", {});
    case DiscoveryPath::Event::kConnectionRefused:
      return log_.write(LogLevel::kWarning, "directory",
                        "refused: nobody listens there; the last list stays in force", {});
    case DiscoveryPath::Event::kMalformedResponse:
      return log_.write(LogLevel::kWarning, "directory",
                        "answers can't be used; the last list stays in force", {{"fault", std::string(why)}});
    case DiscoveryPath::Event::kPathUnresponsive:
      return log_.write(LogLevel::kWarning, "directory",
                        "the path of a socket was silent, the server was not: a fresh socket is answered",
                        {});
    case DiscoveryPath::Event::kRecovered:
      return log_.write(LogLevel::kNotice, "directory", "answers again", {});
  }
}

}  // namespace rookproxy
