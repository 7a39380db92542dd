// Tests the fault-injecting network that other tests use, for datagrams and for TCP connections.
#include <sys/socket.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cerrno>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "cluster/event_loop_script.h"
#include "cluster/peer_network.h"
#include "fakes/fault_injecting_network_thread.h"
#include "fakes/sockets.h"
#include "fakes/test_connection.h"
#include "net/clock.h"
#include "net/file_descriptor.h"
#include "net/sockets.h"

namespace rookproxy::cluster::transport {
namespace {

using namespace std::chrono_literals;

TEST_CASE("fault-injecting network: a seed reproduces the faults, and receivers drop duplicates") {
  std::vector<test::LinkStatistics> counts;
  std::vector<std::vector<std::uint64_t>> orders;
  for (const std::uint64_t seed : {9, 9, 10}) {
    PeerNetwork net(seed, 2);
    net.network.set_rule(0, 1, {false, 0.2, 0.2, 0.2});
    for (std::uint32_t i = 0; i < 120; ++i) net.sockets[0]->send(1, Ping{i});
    REQUIRE(test::run_script(net.loop, {{[&] { return net.has_delivered(0, 1, 120); }}}));
    counts.push_back(net.network.statistics(0, 1));
    auto& order = orders.emplace_back();
    for (const auto& envelope : net.received[1]) order.push_back(envelope.sequence);
    CHECK(order.size() == 120 - counts.back().datagrams_dropped);
    CHECK_FALSE(std::is_sorted(order.begin(), order.end()));
    CHECK(net.sockets[1]->metrics().count(DropReason::kDuplicate) == counts.back().datagrams_duplicated);
  }
  CHECK(counts[0] == counts[1]);
  CHECK(orders[0] == orders[1]);
  CHECK_FALSE(orders[0] == orders[2]);
  CHECK(counts[0].datagrams_dropped > 12);
  CHECK(counts[0].datagrams_duplicated > 8);
  CHECK(counts[0].datagrams_reordered > 8);
}

TEST_CASE("fault-injecting network: one-way and two-way partitions, delays and a schedule take effect") {
  PeerNetwork net(3, 3);
  const auto send = [&](int from, int to, std::uint32_t number) {
    net.sockets[from]->send(static_cast<MemberId>(to), Ping{number});
  };
  net.network.set_rule(0, 1, {true});
  Time sent_at{};
  Time received_at{};
  send(0, 1, 1);
  send(1, 0, 2);
  REQUIRE(test::run_script(
      net.loop,
      {{[&] { return net.received[0].size() == 1 && net.network.statistics(0, 1).datagrams_dropped == 1; },
        [&] {
          net.network.set_rule(0, 1, {});
          net.network.partition_groups({0}, {1, 2});
          for (const auto& [from, to] : {std::pair(0, 1), {1, 0}, {0, 2}, {2, 0}, {1, 2}}) send(from, to, 3);
        }},
       {[&] { return net.received[2].size() == 1 && net.network.statistics(2, 0).datagrams_dropped == 1; },
        [&] {
          net.network.run_schedule({{20ms,
                                     [&](test::FaultInjectingNetwork& network) {
                                       network.partition_groups({0}, {1, 2}, false);
                                     }},
                                    {30ms, [&](test::FaultInjectingNetwork& network) {
                                       network.set_default_rule({false, 0, 0, 0, 40ms, 60ms});
                                       sent_at = net.loop.now();
                                       send(2, 1, 4);
                                     }}});
        }},
       {[&] { return net.received[1].size() == 1; }, [&] { received_at = net.loop.now(); }},
       {[] { return true; }, [&] { send(0, 2, 5); }},
       {[&] { return net.received[2].size() == 2; }}}));
  CHECK(received_at - sent_at >= 40ms);
  for (const auto& [from, to] : {std::pair(0, 1), {1, 0}, {0, 2}, {2, 0}})
    CHECK(net.network.statistics(from, to).datagrams_dropped >= 1);
  CHECK(net.network.unknown_sender_datagrams() == 0);
}

TEST_CASE("fault-injecting network: TCP bytes are forwarded, delayed or held, and a reset ends connections") {
  const FileDescriptor listener = test::listen_on_free_port();
  test::FaultInjectingNetworkThread network(4);
  const auto proxy_address = network.run_on_thread([&](test::FaultInjectingNetwork& net) {
    return net.open_tcp_proxy(0, 1, {0x7f000001, local_port(listener)});
  });
  const auto set_rule = [&](test::NodeId from, test::NodeId to, const test::LinkRule& now) {
    network.run_on_thread([&](test::FaultInjectingNetwork& net) { net.set_rule(from, to, now); });
  };
  test::TestConnection client(connect_tcp(proxy_address));
  REQUIRE(test::wait_until_readable(listener, test::kWaitLimit));
  test::TestConnection server(accept_connection(listener));
  const std::string large(3 << 20, 'm');  // Exceeds the capacity of all buffers.
  std::thread sender([&] { client.send(large); });
  CHECK(server.wait_for_bytes(large.size()));
  sender.join();
  CHECK(server.take(large.size()) == large);
  // One direction is held, the other is not affected.
  set_rule(0, 1, {true});
  client.send("up");
  server.send("down");
  REQUIRE(client.wait_for_bytes(4));
  CHECK(client.take(4) == "down");
  CHECK_FALSE(server.wait_for_bytes(1, 50ms));
  set_rule(0, 1, {});
  REQUIRE(server.wait_for_bytes(2));
  CHECK(server.take(2) == "up");
  // Bytes arrive late but in order, although each piece has a different delay.
  set_rule(1, 0, {false, 0, 0, 0, 30ms, 90ms});
  const Time start = monotonic_now();
  std::string all;
  for (char c = 'a'; c <= 'j'; ++c) {
    server.send(std::string(1, c));
    all += c;
    std::this_thread::sleep_for(2ms);
  }
  REQUIRE(client.wait_for_bytes(10));
  CHECK(monotonic_now() - start >= 30ms);
  CHECK(client.take(10) == all);
  // A shutdown in one direction is forwarded, the other is not affected.
  ::shutdown(client.fd().get(), SHUT_WR);
  CHECK(server.wait_for_end());
  server.send("late");
  CHECK(client.wait_for_bytes(4));
  CHECK(network.run_on_thread([](test::FaultInjectingNetwork& net) { return net.statistics(0, 1); })
            .bytes_forwarded == large.size() + 2);
  // A partition blocks new connections; a reset ends the open ones.
  set_rule(0, 1, {true});
  test::TestConnection second(connect_tcp(proxy_address));
  CHECK_FALSE(test::wait_until_readable(listener, 50ms));
  set_rule(0, 1, {});
  REQUIRE(test::wait_until_readable(listener, test::kWaitLimit));
  test::TestConnection other(accept_connection(listener));
  network.run_on_thread([](test::FaultInjectingNetwork& net) { net.reset_connections(0, 1); });
  char byte = 0;
  REQUIRE(test::wait_until_readable(second.fd(), test::kWaitLimit));
  CHECK(::recv(second.fd().get(), &byte, 1, 0) == -1);
  CHECK(errno == ECONNRESET);
  CHECK(other.wait_for_end());
}

}  // namespace
}  // namespace rookproxy::cluster::transport
