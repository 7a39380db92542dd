// The socket through which dispatchers exchange datagrams. It delivers only what is complete, authenticated,
// new and from a peer.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/replay_window.h"
#include "cluster/transport/byte_rate_limiter.h"
#include "cluster/transport/codec.h"
#include "net/event_loop.h"
#include "net/file_descriptor.h"
#include "net/slot_map.h"
#include "net/socket_address.h"
#include "net/sockets.h"

namespace rookproxy::cluster::transport {

// The addresses, keys and limits of one member.
struct TransportSettings {
  SocketAddress listen_address;        // port 0: the kernel chooses, for tests
  std::vector<SocketAddress> members;  // all, this one included; the position in this list is a MemberId
  MemberId self = 0;
  std::optional<SocketAddress> broadcast_address;  // reaches every member; without it each is sent its own
  std::vector<std::string> keys;                   // see MessageAuthenticator; none: no authentication
  std::uint32_t bytes_per_second = 64 * 1024;      // sent, without the headers of IP and UDP
  // How far a peer's clock may be ahead of this one's when its process starts.
  Duration max_clock_skew = std::chrono::minutes(10);
};

// Counters since the start of the process.
struct TransportMetrics {
  std::uint64_t sent = 0;
  std::uint64_t sent_bytes = 0;
  std::uint64_t received = 0;
  std::uint64_t received_bytes = 0;
  std::uint64_t delivered = 0;
  std::array<std::uint64_t, kDropReasonCount> dropped_by_reason{};  // received or to be sent

  [[nodiscard]] std::uint64_t count(DropReason reason) const {
    return dropped_by_reason[static_cast<std::size_t>(reason)];
  }
};

// Of the list of members in its order. Dispatchers with another list number the members otherwise, and are
// not understood.
std::uint32_t member_list_fingerprint(const std::vector<SocketAddress>& members);

// Belongs to the thread of its event loop, which must outlive it.
class PeerSocket final : private EventHandler {
 public:
  // Called for each new envelope. Must not destroy the socket: defer that.
  using MessageHandler = std::function<void(const Envelope&)>;
  // Returns at most `limit` updates for the message to that member, the most urgent first. Called only when
  // the message is about to be sent, since the source counts each transmission.
  using GossipSource = std::function<std::vector<GossipUpdate>(MemberId to, std::size_t limit)>;

  // Opens the socket. `incarnation`: of this process. Throws SettingsError on an empty or too long list of
  // members, one that has an address twice, or a position that is not in it.
  PeerSocket(EventLoop& loop, TransportSettings settings, Incarnation incarnation, MessageHandler on_message,
             GossipSource gossip_source = nullptr);
  ~PeerSocket();
  PeerSocket(const PeerSocket&) = delete;
  PeerSocket& operator=(const PeerSocket&) = delete;

  // Binds, and tries again every 100 ms while the port is taken: during an upgrade, the predecessor has it
  // until it closes its socket or ends.
  void open();
  void close();
  [[nodiscard]] bool is_open() const { return static_cast<bool>(socket_); }
  // The errno of the last attempt to open; 0: it succeeded.
  [[nodiscard]] int open_errno() const { return open_errno_; }
  // The address that is bound; its port is meaningless while the socket is closed.
  [[nodiscard]] SocketAddress local() const { return {settings_.listen_address.ip, local_port(socket_)}; }

  // Sends one datagram, once. Returns why it was not sent, which is counted.
  std::optional<DropReason> send(MemberId to, const MessageBody& body);
  // To all other members. Returns the last reason why one was not sent. A datagram for all carries no gossip:
  // what is known against a member is meant for that member alone, and one datagram must not count as a
  // transmission to each.
  std::optional<DropReason> send_all(const MessageBody& body);

  // Keys are replaced in two steps, so that what may fail comes first. make_codec() throws KeyError.
  [[nodiscard]] Codec make_codec(const std::vector<std::string>& keys) const;
  void set_codec(Codec codec) { codec_ = std::move(codec); }
  void set_keys(const std::vector<std::string>& keys) { set_codec(make_codec(keys)); }
  void set_incarnation(Incarnation incarnation) { incarnation_ = incarnation; }
  [[nodiscard]] const TransportMetrics& metrics() const { return metrics_; }

 private:
  void on_ready(std::uint32_t events) override;
  std::optional<DropReason> process_datagram(const SocketAddress& from, std::string_view datagram);
  std::optional<DropReason> send_to(const SocketAddress& address, std::optional<MemberId> to,
                                    const MessageBody& body);
  std::optional<DropReason> write(const SocketAddress& address, const std::string& datagram);
  [[nodiscard]] std::vector<GossipUpdate> gossip_for(std::optional<MemberId> to,
                                                     const Envelope& envelope) const;
  DropReason count_drop(DropReason reason);

  EventLoop& loop_;
  TransportSettings settings_;
  Incarnation incarnation_;
  std::uint64_t sequence_ = 0;  // continues when the incarnation changes
  Codec codec_;
  ReplayWindow replay_window_;
  ByteRateLimiter rate_limiter_;
  std::map<SocketAddress, MemberId> member_by_address_;
  MessageHandler on_message_;
  GossipSource gossip_source_;
  FileDescriptor socket_;
  SlotKey watch_key_ = 0;
  TimerId retry_timer_{};
  int open_errno_ = 0;
  TransportMetrics metrics_;
};

}  // namespace rookproxy::cluster::transport
