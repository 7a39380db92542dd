// Simulates a cluster of Consensus members in virtual time, with lost, duplicated and late messages,
// partitions, restarts and stalls. The same seed reproduces the same run.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <numeric>
#include <queue>
#include <random>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

#include "cluster/consensus.h"

namespace rookproxy::cluster {

// The members, the network between them, and the invariants that are checked after each event.
class ConsensusCluster {
 public:
  static constexpr Time kStart{Duration(1'700'000'000'000'000)};

  // Starts all members within `start_spread`.
  ConsensusCluster(std::size_t member_count, std::uint64_t seed, Duration start_spread = Duration(0))
      : partition(member_count),
        stopped_until(member_count),
        sent(member_count),
        members(member_count),
        process_numbers_(member_count),
        highest_epochs_(member_count),
        random_(seed) {
    for (std::size_t i = 0; i < member_count; ++i) {
      const Duration delay =
          start_spread == Duration(0) ? start_spread : Duration(below(start_spread.count()));
      start(static_cast<MemberId>(i), delay);
    }
  }

  // Starts a new process of a member, which replaces an earlier one.
  void start(MemberId member, Duration delay = Duration(0)) {
    ConsensusSettings settings;
    settings.self = member;
    settings.member_count = members.size();
    settings.process_incarnation = ++process_numbers_[member] * 1000 + member;
    settings.seed = random_();
    members[member] = std::make_unique<Consensus>(settings, ClusterConfig{}, now + delay);
    highest_epochs_[member] = 0;
    schedule_timer(member);
  }

  void run(Duration duration) {
    const Time end = now + duration;
    while (!events_.empty() && events_.top().at <= end) {
      const Event event = events_.top();
      events_.pop();
      now = event.at;
      handle(event);
    }
    now = end;
  }

  // Makes a member propose a plan with this fingerprint for the epoch `epochs_ahead` after the known one.
  ProposeResult propose(MemberId member, std::uint32_t fingerprint, std::uint32_t epochs_ahead = 1) {
    ClusterConfig plan;
    plan.epoch = members[member]->epoch() + epochs_ahead;
    plan.fingerprint = fingerprint;
    const ProposeOutcome outcome = members[member]->propose(now, plan);
    send(member, outcome.messages);
    return outcome.result;
  }

  template <class Predicate>
  std::size_t count_members(Predicate predicate) const {
    return static_cast<std::size_t>(std::count_if(members.begin(), members.end(),
                                                  [&](const auto& member) { return predicate(*member); }));
  }
  std::size_t voting_count() const {
    return count_members([](const Consensus& member) { return member.is_voting(); });
  }
  std::size_t lease_holder_count() const {
    return count_members([&](const Consensus& member) { return member.lease_holds(now); });
  }
  std::size_t count_with_plan(std::uint32_t fingerprint) const {
    return count_members([&](const Consensus& member) { return member.plan().fingerprint == fingerprint; });
  }
  std::uint64_t total_sent() const { return std::accumulate(sent.begin(), sent.end(), std::uint64_t{0}); }

  // The number of epochs whose plan has been known to any member.
  std::size_t known_epoch_count() const { return plans_.size(); }
  // Whether no two different plans of one epoch have ever been known to any members.
  bool has_one_plan_per_epoch() const { return has_one_plan_per_epoch_; }
  // Whether the epoch of no process has decreased.
  bool has_epochs_in_order() const { return has_epochs_in_order_; }

  // Messages between members with different values are lost.
  void set_partition(std::vector<int> groups) { partition = std::move(groups); }
  void heal() { partition.assign(members.size(), 0); }
  // All messages between these two members are lost, whatever the partition.
  void cut(MemberId one, MemberId other) {
    cut_links_.insert({one, other});
    cut_links_.insert({other, one});
  }

  std::int64_t below(std::int64_t bound) {
    return std::uniform_int_distribution<std::int64_t>(0, bound - 1)(random_);
  }
  bool happens(double probability) { return std::uniform_real_distribution<>(0, 1)(random_) < probability; }

  // The faults of the network. They may be changed during a run.
  Duration max_delay = std::chrono::milliseconds(20);
  double loss = 0;
  double duplication = 0;
  double long_delay = 0;  // The probability of an additional delay of three seconds.
  std::vector<int> partition;
  std::vector<Time> stopped_until;

  Time now = kStart;
  std::vector<std::uint64_t> sent;  // The number of messages sent by each member.
  std::vector<std::unique_ptr<Consensus>> members;

 private:
  // The arrival of a message, or a timer.
  struct Event {
    Time at;
    std::uint64_t order;
    MemberId from;
    MemberId to;                   // Equal to `from` for a timer of that member.
    std::uint64_t process_number;  // The sender's process.
    MessageBody body;
    bool operator>(const Event& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
  };

  void schedule_timer(MemberId member) {
    const Time due = std::max(members[member]->next_due(), now);
    events_.push({due, ++order_, member, member, process_numbers_[member], {}});
  }

  void handle(const Event& event) {
    Consensus& receiver = *members[event.to];
    if (stopped_until[event.to] > now) {  // The socket queues messages meanwhile.
      Event later = event;
      later.at = stopped_until[event.to];
      later.order = ++order_;
      events_.push(later);
    } else if (event.from != event.to) {
      send(event.to, receiver.receive(now, event.from, event.process_number, event.body));
    } else if (event.process_number == process_numbers_[event.to] && receiver.next_due() <= now) {
      send(event.to, receiver.on_timer(now));
    }
  }

  void send(MemberId from, const std::vector<OutgoingMessage>& messages) {
    for (const OutgoingMessage& message : messages) {
      ++sent[from];
      const bool is_cut = cut_links_.contains({from, message.to});
      if (is_cut || partition[from] != partition[message.to] || happens(loss)) continue;
      for (int copies = happens(duplication) ? 2 : 1; copies > 0; --copies) {
        const Duration extra = happens(long_delay) ? std::chrono::seconds(3) : Duration(0);
        const Time arrival = now + Duration(1 + below(max_delay.count())) + extra;
        events_.push({arrival, ++order_, from, message.to, process_numbers_[from], message.body});
      }
    }
    check_invariants(from);
    schedule_timer(from);
  }

  void check_invariants(MemberId member) {
    const ClusterConfig& plan = members[member]->plan();
    const auto known = plans_.emplace(plan.epoch, plan).first;
    if (known->second != plan) has_one_plan_per_epoch_ = false;
    if (plan.epoch < highest_epochs_[member]) has_epochs_in_order_ = false;
    highest_epochs_[member] = plan.epoch;
  }

  std::vector<std::uint64_t> process_numbers_;  // The number of each member's current process.
  std::vector<std::uint32_t> highest_epochs_;   // The highest epoch of each current process.
  std::set<std::pair<MemberId, MemberId>> cut_links_;
  std::map<std::uint32_t, ClusterConfig> plans_;
  bool has_one_plan_per_epoch_ = true;
  bool has_epochs_in_order_ = true;
  std::mt19937_64 random_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t order_ = 0;
};

}  // namespace rookproxy::cluster
