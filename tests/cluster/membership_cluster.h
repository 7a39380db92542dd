// Simulates a cluster of Membership members in virtual time, with seeded loss, delay, duplication,
// reordering, partitions in one or both directions, stalls, kills and restarts. The same seed reproduces the
// same run.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <tuple>
#include <utility>
#include <vector>

#include "cluster/membership.h"

namespace rookproxy::cluster {

// The faults of the simulated network. Probabilities are per message.
struct NetworkSettings {
  std::uint64_t seed = 1;
  double loss = 0;
  double duplication = 0;
  double long_delay = 0;  // The probability of a delay of up to `max_long_delay`.
  Duration min_delay{200};
  Duration max_delay{2000};  // Delays are uniformly distributed, so that messages overtake each other.
  Duration max_long_delay{300'000};
  std::size_t max_queued = 256;  // Messages that are queued for a stalled member. More are lost.
};

// A message with the data that the transport adds to it.
struct SimulatedDatagram {
  MemberId to = 0;
  Incarnation incarnation = 0;
  MessageBody body;
  std::vector<GossipUpdate> gossip;
};

// One member, with the part of the transport that adds gossip to its messages.
class SimulatedMember {
 public:
  explicit SimulatedMember(const MembershipSettings& settings, Incarnation start, std::uint64_t seed,
                           Time now)
      : membership(settings, start, seed, now) {}

  std::vector<SimulatedDatagram> tick(Time now) { return datagrams_of(membership.tick(now)); }
  std::vector<SimulatedDatagram> receive(Time now, MemberId from, const SimulatedDatagram& datagram) {
    return datagrams_of(membership.receive(now, from, datagram.incarnation, datagram.body, datagram.gossip));
  }
  long count_changes_to(MemberState state) const {
    return std::count_if(changes.begin(), changes.end(),
                         [&](const MemberChange& change) { return change.after == state; });
  }

  Membership membership;
  std::vector<MemberChange> changes;  // All changes since the start.

 private:
  static constexpr std::size_t kGossipLimit = 100;

  std::vector<SimulatedDatagram> datagrams_of(Membership::Result result) {
    std::vector<SimulatedDatagram> datagrams;
    for (OutgoingMessage& message : result.messages) {
      datagrams.push_back({message.to, membership.incarnation(), std::move(message.body),
                           membership.gossip_for(message.to, kGossipLimit)});
    }
    changes.insert(changes.end(), result.changes.begin(), result.changes.end());
    return datagrams;
  }
};

// The members and the simulated network between them.
class MembershipCluster {
 public:
  using MemberFactory =
      std::function<std::unique_ptr<SimulatedMember>(MemberId self, std::size_t member_count, Time now)>;

  // Members do not run until they are started.
  MembershipCluster(std::size_t member_count, NetworkSettings network_settings, MemberFactory factory)
      : network(network_settings),
        factory_(std::move(factory)),
        random_(network_settings.seed),
        nodes_(member_count) {
    for (Node& node : nodes_) node.is_cut.resize(member_count);
  }

  Time now() const { return now_; }
  std::size_t size() const { return nodes_.size(); }
  // Null if the member is killed or not started.
  SimulatedMember* member(std::size_t id) { return nodes_[id].member.get(); }
  Membership& membership(std::size_t id) { return nodes_[id].member->membership; }
  std::uint64_t sent_bytes(std::size_t id) const { return nodes_[id].sent_bytes; }
  std::uint64_t sent_messages(std::size_t id) const { return nodes_[id].sent_messages; }

  // Starts or restarts a member. The new process has no state of an earlier one.
  void start(std::size_t id) {
    Node& node = nodes_[id];
    node.member = factory_(static_cast<MemberId>(id), size(), now_);
    node.is_stalled = false;
    node.inbox.clear();
    ++node.process;
    schedule_tick(id);
  }
  void start_all() {
    for (std::size_t id = 0; id < size(); ++id) start(id);
  }
  void kill(std::size_t id) {
    nodes_[id].member.reset();
    nodes_[id].inbox.clear();
    ++nodes_[id].process;
  }
  // Suspends the member's timers and queues messages to it.
  void stall(std::size_t id, Duration span) {
    nodes_[id].is_stalled = true;
    schedule({now_ + span, 0, EventKind::kResume, id, 0, nodes_[id].process, {}});
  }
  // Drops all messages in one direction.
  void cut(std::size_t from, std::size_t to, bool is_cut = true) { nodes_[from].is_cut[to] = is_cut; }
  // Drops all messages between members of different groups.
  void partition(const std::function<int(std::size_t)>& group_of) {
    for (std::size_t from = 0; from < size(); ++from) {
      for (std::size_t to = 0; to < size(); ++to) cut(from, to, group_of(from) != group_of(to));
    }
  }
  void heal() {
    partition([](std::size_t) { return 0; });
  }

