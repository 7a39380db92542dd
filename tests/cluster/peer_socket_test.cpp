// Tests the socket between dispatchers with real datagrams.
#include "cluster/transport/peer_socket.h"

#include <sys/socket.h>

#include <catch2/catch.hpp>
#include <cerrno>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "cluster/event_loop_script.h"
#include "cluster/peer_network.h"
#include "net/clock.h"
#include "net/event_loop.h"
#include "net/file_descriptor.h"
#include "net/socket_address.h"
#include "net/sockets.h"

namespace rookproxy::cluster::transport {
namespace {

using namespace std::chrono_literals;

const std::string kKey(32, 'k');
const std::string kOtherKey(40, 'o');

// A plain socket that can send any bytes.
struct RawPeer {
  FileDescriptor socket = bind_udp({0x7f000001, 0});
  SocketAddress address() const { return {0x7f000001, local_port(socket)}; }
  void send(const SocketAddress& to, std::string_view bytes) const {
    const sockaddr_in address = to.to_sockaddr();
    ::sendto(socket.get(), bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&address),
             sizeof address);
  }
};

TEST_CASE(
    "peer socket: only new, authenticated datagrams of peers are delivered, others are counted by reason") {
  EventLoop loop;
  const RawPeer own;
  const RawPeer peer;
  const RawPeer unknown_sender;
  const RawPeer other_peer;
  TransportSettings settings{
      {0x7f000001, 0}, {own.address(), peer.address(), other_peer.address()}, 0, {}, {kKey}};
  std::vector<Envelope> received;
  PeerSocket socket(loop, settings, 1, [&](const Envelope& envelope) { received.push_back(envelope); });
  const auto fingerprint = member_list_fingerprint(settings.members);
  const Codec valid_codec(fingerprint, 1, 3, {kKey});
  const Codec wrong_key(fingerprint, 1, 3, {kOtherKey});
  const Codec wrong_fingerprint(fingerprint + 1, 1, 3, {kKey});
  const auto now = static_cast<Incarnation>(monotonic_now().time_since_epoch().count());
  const auto send = [&](const RawPeer& from, const Codec& codec, MemberId sender, Incarnation incarnation,
                        std::uint64_t sequence) {
    from.send(socket.local(),
              std::get<std::string>(codec.encode({sender, incarnation, sequence, Ping{7}, {}}, 0)));
  };
  send(own, valid_codec, 0, now, 1);
  send(unknown_sender, valid_codec, 1, now, 1);
  send(peer, wrong_key, 1, now, 1);
  send(peer, wrong_fingerprint, 1, now, 1);
  send(other_peer, valid_codec, 1, now, 1);
  send(peer, valid_codec, 1, now + 3'600'000'000, 1);
  send(peer, valid_codec, 1, now, 100);
  send(peer, valid_codec, 1, now, 100);
  send(peer, valid_codec, 1, now, 36);
  send(peer, valid_codec, 1, now - 1, 101);
  peer.send(socket.local(), std::string(257, 'x'));
  peer.send(socket.local(), "");
  send(peer, valid_codec, 1, now + 1, 1);
  REQUIRE(test::run_script(loop, {{[&] { return socket.metrics().received == 13; },
                                   [&] {
                                     socket.set_keys({kOtherKey, kKey});
                                     send(peer, wrong_key, 1, now + 1, 2);
                                     send(peer, valid_codec, 1, now + 1, 3);
                                   }},
                                  {[&] { return socket.metrics().received == 15; }}}));
  const TransportMetrics& metrics = socket.metrics();
  for (const DropReason expected :
       {DropReason::kUnknownSender, DropReason::kInvalidMac, DropReason::kForeignCluster,
        DropReason::kSenderMismatch, DropReason::kFutureIncarnation, DropReason::kDuplicate,
        DropReason::kTooOld, DropReason::kOldIncarnation, DropReason::kTooLong, DropReason::kEmpty,
        DropReason::kOwnMessage}) {
    CAPTURE(description_of(expected));
    CHECK(metrics.count(expected) == 1);
  }
  std::set<std::string_view> metric_names;
  for (const DropReasonInfo& info : kDropReasons) metric_names.insert(info.metric_name);
  CHECK(metric_names.size() == kDropReasonCount);
  CHECK(metrics.delivered == 4);
  REQUIRE(received.size() == 4);
  CHECK(received[0] == Envelope{1, now, 100, Ping{7}, {}});
  CHECK(received[1].incarnation == now + 1);
}

TEST_CASE("peer socket: a flood is read in batches of 64 datagrams per iteration of the loop") {
  EventLoop loop;
  const RawPeer peer;
  int in_iteration = 0;
  int most_in_iteration = 0;
  PeerSocket socket(
      loop, {{0x7f000001, 0}, {{0x7f000001, 1}, peer.address()}, 0, {}, {}}, 1,
      [&](const Envelope&) { most_in_iteration = std::max(most_in_iteration, ++in_iteration); });
  loop.on_iteration_end([&] { in_iteration = 0; });
  const Codec codec(member_list_fingerprint({{0x7f000001, 1}, peer.address()}), 1, 2, {});
  for (std::uint64_t i = 1; i <= 200; ++i)
    peer.send(socket.local(), std::get<std::string>(codec.encode({1, 1, i, Ping{}, {}}, 0)));
  REQUIRE(test::run_script(loop, {{[&] { return socket.metrics().delivered == 200; }}}));
  CHECK(most_in_iteration == 64);
}

TEST_CASE("peer socket: sending above the rate limit fails, and a quarter is reserved for consensus") {
  EventLoop loop;
  const RawPeer peer;
  TransportSettings settings{{0x7f000001, 0}, {{0x7f000001, 1}, peer.address()}, 0, {}, {}, 2048};
  PeerSocket socket(
      loop, settings, 1, [](const Envelope&) {},
      [](MemberId, std::size_t limit) {
        return std::vector<GossipUpdate>(limit + 3, GossipUpdate{1, ~0ull, {}});
      });
  // All messages are sent at the same loop time, so that the limiter gains no tokens in between.
  int probes = 0;
  int queries = 0;
  while (!socket.send(1, Ping{1})) ++probes;
  while (!socket.send(1, RecoveryQuery{1, 1})) ++queries;
  CHECK(probes == 7);  // Of about 210 bytes; before each, 256 bytes and a quarter of 2,048 must be left.
  CHECK(queries == 2);
  CHECK(socket.send(1, Ping{1}) == DropReason::kRateLimited);
  CHECK(socket.metrics().count(DropReason::kRateLimited) == 3);
  CHECK(socket.metrics().sent == 9);
  CHECK(socket.metrics().sent_bytes <= 2048);
  CHECK(socket.send(0, Ping{1}) == DropReason::kOwnMessage);
  CHECK(socket.send(2, Ping{1}) == DropReason::kUnknownMember);
  // After more than a second, the tokens of one second are available.
  const Time start = loop.now();
  REQUIRE(test::run_script(loop, {{[&] { return loop.now() >= start + 1100ms; },
                                   [&] {
                                     queries = 0;
                                     while (!socket.send(1, RecoveryQuery{1, 1})) ++queries;
                                   }}}));
  CHECK(queries == 9);
}

TEST_CASE("peer socket: binding is retried until the predecessor releases the port") {
  EventLoop loop;
  RawPeer predecessor;
  const SocketAddress own = predecessor.address();
  PeerSocket socket(loop, {own, {own, {0x7f000001, 1}}, 0, {}, {}}, 1, [](const Envelope&) {});
  CHECK_FALSE(socket.is_open());
  CHECK(socket.open_errno() == EADDRINUSE);
  CHECK(socket.send(1, Ping{}) == DropReason::kSocketClosed);
  predecessor.socket.reset();
  REQUIRE(test::run_script(loop, {{[&] { return socket.is_open(); }}}));
  CHECK(socket.local() == own);
}

TEST_CASE("peer socket: an invalid list of members is rejected") {
  EventLoop loop;
  const SocketAddress one{0x7f000001, 1};
  const SocketAddress two{0x7f000001, 2};
  std::vector<SocketAddress> many;
  for (std::uint32_t i = 0; i <= kMaxMembers; ++i) many.push_back({0x7f000001 + i, 1});
  const std::pair<std::vector<SocketAddress>, MemberId> cases[] = {
      {{}, 0}, {{one, two}, 2}, {{one, two, one}, 0}, {many, 0}};
  for (const auto& [peers, self] : cases) {
    CHECK_THROWS_AS(PeerSocket(loop, {{0x7f000001, 0}, peers, self, {}, {}}, 1, [](const Envelope&) {}),
                    SettingsError);
  }
}

TEST_CASE("peer socket: a message to all reaches every other member, with and without a broadcast address") {
  for (const bool has_broadcast_address : {true, false}) {
    PeerNetwork net(1, 4, has_broadcast_address);
    CHECK_FALSE(net.sockets[2]->send_all(RecoveryQuery{5, 6}));
    REQUIRE(test::run_script(
        net.loop,
        {{[&] { return net.received[0].size() + net.received[1].size() + net.received[3].size() == 3; }}}));
    for (const int i : {0, 1, 3}) CHECK(net.received[i].at(0).body == MessageBody(RecoveryQuery{5, 6}));
    CHECK(net.received[2].empty());
    CHECK(net.sockets[2]->metrics().sent == (has_broadcast_address ? 1 : 3));
  }
}

}  // namespace
}  // namespace rookproxy::cluster::transport
