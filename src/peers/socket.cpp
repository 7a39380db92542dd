#include "peers/socket.h"

#include <sys/epoll.h>
#include <sys/socket.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cerrno>

namespace rookproxy::peers {
namespace {

constexpr int kShare = 64;  // datagrams a turn, so that a flood can't starve the clients
constexpr Duration kRetry = std::chrono::milliseconds(100);

PeerSettings checked(PeerSettings settings) {
  const auto& peers = settings.peers;
  if (peers.empty()) throw SettingsError("peers: empty, though peer_listen is set");
  if (peers.size() > fleet::kMostMembers) {
    throw SettingsError("peers: " + std::to_string(peers.size()) + " of them, at most " +
                        std::to_string(fleet::kMostMembers) + " are taken");
  }
  if (settings.self >= peers.size())
    throw SettingsError("peers: this dispatcher's own address is not among them");
  if (settings.bytes_per_second < 4 * kMostBytes) {
    throw SettingsError("the peers' bytes a second: " + std::to_string(settings.bytes_per_second) +
                        ", too few for one message; at least " + std::to_string(4 * kMostBytes));
  }
  return settings;
}

// Agreement goes before probes, which are asked again anyway and of which a lost one is no news.
bool is_urgent(const fleet::Body& body) {
  return !std::holds_alternative<fleet::Ping>(body) && !std::holds_alternative<fleet::PingFor>(body) &&
         !std::holds_alternative<fleet::Ack>(body);
}

Reason reason_of(fleet::Replay::Verdict verdict) {
  using Verdict = fleet::Replay::Verdict;
  switch (verdict) {
    case Verdict::kSeen:
      return Reason::kSeen;
    case Verdict::kTooOld:
      return Reason::kTooOld;
    case Verdict::kFormer:
      return Reason::kFormer;
    case Verdict::kAhead:
      return Reason::kAhead;
    default:
      return Reason::kStranger;
  }
}

}  // namespace

std::uint32_t fleet_print(const std::vector<Endpoint>& peers) {
  std::string text;
  for (const Endpoint& peer : peers) text += peer.text() + "\n";
  return XXH32(text.data(), text.size(), 0);
}

PeerSocket::PeerSocket(Loop& loop, PeerSettings settings, fleet::Incarnation incarnation, Heard heard,
                       Rumours rumours)
    : loop_(loop),
      settings_(checked(std::move(settings))),
      incarnation_(incarnation),
      codec_(fleet_print(settings_.peers), settings_.self, settings_.peers.size(), settings_.keys),
      replay_(settings_.peers.size(), settings_.clock_ahead),
      budget_(settings_.bytes_per_second),
      heard_(std::move(heard)),
      rumours_(std::move(rumours)) {
  for (std::size_t i = 0; i < settings_.peers.size(); ++i) {
    if (!places_.emplace(settings_.peers[i], static_cast<fleet::MemberId>(i)).second)
      throw SettingsError("peers: " + settings_.peers[i].text() + " is there twice");
  }
  open();
}

PeerSocket::~PeerSocket() { close(); }

void PeerSocket::open() {
  loop_.cancel(retry_);
  if (fd_) return;
  fd_ = bind_udp(settings_.peer_listen);
  open_fault_ = fd_ ? 0 : errno;
  if (fd_) {
    key_ = loop_.watch(fd_.get(), *this);
    if (key_ == 0) {
      open_fault_ = errno;
      fd_.reset();
    }
  }
  if (!fd_) {
    retry_ = loop_.at(loop_.now() + kRetry, [this] {
      retry_ = {};
      open();
    });
  }
}

void PeerSocket::close() {
  loop_.cancel(retry_);
  if (!fd_) return;
  loop_.unwatch(key_, fd_.get());
  fd_.reset();
}

Codec PeerSocket::codec_with(const std::vector<std::string>& keys) const {
  return Codec(fleet_print(settings_.peers), settings_.self, settings_.peers.size(), keys);
}

Reason PeerSocket::drop(Reason reason) {
  ++figures_.by_reason[static_cast<std::size_t>(reason)];
  return reason;
}

void PeerSocket::on_ready(std::uint32_t events) {
  if ((events & (EPOLLIN | EPOLLERR)) == 0) return;
  char bytes[kMostBytes + 1];  // one more, to see that there was more
  for (int share = kShare; fd_; --share) {
    if (share == 0) return loop_.again(key_, EPOLLIN);
    sockaddr_in from{};
    socklen_t size = sizeof from;
    const ssize_t got =
        ::recvfrom(fd_.get(), bytes, sizeof bytes, 0, reinterpret_cast<sockaddr*>(&from), &size);
    if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return;
    if (got < 0) continue;  // an earlier datagram's fault, or a signal
    take(Endpoint::of(from), {bytes, static_cast<std::size_t>(got)});
  }
}

void PeerSocket::take(const Endpoint& from, std::string_view bytes) {
  ++figures_.received;
  figures_.received_bytes += bytes.size();
  const auto place = places_.find(from);
  if (place == places_.end()) {
    drop(Reason::kStranger);
    return;
  }
  if (place->second == settings_.self) {
    drop(Reason::kOwn);
    return;
  }
  const auto decoded = codec_.decode(bytes);
  if (const auto* reason = std::get_if<Reason>(&decoded)) {
    drop(*reason);
    return;
  }
  const auto& envelope = std::get<Envelope>(decoded);
  if (envelope.sender != place->second) {
    drop(Reason::kOtherSender);
    return;
  }
  const auto verdict = replay_.take(envelope.sender, envelope.incarnation, envelope.sequence, loop_.now());
  if (verdict != fleet::Replay::Verdict::kNew) {
    drop(reason_of(verdict));
    return;
  }
  ++figures_.handed_on;
  heard_(envelope);
}

std::optional<Reason> PeerSocket::send(fleet::MemberId to, const fleet::Body& body) {
  if (to >= settings_.peers.size()) return drop(Reason::kUnknownMember);
  if (to == settings_.self) return drop(Reason::kOwn);
  return send_to(settings_.peers[to], to, body);
}

std::optional<Reason> PeerSocket::send_all(const fleet::Body& body) {
  if (settings_.peers_all) return send_to(*settings_.peers_all, std::nullopt, body);
  std::optional<Reason> last;
  for (std::size_t i = 0; i < settings_.peers.size(); ++i) {
    if (i == settings_.self) continue;
    if (const auto reason = send(static_cast<fleet::MemberId>(i), body)) last = reason;
  }
  return last;
}

std::optional<Reason> PeerSocket::send_to(const Endpoint& at, std::optional<fleet::MemberId> to,
                                          const fleet::Body& body) {
  if (!fd_) return drop(Reason::kClosed);
  // Asked before the rumours, which count each telling: room for the longest there may be.
  if (!budget_.has(kMostBytes, is_urgent(body), loop_.now())) return drop(Reason::kOverBudget);
  Envelope envelope{settings_.self, incarnation_, ++sequence_, body, {}};
  // No room: it is full, or can't be written at all, and then the encoding says why.
  if (const std::size_t room = rumours_ && to ? codec_.room_for_rumours(envelope) : 0; room > 0) {
    envelope.rumours = rumours_(*to, room);
    if (envelope.rumours.size() > room) envelope.rumours.resize(room);
  }
  const auto encoded = codec_.encode(envelope, to);
  if (const auto* reason = std::get_if<Reason>(&encoded)) return drop(*reason);
  const auto& bytes = std::get<std::string>(encoded);
  budget_.take(bytes.size());
  const sockaddr_in address = at.socket_address();
  const ssize_t sent = ::sendto(fd_.get(), bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL,
                                reinterpret_cast<const sockaddr*>(&address), sizeof address);
  if (sent < 0) {
    const bool full = errno == EAGAIN || errno == EWOULDBLOCK || errno == ENOBUFS;
    return drop(full ? Reason::kBlocked : Reason::kNotSent);
  }
  ++figures_.sent;
  figures_.sent_bytes += bytes.size();
  return std::nullopt;
}

}  // namespace rookproxy::peers