  void run(Duration span) {
    run_until([] { return false; }, span);
  }
  // Runs until `is_done`, which is checked every 10 ms, holds, and returns the time that took; nothing if the
  // limit was reached.
  std::optional<Duration> run_until(const std::function<bool()>& is_done, Duration limit) {
    const Time start = now_;
    const Time end = now_ + limit;
    while (true) {
      if (is_done()) return now_ - start;
      if (now_ >= end) return std::nullopt;
      const Time next_check = std::min(end, now_ + kCheckInterval);
      while (!events_.empty() && events_.top().at <= next_check) {
        const Event event = events_.top();
        events_.pop();
        now_ = event.at;
        handle(event);
      }
      now_ = next_check;
    }
  }

  NetworkSettings network;                                       // May be changed during a run.
  std::function<std::size_t(const SimulatedDatagram&)> size_of;  // The bytes of a datagram, to count them.
  std::function<void(MemberId)> on_event;                        // Called after a member handled an event.

 private:
  static constexpr Duration kCheckInterval{10'000};

  enum class EventKind : std::uint8_t { kMessage, kTick, kResume };
  struct Event {
    Time at;
    std::uint64_t order;
    EventKind kind;
    std::size_t to;
    std::size_t from;       // The sender of a message.
    std::uint64_t process;  // The process that scheduled a tick or a resumption.
    std::optional<SimulatedDatagram> datagram;
    bool operator<(const Event& other) const {  // The earliest is at the top of the queue.
      return std::tie(other.at, other.order) < std::tie(at, order);
    }
  };
  struct Node {
    std::unique_ptr<SimulatedMember> member;
    std::vector<bool> is_cut;  // For each receiver, whether messages to it are dropped.
    bool is_stalled = false;
    std::deque<std::pair<std::size_t, SimulatedDatagram>> inbox;  // Each with its sender.
    std::uint64_t process = 0;                                    // The number of the current process.
    Time tick_at{};
    std::uint64_t sent_bytes = 0;
    std::uint64_t sent_messages = 0;
  };

  bool happens(double probability) {
    return probability > 0 && std::uniform_real_distribution<double>(0, 1)(random_) < probability;
  }
  void schedule(Event event) {
    event.order = order_++;
    events_.push(std::move(event));
  }
  void schedule_tick(std::size_t id) {
    Node& node = nodes_[id];
    node.tick_at = std::max(now_, node.member->membership.next_due());
    schedule({node.tick_at, 0, EventKind::kTick, id, 0, node.process, {}});
  }

  void send(std::size_t from, const std::vector<SimulatedDatagram>& datagrams) {
    for (const SimulatedDatagram& datagram : datagrams) {
      Node& sender = nodes_[from];
      ++sender.sent_messages;
      if (size_of) sender.sent_bytes += size_of(datagram);
      if (datagram.to >= size() || sender.is_cut[datagram.to] || happens(network.loss)) continue;
      for (int copies = happens(network.duplication) ? 2 : 1; copies > 0; --copies) {
        const Duration most = happens(network.long_delay) ? network.max_long_delay : network.max_delay;
        const Duration delay(
            std::uniform_int_distribution<Duration::rep>(network.min_delay.count(), most.count())(random_));
        schedule({now_ + delay, 0, EventKind::kMessage, datagram.to, from, 0, datagram});
      }
    }
  }

  void deliver(std::size_t to, std::size_t from, const SimulatedDatagram& datagram) {
    send(to, nodes_[to].member->receive(now_, static_cast<MemberId>(from), datagram));
    if (on_event) on_event(static_cast<MemberId>(to));
  }
  void tick(std::size_t id) {
    send(id, nodes_[id].member->tick(now_));
    if (on_event) on_event(static_cast<MemberId>(id));
    schedule_tick(id);
  }

  void handle(const Event& event) {
    Node& node = nodes_[event.to];
    if (!node.member) return;
    if (event.kind != EventKind::kMessage && event.process != node.process) return;
    switch (event.kind) {
      case EventKind::kMessage:
        handle_message(event);
        return;
      case EventKind::kTick:
        // A tick that has been rescheduled is ignored.
        if (!node.is_stalled && event.at == node.tick_at) tick(event.to);
        return;
      case EventKind::kResume:
        resume(event.to);
        return;
    }
  }
  void handle_message(const Event& event) {
    Node& node = nodes_[event.to];
    if (node.is_stalled) {
      if (node.inbox.size() < network.max_queued) node.inbox.push_back({event.from, *event.datagram});
      return;
    }
    deliver(event.to, event.from, *event.datagram);
    if (node.member->membership.next_due() < node.tick_at) schedule_tick(event.to);
  }
  void resume(std::size_t id) {
    Node& node = nodes_[id];
    node.is_stalled = false;
    // An event loop may handle timers or sockets first.
    const bool ticks_first = happens(0.5);
    if (ticks_first) tick(id);
    const auto inbox = std::exchange(node.inbox, {});
    for (const auto& [from, datagram] : inbox) deliver(id, from, datagram);
    if (!ticks_first) tick(id);
  }

  MemberFactory factory_;
  std::mt19937_64 random_;
  std::vector<Node> nodes_;
  std::priority_queue<Event> events_;
  std::uint64_t order_ = 0;
  Time now_{std::chrono::seconds(1'700'000'000)};
};

}  // namespace rookproxy::cluster
