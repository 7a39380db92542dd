#include "directory/directory.h"

#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

namespace rookproxy {
namespace {
constexpr std::size_t kRemembered = 16;
constexpr Duration kSilence = std::chrono::seconds(2);
}  // namespace

DnsDirectory::DnsDirectory(Loop& loop, Log& log, const Endpoint& server, std::string service, Duration poll,
                           std::uint64_t serial, std::uint64_t seed, Told told)
    : loop_(loop),
      log_(log),
      server_(server),
      service_(std::move(service)),
      schedule_(poll),
      serial_(static_cast<std::uint32_t>(serial)),
      random_(seed),
      told_(std::move(told)),
      heard_at_(loop.now()) {
  ask();
}

DnsDirectory::~DnsDirectory() { hang_up(); }

void DnsDirectory::hang_up() {
  loop_.cancel(timer_);
  if (socket_) loop_.unwatch(key_, socket_.get());
  socket_ = Fd();
}

void DnsDirectory::move_to(const Endpoint& server, std::string service, Duration poll) {
  hang_up();
  server_ = server;
  service_ = std::move(service);
  schedule_ = decide::PollSchedule(poll);
  asked_.clear();  // an answer of the former server can't arrive any more
  heard_at_ = loop_.now();
  ask();
}

void DnsDirectory::ask() {
  const double draw = std::uniform_real_distribution<double>(0, 1)(random_);
  timer_ = loop_.at(loop_.now() + schedule_.next(draw), [this] { ask(); });
  if (!socket_) {
    // Connected, so the kernel passes on only what comes from the server's address.
    socket_ = connect_udp(server_);
    if (!socket_) return;
    key_ = loop_.watch(socket_.get(), *this);
  }
  if (!silent_ && loop_.now() - heard_at_ > kSilence) {
    silent_ = true;
    log_.line(Level::kWarning, "directory", "no answers; the last list stays in force", {});
  }
  const auto id = static_cast<std::uint16_t>(random_());
  asked_.push_back(id);
  if (asked_.size() > kRemembered) asked_.erase(asked_.begin());
  const std::string query = dns_query(id, service_);
  // A refused port (ECONNREFUSED from an earlier datagram) is silence like any other.
  ::send(socket_.get(), query.data(), query.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
}

void DnsDirectory::on_ready(std::uint32_t) {
  char buffer[16 * 1024];
  for (int i = 0; i < 64; ++i) {
    const ssize_t got = ::recv(socket_.get(), buffer, sizeof buffer, MSG_DONTWAIT);
    if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return;
    if (got >= 0) take({buffer, static_cast<std::size_t>(got)});
  }
  loop_.again(key_, EPOLLIN);
}

void DnsDirectory::take(std::string_view message) {
  if (message.size() < 12) return;
  const auto id = static_cast<std::uint16_t>(static_cast<unsigned char>(message[0]) << 8 |
                                             static_cast<unsigned char>(message[1]));
  const auto asked = std::find(asked_.begin(), asked_.end(), id);
  if (asked == asked_.end()) return;  // forged, or so late that we forgot the question
  const DnsList list = parse_dns(message, id, service_);
  if (list.fault == DnsFault::kForged) return;  // the true answer may still come under this id
  asked_.erase(asked);
  if (list.fault != DnsFault::kNone) {
    log_.line(Level::kWarning, "directory", dns_fault_text(list.fault), {});
    return;
  }
  heard_at_ = loop_.now();
  answered_ = true;
  if (std::exchange(silent_, false)) log_.line(Level::kNotice, "directory", "answers again", {});
  // Serial arithmetic (RFC 1982): datagrams overtake each other, and an old list must not undo a newer one.
  if (static_cast<std::int32_t>(list.serial - serial_) <= 0) return;
  serial_ = list.serial;
  log_.line(Level::kInfo, "directory", "new list",
            {{"serial", std::to_string(list.serial)}, {"engines", std::to_string(list.members.size())}});
  told_(list.members);
}

}  // namespace rookproxy
