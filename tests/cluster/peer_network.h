// Members with real sockets and a fault-injecting network between them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "cluster/transport/peer_socket.h"
#include "fakes/fault_injecting_network_thread.h"
#include "net/event_loop.h"

namespace rookproxy::cluster::transport {

// Each member sends to proxy addresses of the network, which forward to the other members.
struct PeerNetwork {
  using Node = test::NodeId;

  PeerNetwork(std::uint64_t seed, std::size_t member_count, bool has_broadcast_address = false)
      : network(loop, seed), received(member_count) {
    TransportSettings settings;
    settings.listen_address = {0x7f000001, 0};
    settings.keys = {std::string(32, 'k')};
    settings.bytes_per_second = 1 << 20;
    for (Node node = 0; node < member_count; ++node) {
      settings.members.push_back(network.proxy_address_of(node));
    }
    if (has_broadcast_address) settings.broadcast_address = network.broadcast_address();
    for (Node node = 0; node < member_count; ++node) {
      settings.self = static_cast<MemberId>(node);
      sockets.push_back(std::make_unique<PeerSocket>(
          loop, settings, 1 + node,
          [this, node](const Envelope& envelope) { received[node].push_back(envelope); }));
      network.set_real_address(node, sockets[node]->local());
    }
  }

  // Whether the network has received this number of datagrams on the link, and has delivered all that it
  // forwards.
  bool has_delivered(Node from, Node to, std::uint64_t datagrams) {
    const auto& statistics = network.statistics(from, to);
    const bool is_forwarded = statistics.datagrams_forwarded + statistics.datagrams_dropped ==
                              statistics.datagrams_received + statistics.datagrams_duplicated;
    return statistics.datagrams_received == datagrams && is_forwarded &&
           sockets[to]->metrics().received >= statistics.datagrams_forwarded;
  }

  EventLoop loop;
  test::FaultInjectingNetwork network;
  std::vector<std::unique_ptr<PeerSocket>> sockets;
  std::vector<std::vector<Envelope>> received;  // The envelopes delivered to each member.
};

}  // namespace rookproxy::cluster::transport
