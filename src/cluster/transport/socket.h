// The socket on which dispatchers hear one another: what passes is a peer's, whole, proved and new.
#pragma once

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cluster/replay.h"
#include "cluster/transport/budget.h"
#include "cluster/transport/codec.h"
#include "net/event_loop.h"
#include "net/sockets.h"

namespace rookproxy::cluster::transport {

struct TransportSettings {
  SocketAddress listen_address;        // port 0: the kernel chooses, for tests
  std::vector<SocketAddress> members;  // of all members, ours too: a place in this list is a MemberId
  cluster::MemberId self = 0;
  std::optional<SocketAddress>
      broadcast_address;          // reaches every member at once; none: they are told one by one
  std::vector<std::string> keys;  // the first proves what we send, any of them what we hear; none: no proof
  std::uint32_t bytes_per_second = 64 * 1024;  // of datagrams, without their IP and UDP heads
  // How far a peer's clock may be before ours when its process starts.
  Duration max_clock_skew = std::chrono::minutes(10);
};

struct TransportMetrics {
  std::uint64_t sent = 0, sent_bytes = 0, received = 0, received_bytes = 0, delivered = 0;
  std::array<std::uint64_t, kDropReasonCount>
      dropped_by_reason{};  // of what was received or to be sent, and moved nothing
  std::uint64_t count(DropReason reason) const { return dropped_by_reason[static_cast<std::size_t>(reason)]; }
};

// Of the list of peers in its order: dispatchers with another list count members otherwise, and don't talk.
std::uint32_t member_list_fingerprint(const std::vector<SocketAddress>& peers);

class PeerSocket final : private EventHandler {
 public:
  // An envelope that may be believed as far as it is proved. It must not destroy the socket: defer that.
  using MessageHandler = std::function<void(const Envelope&)>;
  // Rumours worth telling that member, the most urgent first; more than `room` are cut off. Asked for only
  // once the message is sure to be written: who is asked counts each telling.
  using GossipSource =
      std::function<std::vector<cluster::GossipUpdate>(cluster::MemberId to, std::size_t room)>;

  // Throws SettingsError: on an empty or too long list, one with an address twice, or a place that is not in
  // it. `incarnation`: of this process, see types.h.
  PeerSocket(EventLoop& loop, TransportSettings settings, cluster::Incarnation incarnation,
             MessageHandler heard, GossipSource rumours = nullptr);
  ~PeerSocket();
  PeerSocket(const PeerSocket&) = delete;
  PeerSocket& operator=(const PeerSocket&) = delete;

  // Binds, and tries again every 100 ms while the port is taken: a predecessor's process, which still has it
  // during an upgrade, gives it up by close() or its end.
  void open();
  void close();
  bool is_open() const { return static_cast<bool>(fd_); }
  int open_errno() const { return open_errno_; }  // errno of the last try; 0: it succeeded
  SocketAddress local() const { return {settings_.listen_address.ip, local_port(fd_)}; }

  // Each datagram goes once, or not at all; why not is counted and returned.
  std::optional<DropReason> send(cluster::MemberId to, const cluster::MessageBody& body);
  // To all others: the reason is the last one's. No rumours ride on a datagram for all: what is held against
  // a member is for that one, and news would count as told though they went out once.
  std::optional<DropReason> send_all(const cluster::MessageBody& body);

  // The keys' files were changed: see PeerSettings::keys. In two steps, so that what may fail comes before
  // anything is taken: the first throws KeyError, the second nothing.
  Codec make_codec(const std::vector<std::string>& keys) const;
  void set_codec(Codec codec) { codec_ = std::move(codec); }
  void set_keys(const std::vector<std::string>& keys) { set_codec(make_codec(keys)); }
  void set_incarnation(cluster::Incarnation incarnation) { incarnation_ = incarnation; }
  const TransportMetrics& metrics() const { return metrics_; }

 private:
  void on_ready(std::uint32_t events) override;
  void process_datagram(const SocketAddress& from, std::string_view bytes);
  std::optional<DropReason> send_to(const SocketAddress& at, std::optional<cluster::MemberId> to,
                                    const cluster::MessageBody& body);
  DropReason count_drop(DropReason reason);

  EventLoop& loop_;
  TransportSettings settings_;
  cluster::Incarnation incarnation_;
  std::uint64_t sequence_ = 0;  // goes on over a new incarnation of the same process
  Codec codec_;
  cluster::ReplayWindow replay_;
  ByteRateLimiter rate_limiter_;
  std::map<SocketAddress, cluster::MemberId> member_by_address_;
  MessageHandler on_message_;
  GossipSource gossip_source_;
  FileDescriptor fd_;
  SlotKey watch_key_ = 0;
  TimerId retry_timer_{};
  int open_errno_ = 0;
  TransportMetrics metrics_;
};

}  // namespace rookproxy::cluster::transport
