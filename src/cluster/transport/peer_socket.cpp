#include "cluster/transport/peer_socket.h"
#include "net/event_loop.h"
#include "net/socket_address.h"
#include "net/sockets.h"

#include <sys/epoll.h>
#include <sys/socket.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cerrno>

namespace rookproxy::cluster::transport {
namespace {

// The maximum number of datagrams read per iteration of the event loop, so that a flood can't starve clients.
constexpr int kMaxDatagramsPerIteration = 64;
constexpr Duration kBindRetryInterval = std::chrono::milliseconds(100);
// The lowest limit of bytes per second, which allows for a few messages.
constexpr std::size_t kMinBytesPerSecond = 4 * kMaxDatagramBytes;

TransportSettings validated(TransportSettings settings) {
  const auto& members = settings.members;
  if (members.empty()) throw SettingsError("peers: the list is empty, but peer_listen is set");
  if (members.size() > kMaxMembers) {
    throw SettingsError("peers: " + std::to_string(members.size()) + " members, at most " +
                        std::to_string(kMaxMembers) + " are allowed");
  }
  if (settings.self >= members.size()) {
    throw SettingsError("peers: the list does not contain this dispatcher's address");
  }
  if (settings.bytes_per_second < kMinBytesPerSecond) {
    throw SettingsError("fleet: bytes_per_second: " + std::to_string(settings.bytes_per_second) +
                        " is too low for one message, the minimum is " + std::to_string(kMinBytesPerSecond));
  }
  return settings;
}

// Consensus messages take precedence over probes, which are repeated periodically.
bool is_urgent(const MessageBody& body) { return !is_membership_message(body); }

DropReason drop_reason_of(ReplayWindow::Result result) {
  switch (result) {
    case ReplayWindow::Result::kDuplicate:
      return DropReason::kDuplicate;
    case ReplayWindow::Result::kTooOld:
      return DropReason::kTooOld;
    case ReplayWindow::Result::kOldIncarnation:
      return DropReason::kOldIncarnation;
    case ReplayWindow::Result::kFutureIncarnation:
      return DropReason::kFutureIncarnation;
    case ReplayWindow::Result::kNew:
    case ReplayWindow::Result::kUnknownMember:
      break;
  }
  return DropReason::kUnknownSender;
}

}  // namespace

std::uint32_t member_list_fingerprint(const std::vector<SocketAddress>& members) {
  std::string text;
  for (const SocketAddress& member : members) text += member.to_string() + "\n";
  return XXH32(text.data(), text.size(), 0);
}

PeerSocket::PeerSocket(EventLoop& loop, TransportSettings settings, Incarnation incarnation,
                       MessageHandler on_message, GossipSource gossip_source)
    : loop_(loop),
      settings_(validated(std::move(settings))),
      incarnation_(incarnation),
      codec_(make_codec(settings_.keys)),
      replay_window_(settings_.members.size(), settings_.max_clock_skew),
      rate_limiter_(settings_.bytes_per_second),
      on_message_(std::move(on_message)),
      gossip_source_(std::move(gossip_source)) {
  for (std::size_t i = 0; i < settings_.members.size(); ++i) {
    const SocketAddress& address = settings_.members[i];
    const bool is_new = member_by_address_.emplace(address, static_cast<MemberId>(i)).second;
    if (!is_new) throw SettingsError("peers: " + address.to_string() + " is listed twice");
  }
  open();
}

PeerSocket::~PeerSocket() { close(); }

void PeerSocket::open() {
  loop_.cancel(retry_timer_);
  if (socket_) return;
  socket_ = bind_udp(settings_.listen_address);
  open_errno_ = socket_ ? 0 : errno;
  if (socket_) {
    watch_key_ = loop_.watch(socket_.get(), *this);
    if (watch_key_ == 0) {
      open_errno_ = errno;
      socket_.reset();
    }
  }
  if (socket_) return;
  retry_timer_ = loop_.run_at(loop_.now() + kBindRetryInterval, [this] {
    retry_timer_ = {};
    open();
  });
}

void PeerSocket::close() {
  loop_.cancel(retry_timer_);
  if (!socket_) return;
  loop_.unwatch(watch_key_, socket_.get());
  socket_.reset();
}

Codec PeerSocket::make_codec(const std::vector<std::string>& keys) const {
  return {member_list_fingerprint(settings_.members), settings_.self, settings_.members.size(), keys};
}

DropReason PeerSocket::count_drop(DropReason reason) {
  ++metrics_.dropped_by_reason[static_cast<std::size_t>(reason)];
  return reason;
}

// ---- Receiving --------------------------------------------------------------------------------------------

void PeerSocket::on_ready(std::uint32_t events) {
  if ((events & (EPOLLIN | EPOLLERR)) == 0) return;
  char buffer[kMaxDatagramBytes + 1];  // One more byte, to detect longer datagrams.
  for (int remaining = kMaxDatagramsPerIteration; socket_; --remaining) {
    if (remaining == 0) {
      loop_.requeue(watch_key_, EPOLLIN);
      return;
    }
    sockaddr_in from{};
    socklen_t from_size = sizeof from;
    const ssize_t size =
        ::recvfrom(socket_.get(), buffer, sizeof buffer, 0, reinterpret_cast<sockaddr*>(&from), &from_size);
    if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return;
    if (size < 0) continue;  // An error of an earlier datagram, or an interruption by a signal.
    ++metrics_.received;
    metrics_.received_bytes += static_cast<std::size_t>(size);
    const std::string_view datagram(buffer, static_cast<std::size_t>(size));
    if (const auto reason = process_datagram(SocketAddress::from_sockaddr(from), datagram)) {
      count_drop(*reason);
    }
  }
}

std::optional<DropReason> PeerSocket::process_datagram(const SocketAddress& from, std::string_view datagram) {
  const auto member = member_by_address_.find(from);
  if (member == member_by_address_.end()) return DropReason::kUnknownSender;
  if (member->second == settings_.self) return DropReason::kOwnMessage;
  const auto decoded = codec_.decode(datagram);
  if (const auto* reason = std::get_if<DropReason>(&decoded)) return *reason;
  const auto& envelope = std::get<Envelope>(decoded);
  if (envelope.sender != member->second) return DropReason::kSenderMismatch;
  const auto replay =
      replay_window_.check(envelope.sender, envelope.incarnation, envelope.sequence, loop_.now());
  if (replay != ReplayWindow::Result::kNew) return drop_reason_of(replay);
  ++metrics_.delivered;
  on_message_(envelope);
  return std::nullopt;
}

// ---- Sending ----------------------------------------------------------------------------------------------

std::optional<DropReason> PeerSocket::send(MemberId to, const MessageBody& body) {
  if (to >= settings_.members.size()) return count_drop(DropReason::kUnknownMember);
  if (to == settings_.self) return count_drop(DropReason::kOwnMessage);
  return send_to(settings_.members[to], to, body);
}

std::optional<DropReason> PeerSocket::send_all(const MessageBody& body) {
  if (settings_.broadcast_address) return send_to(*settings_.broadcast_address, std::nullopt, body);
  std::optional<DropReason> last_reason;
  for (std::size_t member = 0; member < settings_.members.size(); ++member) {
    if (member == settings_.self) continue;
    if (const auto reason = send(static_cast<MemberId>(member), body)) last_reason = reason;
  }
  return last_reason;
}

std::vector<GossipUpdate> PeerSocket::gossip_for(std::optional<MemberId> to, const Envelope& envelope) const {
  if (!gossip_source_ || !to) return {};
  // Without capacity, the datagram is full or the body can't be encoded; encode() then returns the reason.
  const std::size_t capacity = codec_.gossip_capacity(envelope);
  if (capacity == 0) return {};
  std::vector<GossipUpdate> gossip = gossip_source_(*to, capacity);
  if (gossip.size() > capacity) gossip.resize(capacity);
  return gossip;
}

std::optional<DropReason> PeerSocket::send_to(const SocketAddress& address, std::optional<MemberId> to,
                                              const MessageBody& body) {
  if (!socket_) return count_drop(DropReason::kSocketClosed);
  // Checks the limit for the largest datagram before gossip is fetched, since the source counts
  // transmissions.
  if (!rate_limiter_.allows(kMaxDatagramBytes, is_urgent(body), loop_.now())) {
    return count_drop(DropReason::kRateLimited);
  }
  Envelope envelope{settings_.self, incarnation_, ++sequence_, body, {}};
  envelope.gossip = gossip_for(to, envelope);
  const auto encoded = codec_.encode(envelope, to);
  if (const auto* reason = std::get_if<DropReason>(&encoded)) return count_drop(*reason);
  return write(address, std::get<std::string>(encoded));
}

std::optional<DropReason> PeerSocket::write(const SocketAddress& address, const std::string& datagram) {
  rate_limiter_.consume(datagram.size());
  const sockaddr_in destination = address.to_sockaddr();
  const ssize_t sent = ::sendto(socket_.get(), datagram.data(), datagram.size(), MSG_DONTWAIT | MSG_NOSIGNAL,
                                reinterpret_cast<const sockaddr*>(&destination), sizeof destination);
  if (sent < 0) {
    const bool is_buffer_full = errno == EAGAIN || errno == EWOULDBLOCK || errno == ENOBUFS;
    return count_drop(is_buffer_full ? DropReason::kSendBufferFull : DropReason::kSendFailed);
  }
  ++metrics_.sent;
  metrics_.sent_bytes += datagram.size();
  return std::nullopt;
}

}  // namespace rookproxy::cluster::transport
