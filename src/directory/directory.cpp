#include "directory/directory.h"

#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace rookproxy {
namespace {
using decide::DirectoryPath;
using decide::ListOrder;

constexpr std::size_t kRemembered = 64;  // questions; more than two sockets in doubt are asked
}  // namespace

DnsDirectory::DnsDirectory(Loop& loop, Log& log, const Endpoint& server, std::string service, Duration poll,
                           std::uint64_t serial, std::uint64_t seed, Told told)
    : loop_(loop),
      log_(log),
      server_(server),
      service_(std::move(service)),
      schedule_(poll),
      order_(static_cast<std::uint32_t>(serial), loop.now()),
      random_(seed),
      told_(std::move(told)),
      told_since_(loop.now()) {
  open(former());
  ask();
}

DnsDirectory::~DnsDirectory() {
  loop_.cancel(timer_);
  for (auto& socket : sockets_) close(socket);
}

void DnsDirectory::close(Socket& socket) {
  if (socket.fd) loop_.unwatch(socket.key, socket.fd.get());
  socket.fd.reset();
}

bool DnsDirectory::open(Socket& socket) {
  close(socket);
  // Connected, so the kernel passes on only what comes from the server's address.
  socket.fd = connect_udp(server_);
  socket.asked = false;
  if (socket.fd && (socket.key = loop_.watch(socket.fd.get(), socket)) != 0) {
    no_socket_ = false;
    return true;
  }
  const int why = errno;
  socket.fd.reset();
  if (!std::exchange(no_socket_, true)) {
    log_.line(Level::kWarning, "directory", "no socket to ask from; tried again with each question",
              {{"error", std::strerror(why)}});
  }
  return false;
}

void DnsDirectory::move_to(const Endpoint& server, std::string service, Duration poll) {
  loop_.cancel(timer_);
  server_ = server;
  service_ = std::move(service);
  schedule_ = decide::PollSchedule(poll);
  path_ = DirectoryPath();
  asked_.clear();  // an answer of the former server can't arrive any more
  // Both are closed before one is opened: their descriptors are what the new ones take.
  for (auto& socket : sockets_) close(socket);
  open(former());
  ask();
}

void DnsDirectory::ask() {
  const double draw = std::uniform_real_distribution<double>(0, 1)(random_);
  timer_ = loop_.at(loop_.now() + schedule_.next(draw), [this] { ask(); });
  // The former one gives its descriptor to the fresh one; if that can't be had, the present one goes on.
  if (present().fd && path_.wants_fresh() && open(former())) {
    present_ = 1 - present_;
    path_.opened();
  }
  if (!present().fd && !open(present())) return;
  if (!first_unheard_) first_unheard_ = loop_.now();
  tell(path_.asked(), "");
  const auto id = static_cast<std::uint16_t>(random_());
  asked_.push_back({id, loop_.now(), !std::exchange(present().asked, true)});
  if (asked_.size() > kRemembered) asked_.erase(asked_.begin());
  send(dns_query(id, service_));
}

void DnsDirectory::send(const std::string& query) {
  for (int tries = 0; tries < 2; ++tries) {
    if (::send(present().fd.get(), query.data(), query.size(), MSG_DONTWAIT | MSG_NOSIGNAL) >= 0) return;
    // What an earlier datagram met is told here in place of sending; the next try sends.
    if (errno == ECONNREFUSED) tell(path_.refused(), "");
  }
}

void DnsDirectory::read(Socket& socket) {
  char buffer[16 * 1024];
  for (int i = 0; i < 64; ++i) {
    const ssize_t got = ::recv(socket.fd.get(), buffer, sizeof buffer, MSG_DONTWAIT);
    if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return;
    if (got < 0 && errno == ECONNREFUSED) tell(path_.refused(), "");
    if (got >= 0) take({buffer, static_cast<std::size_t>(got)});
  }
  loop_.again(socket.key, EPOLLIN);
}

void DnsDirectory::take(std::string_view message) {
  if (message.size() < 12) return;
  const auto id = static_cast<std::uint16_t>(static_cast<unsigned char>(message[0]) << 8 |
                                             static_cast<unsigned char>(message[1]));
  const auto asked =
      std::find_if(asked_.begin(), asked_.end(), [id](const Question& q) { return q.id == id; });
  if (asked == asked_.end()) return;  // forged, or so late that we forgot the question
  const DnsList list = parse_dns(message, id, service_);
  if (list.fault == DnsFault::kForged) return;  // the true answer may still come under this id
  tell(path_.answered(asked->first, list.fault == DnsFault::kNone), dns_fault_text(list.fault));
  if (list.fault != DnsFault::kNone) return;  // a whole one may still come, as what is spoilt on the way does
  const Time asked_at = asked->at;
  asked_.erase(asked);
  answered_ = true;
  told_since_ = decide::told_since(first_unheard_, schedule_.longest_pause(), loop_.now());
  // What was asked before may be answered late, but with no news that this answer had not.
  const auto later =
      std::find_if(asked_.begin(), asked_.end(), [asked_at](const Question& q) { return q.at > asked_at; });
  if (!first_unheard_ || *first_unheard_ <= asked_at) {
    first_unheard_ = later == asked_.end() ? std::nullopt : std::optional(later->at);
  }
  const auto fields = [&list] {
    return std::pair<LogField, LogField>{{"serial", std::to_string(list.serial)},
                                         {"engines", std::to_string(list.members.size())}};
  };
  switch (order_.place(list.serial, asked_at, loop_.now())) {
    case ListOrder::Place::kSame:
    case ListOrder::Place::kOlder:
      return;
    case ListOrder::Place::kWentBack:
      log_.line(Level::kWarning, "directory", "the serial went back; the newer list stays in force for now",
                {fields().first});
      return;
    case ListOrder::Place::kStartedAnew:
      log_.line(Level::kWarning, "directory", "older serials alone: the directory counts anew",
                {fields().first});
      break;
    case ListOrder::Place::kNewer:
      break;
  }
  log_.line(Level::kInfo, "directory", "new list", {fields().first, fields().second});
  told_(list.members);
}

void DnsDirectory::tell(DirectoryPath::News news, std::string_view why) {
  switch (news) {
    case DirectoryPath::News::kNone:
      return;
    case DirectoryPath::News::kServerSilent:
      return log_.line(Level::kWarning, "directory",
                       "no answers on any socket: the server is silent; the last list stays in force", {});
    case DirectoryPath::News::kRefused:
      return log_.line(Level::kWarning, "directory",
                       "refused: nobody listens there; the last list stays in force", {});
    case DirectoryPath::News::kSpoilt:
      return log_.line(Level::kWarning, "directory", "answers can't be used; the last list stays in force",
                       {{"fault", std::string(why)}});
    case DirectoryPath::News::kPathSilent:
      return log_.line(Level::kWarning, "directory",
                       "the path of a socket was silent, the server was not: a fresh socket is answered", {});
    case DirectoryPath::News::kHeardAgain:
      return log_.line(Level::kNotice, "directory", "answers again", {});
  }
}

}  // namespace rookproxy
