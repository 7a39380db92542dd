// The socket on which dispatchers hear one another: what passes is a peer's, whole, proved and new.
#pragma once

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "decide/fleet/replay.h"
#include "net/loop.h"
#include "peers/budget.h"
#include "peers/codec.h"

namespace rookproxy::peers {

struct PeerSettings {
  Endpoint peer_listen;         // port 0: the kernel chooses, for tests
  std::vector<Endpoint> peers;  // of all members, ours too: a place in this list is a MemberId
  fleet::MemberId self = 0;
  std::optional<Endpoint> peers_all;  // reaches every member at once; none: they are told one by one
  std::vector<std::string> keys;  // the first proves what we send, any of them what we hear; none: no proof
  std::uint32_t bytes_per_second = 64 * 1024;  // of datagrams, without their IP and UDP heads
  // How far a peer's clock may be before ours when its process starts.
  Duration clock_ahead = std::chrono::minutes(10);
};

struct PeerFigures {
  std::uint64_t sent = 0, sent_bytes = 0, received = 0, received_bytes = 0, handed_on = 0;
  std::array<std::uint64_t, kReasons> by_reason{};  // of what was received or to be sent, and moved nothing
  std::uint64_t count(Reason reason) const { return by_reason[static_cast<std::size_t>(reason)]; }
};

// Of the list of peers in its order: dispatchers with another list count members otherwise, and don't talk.
std::uint32_t fleet_print(const std::vector<Endpoint>& peers);

class PeerSocket final : private Watcher {
 public:
  // An envelope that may be believed as far as it is proved. It must not destroy the socket: defer that.
  using Heard = std::function<void(const Envelope&)>;
  // Rumours worth telling that member, the most urgent first; more than `room` are cut off. Asked for only
  // once the message is sure to be written: who is asked counts each telling.
  using Rumours = std::function<std::vector<fleet::Rumour>(fleet::MemberId to, std::size_t room)>;

  // Throws SettingsError: on an empty or too long list, one with an address twice, or a place that is not in
  // it. `incarnation`: of this process, see types.h.
  PeerSocket(Loop& loop, PeerSettings settings, fleet::Incarnation incarnation, Heard heard,
             Rumours rumours = nullptr);
  ~PeerSocket();
  PeerSocket(const PeerSocket&) = delete;
  PeerSocket& operator=(const PeerSocket&) = delete;

  // Binds, and tries again every 100 ms while the port is taken: a predecessor's process, which still has it
  // during an upgrade, gives it up by close() or its end.
  void open();
  void close();
  bool is_open() const { return static_cast<bool>(fd_); }
  int open_fault() const { return open_fault_; }  // errno of the last try; 0: it succeeded
  Endpoint local() const { return {settings_.peer_listen.ip, local_port(fd_)}; }

  // Each datagram goes once, or not at all; why not is counted and returned.
  std::optional<Reason> send(fleet::MemberId to, const fleet::Body& body);
  // To all others: the reason is the last one's. No rumours ride on a datagram for all: what is held against
  // a member is for that one, and news would count as told though they went out once.
  std::optional<Reason> send_all(const fleet::Body& body);

  // The keys' files were changed: see PeerSettings::keys. In two steps, so that what may fail comes before
  // anything is taken: the first throws KeyError, the second nothing.
  Codec codec_with(const std::vector<std::string>& keys) const;
  void take_codec(Codec codec) { codec_ = std::move(codec); }
  void take_keys(const std::vector<std::string>& keys) { take_codec(codec_with(keys)); }
  void set_incarnation(fleet::Incarnation incarnation) { incarnation_ = incarnation; }
  const PeerFigures& figures() const { return figures_; }

 private:
  void on_ready(std::uint32_t events) override;
  void take(const Endpoint& from, std::string_view bytes);
  std::optional<Reason> send_to(const Endpoint& at, std::optional<fleet::MemberId> to,
                                const fleet::Body& body);
  Reason drop(Reason reason);

  Loop& loop_;
  PeerSettings settings_;
  fleet::Incarnation incarnation_;
  std::uint64_t sequence_ = 0;  // goes on over a new incarnation of the same process
  Codec codec_;
  fleet::Replay replay_;
  Budget budget_;
  std::map<Endpoint, fleet::MemberId> places_;
  Heard heard_;
  Rumours rumours_;
  Fd fd_;
  SlotKey key_ = 0;
  TimerKey retry_{};
  int open_fault_ = 0;
  PeerFigures figures_;
};

}  // namespace rookproxy::peers
