// A network between stand-ins that loses, delays, doubles and swaps datagrams, and cuts, holds and resets
// connections, one way or both, as a seed and a script say.
#pragma once

#include <cstdint>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "net/loop.h"

namespace rookproxy::test {

// One way from one node to another. Parts are of 0 to 1.
struct RelayRule {
  bool cut = false;  // datagrams are lost; a connection's bytes wait in it until it is not cut any more
  double drop = 0;   // datagrams
  double twice = 0;  // datagrams
  double swap = 0;   // datagrams held back until the next one that way has passed, or for kSwapWait
  Duration least{}, most{};  // delay, drawn evenly; a connection's bytes keep their order
};

struct RelayCount {
  std::uint64_t came = 0, passed = 0, lost = 0, doubled = 0, swapped = 0;  // datagrams
  std::uint64_t connections = 0, bytes = 0;                                // opened that way; passed that way
  bool operator==(const RelayCount&) const = default;
};

// On 127.0.0.1, on ports that the kernel chooses. Every way has dice of its own, thrown a fixed number of
// times for each datagram that comes that way: what becomes of the n-th one depends on the seed and the rule
// alone, not on what passes elsewhere.
class Relay {
 public:
  using Node = std::uint32_t;
  struct Step {
    Duration after;  // the playing's start
    std::function<void(Relay&)> act;
  };
  static constexpr Duration kSwapWait = std::chrono::milliseconds(50);

  Relay(Loop& loop, std::uint64_t seed);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  // The address that stands for this node's UDP socket to all others: what is sent there from another's real
  // address reaches this node's real one, from the address that stands for the sender.
  Endpoint stand_for(Node node);
  // That address's other side, once it is known, and again after a restart elsewhere.
  void is_at(Node node, const Endpoint& real);
  // An address that reaches all others, as the platform's `peers_all`.
  Endpoint stand_for_all();
  // An address at which `from` reaches `target`, a TCP listener of node `to`. What goes out is under the rule
  // from-to, what comes back under the rule to-from.
  Endpoint tcp(Node from, Node to, const Endpoint& target);

  void set_rule(Node from, Node to, const RelayRule& rule);
  // Of every way that has no rule of its own.
  void set_usual(const RelayRule& rule);
  // Both ways between the two, or between the two sides.
  void cut(Node one, Node other, bool is_cut = true);
  void part(const std::vector<Node>& side, const std::vector<Node>& other, bool is_parted = true);
  // Ends the TCP connections from one to the other by a reset, on both sides.
  void reset(Node from, Node to);
  // Runs a script's steps at their times from now on.
  void play(std::vector<Step> script);

  const RelayCount& count(Node from, Node to);
  std::uint64_t strays() const { return strays_; }  // datagrams from an address that is no node's

 private:
  struct Door;  // a UDP socket that stands for a node, or for all
  struct Way;   // from one node to another
  struct Gate;  // a TCP listener that stands for a target
  struct Wire;  // a TCP connection through a gate
  Way& way(Node from, Node to);
  const RelayRule& rule(Node from, Node to) const;
  void heard(const Door& door);
  void carry(Node from, Node to, std::string_view bytes);
  void pass(Node from, Node to, std::string bytes, Duration late);
  void let_go(Node from, Node to);
  void accept(Gate& gate);
  void pump(Wire& wire);
  void pump_from(Wire& wire, int side);
  void end(Wire& wire, bool by_reset);
  void look_again();
  void later(Duration wait, std::function<void()> task);

  Loop& loop_;
  std::uint64_t seed_;
  RelayRule usual_;
  std::map<Node, std::unique_ptr<Door>> doors_;
  std::unique_ptr<Door> all_;
  std::map<Endpoint, Node> nodes_;  // by real address
  std::map<std::pair<Node, Node>, std::unique_ptr<Way>> ways_;
  std::vector<std::unique_ptr<Gate>> gates_;
  std::map<std::uint64_t, std::unique_ptr<Wire>> wires_;
  std::map<std::uint64_t, TimerKey> timers_;
  std::uint64_t next_ = 1, strays_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// A relay on a loop and a thread of its own.
class RelayThread {
 public:
  explicit RelayThread(std::uint64_t seed);
  ~RelayThread();
  // Does it on the relay's thread, and waits until it is done.
  template <class Act>
  auto with(Act act) {
    std::packaged_task<decltype(act(std::declval<Relay&>()))()> task([this, &act] { return act(*relay_); });
    auto done = task.get_future();
    hand_over([&task] { task(); });
    return done.get();
  }

 private:
  struct Bell;
  void hand_over(std::function<void()> task);
  void run(std::uint64_t seed, std::promise<void>& ready);
  std::mutex mutex_;
  std::vector<std::function<void()>> tasks_;
  std::unique_ptr<Bell> bell_;
  Relay* relay_ = nullptr;  // of the thread
  std::thread thread_;
};

}  // namespace rookproxy::test
