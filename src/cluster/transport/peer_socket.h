// The UDP socket through which dispatchers exchange datagrams. It delivers only datagrams that are
// well-formed, authenticated, from a configured peer and not replayed.
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

// The addresses, keys and limits of one member's transport.
struct TransportSettings {
  SocketAddress listen_address;        // With port 0 (in tests), the kernel chooses the port.
  std::vector<SocketAddress> members;  // All members with this one; the position in the list is the MemberId.
  MemberId self = 0;
  std::optional<SocketAddress> broadcast_address;  // Reaches every member. Unset: one datagram per member.
  std::vector<std::string> keys;                   // See MessageAuthenticator.
  std::uint32_t bytes_per_second = 64 * 1024;      // The limit for sending, without IP and UDP headers.
  // The maximum time by which a peer's clock may be ahead of this one's when its process starts.
  Duration max_clock_skew = std::chrono::minutes(10);
};

// Counters since the start of the process.
struct TransportMetrics {
  std::uint64_t sent = 0;
  std::uint64_t sent_bytes = 0;
  std::uint64_t received = 0;
  std::uint64_t received_bytes = 0;
  std::uint64_t delivered = 0;
  std::array<std::uint64_t, kDropReasonCount> dropped_by_reason{};  // Incoming and outgoing datagrams.

  [[nodiscard]] std::uint64_t count(DropReason reason) const {
    return dropped_by_reason[static_cast<std::size_t>(reason)];
  }
};

// Identifies the list of members, including its order. Datagrams of dispatchers with a different list are
// dropped, since the same MemberId may mean another member there.
std::uint32_t member_list_fingerprint(const std::vector<SocketAddress>& members);

// Must be used only in the thread of its event loop, which must outlive it.
class PeerSocket final : private EventHandler {
 public:
  // Called for each new envelope. Must not destroy the socket.
  using MessageHandler = std::function<void(const Envelope&)>;
  // Returns at most `limit` updates for a message to that member, the most urgent first. Called only when the
  // message is about to be sent, since the source counts transmissions.
  using GossipSource = std::function<std::vector<GossipUpdate>(MemberId to, std::size_t limit)>;

  // Opens the socket. `incarnation`: this process's. Throws SettingsError if the list of members is empty,
  // too long, contains an address twice or does not contain the position `self`, or if bytes_per_second is
  // too low.
  PeerSocket(EventLoop& loop, TransportSettings settings, Incarnation incarnation, MessageHandler on_message,
             GossipSource gossip_source = nullptr);
  ~PeerSocket();
  PeerSocket(const PeerSocket&) = delete;
  PeerSocket& operator=(const PeerSocket&) = delete;

  // Binds the socket, and retries every 100 ms while that fails: during an upgrade, the predecessor holds the
  // port until it closes its socket or ends.
  void open();
  void close();
  [[nodiscard]] bool is_open() const { return static_cast<bool>(socket_); }
  // The errno of the last attempt to open the socket; 0 if it succeeded.
  [[nodiscard]] int open_errno() const { return open_errno_; }
  // The bound address. Its port is meaningless while the socket is closed.
  [[nodiscard]] SocketAddress local() const { return {settings_.listen_address.ip, local_port(socket_)}; }

  // Sends one datagram without retransmission. If it can't be sent, counts and returns the reason.
  std::optional<DropReason> send(MemberId to, const MessageBody& body);
  // Sends to all other members. Returns the reason of the last failure, if any. A broadcast datagram carries
  // no gossip, since gossip is selected for one receiver and its transmissions are counted per receiver.
  std::optional<DropReason> send_all(const MessageBody& body);

  // Replacing keys takes two steps, of which only the first can fail: make_codec() throws KeyError.
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
  std::uint64_t sequence_ = 0;  // Not reset when the incarnation changes.
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
