#include "cluster/transport/socket.h"

#include <sys/epoll.h>
#include <sys/socket.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cerrno>

namespace rookproxy::cluster::transport {
namespace {

constexpr int kMaxDatagramsPerIteration = 64;  // datagrams a turn, so that a flood can't starve the clients
constexpr Duration kBindRetryInterval = std::chrono::milliseconds(100);

TransportSettings validated(TransportSettings settings) {
  const auto& peers = settings.members;
  if (peers.empty()) throw SettingsError("peers: empty, though peer_listen is set");
  if (peers.size() > cluster::kMaxMembers) {
    throw SettingsError("peers: " + std::to_string(peers.size()) + " of them, at most " +
                        std::to_string(cluster::kMaxMembers) + " are taken");
  }
  if (settings.self >= peers.size())
    throw SettingsError("peers: this dispatcher's own address is not among them");
  if (settings.bytes_per_second < 4 * kMaxDatagramBytes) {
    throw SettingsError("the peers' bytes a second: " + std::to_string(settings.bytes_per_second) +
                        ", too few for one message; at least " + std::to_string(4 * kMaxDatagramBytes));
  }
  return settings;
}

// Agreement goes before probes, which are asked again anyway and of which a lost one is no news.
bool is_urgent(const cluster::MessageBody& body) {
  return !std::holds_alternative<cluster::Ping>(body) &&
         !std::holds_alternative<cluster::PingRequest>(body) && !std::holds_alternative<cluster::Ack>(body);
}

DropReason drop_reason_of(cluster::ReplayWindow::Result verdict) {
  using Verdict = cluster::ReplayWindow::Result;
  switch (verdict) {
    case Verdict::kDuplicate:
      return DropReason::kDuplicate;
    case Verdict::kTooOld:
      return DropReason::kTooOld;
    case Verdict::kOldIncarnation:
      return DropReason::kOldIncarnation;
    case Verdict::kFutureIncarnation:
      return DropReason::kFutureIncarnation;
    default:
      return DropReason::kUnknownSender;
  }
}

}  // namespace

std::uint32_t member_list_fingerprint(const std::vector<SocketAddress>& peers) {
  std::string text;
  for (const SocketAddress& peer : peers) text += peer.to_string() + "\n";
  return XXH32(text.data(), text.size(), 0);
}

PeerSocket::PeerSocket(EventLoop& loop, TransportSettings settings, cluster::Incarnation incarnation,
                       MessageHandler heard, GossipSource rumours)
    : loop_(loop),
      settings_(validated(std::move(settings))),
      incarnation_(incarnation),
      codec_(member_list_fingerprint(settings_.members), settings_.self, settings_.members.size(),
             settings_.keys),
      replay_(settings_.members.size(), settings_.max_clock_skew),
      rate_limiter_(settings_.bytes_per_second),
      on_message_(std::move(heard)),
      gossip_source_(std::move(rumours)) {
  for (std::size_t i = 0; i < settings_.members.size(); ++i) {
    if (!member_by_address_.emplace(settings_.members[i], static_cast<cluster::MemberId>(i)).second)
      throw SettingsError("peers: " + settings_.members[i].to_string() + " is there twice");
  }
  open();
}

PeerSocket::~PeerSocket() { close(); }

void PeerSocket::open() {
  loop_.cancel(retry_timer_);
  if (fd_) return;
  fd_ = bind_udp(settings_.listen_address);
  open_errno_ = fd_ ? 0 : errno;
  if (fd_) {
    watch_key_ = loop_.watch(fd_.get(), *this);
    if (watch_key_ == 0) {
      open_errno_ = errno;
      fd_.reset();
    }
  }
  if (!fd_) {
    retry_timer_ = loop_.run_at(loop_.now() + kBindRetryInterval, [this] {
      retry_timer_ = {};
      open();
    });
  }
}

void PeerSocket::close() {
  loop_.cancel(retry_timer_);
  if (!fd_) return;
  loop_.unwatch(watch_key_, fd_.get());
  fd_.reset();
}

Codec PeerSocket::make_codec(const std::vector<std::string>& keys) const {
  return Codec(member_list_fingerprint(settings_.members), settings_.self, settings_.members.size(), keys);
}

DropReason PeerSocket::count_drop(DropReason reason) {
  ++metrics_.dropped_by_reason[static_cast<std::size_t>(reason)];
  return reason;
}

void PeerSocket::on_ready(std::uint32_t events) {
  if ((events & (EPOLLIN | EPOLLERR)) == 0) return;
  char bytes[kMaxDatagramBytes + 1];  // one more, to see that there was more
  for (int share = kMaxDatagramsPerIteration; fd_; --share) {
    if (share == 0) return loop_.requeue(watch_key_, EPOLLIN);
    sockaddr_in from{};
    socklen_t size = sizeof from;
    const ssize_t got =
        ::recvfrom(fd_.get(), bytes, sizeof bytes, 0, reinterpret_cast<sockaddr*>(&from), &size);
    if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return;
    if (got < 0) continue;  // an earlier datagram's fault, or a signal
    process_datagram(SocketAddress::from_sockaddr(from), {bytes, static_cast<std::size_t>(got)});
  }
}

void PeerSocket::process_datagram(const SocketAddress& from, std::string_view bytes) {
  ++metrics_.received;
  metrics_.received_bytes += bytes.size();
  const auto place = member_by_address_.find(from);
  if (place == member_by_address_.end()) {
    count_drop(DropReason::kUnknownSender);
    return;
  }
  if (place->second == settings_.self) {
    count_drop(DropReason::kOwnMessage);
    return;
  }
  const auto decoded = codec_.decode(bytes);
  if (const auto* reason = std::get_if<DropReason>(&decoded)) {
    count_drop(*reason);
    return;
  }
  const auto& envelope = std::get<Envelope>(decoded);
  if (envelope.sender != place->second) {
    count_drop(DropReason::kSenderMismatch);
    return;
  }
  const auto verdict = replay_.check(envelope.sender, envelope.incarnation, envelope.sequence, loop_.now());
  if (verdict != cluster::ReplayWindow::Result::kNew) {
    count_drop(drop_reason_of(verdict));
    return;
  }
  ++metrics_.delivered;
  on_message_(envelope);
}

std::optional<DropReason> PeerSocket::send(cluster::MemberId to, const cluster::MessageBody& body) {
  if (to >= settings_.members.size()) return count_drop(DropReason::kUnknownMember);
  if (to == settings_.self) return count_drop(DropReason::kOwnMessage);
  return send_to(settings_.members[to], to, body);
}

std::optional<DropReason> PeerSocket::send_all(const cluster::MessageBody& body) {
  if (settings_.broadcast_address) return send_to(*settings_.broadcast_address, std::nullopt, body);
  std::optional<DropReason> last;
  for (std::size_t i = 0; i < settings_.members.size(); ++i) {
    if (i == settings_.self) continue;
    if (const auto reason = send(static_cast<cluster::MemberId>(i), body)) last = reason;
  }
  return last;
}

std::optional<DropReason> PeerSocket::send_to(const SocketAddress& at, std::optional<cluster::MemberId> to,
                                              const cluster::MessageBody& body) {
  if (!fd_) return count_drop(DropReason::kSocketClosed);
  // Asked before the rumours, which count each telling: room for the longest there may be.
  if (!rate_limiter_.allows(kMaxDatagramBytes, is_urgent(body), loop_.now()))
    return count_drop(DropReason::kOverBudget);
  Envelope envelope{settings_.self, incarnation_, ++sequence_, body, {}};
  // No room: it is full, or can't be written at all, and then the encoding says why.
  if (const std::size_t room = gossip_source_ && to ? codec_.gossip_capacity(envelope) : 0; room > 0) {
    envelope.gossip = gossip_source_(*to, room);
    if (envelope.gossip.size() > room) envelope.gossip.resize(room);
  }
  const auto encoded = codec_.encode(envelope, to);
  if (const auto* reason = std::get_if<DropReason>(&encoded)) return count_drop(*reason);
  const auto& bytes = std::get<std::string>(encoded);
  rate_limiter_.consume(bytes.size());
  const sockaddr_in address = at.to_sockaddr();
  const ssize_t sent = ::sendto(fd_.get(), bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL,
                                reinterpret_cast<const sockaddr*>(&address), sizeof address);
  if (sent < 0) {
    const bool full = errno == EAGAIN || errno == EWOULDBLOCK || errno == ENOBUFS;
    return count_drop(full ? DropReason::kSendBufferFull : DropReason::kSendFailed);
  }
  ++metrics_.sent;
  metrics_.sent_bytes += bytes.size();
  return std::nullopt;
}

}  // namespace rookproxy::cluster::transport
