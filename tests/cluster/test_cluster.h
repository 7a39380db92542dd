// Deciders of a fleet on a network in virtual time: seeded loss, delay, doubling, reordering, cuts in one or
// both directions, stalls, kills and restarts. The same seed gives the same run.
//
// A Node has `std::vector<Item> tick(Time)` and `std::vector<Item> on(Time, MemberId from, const Item&)`; an
// Item has `to`. Nodes with `Time next_due()` are ticked then, others every `tick_every`.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <vector>

#include "base/time.h"
#include "cluster/types.h"

namespace rookproxy::cluster {

struct WorldSettings {
  std::uint64_t seed = 1;
  double loss = 0, doubling = 0, straggling = 0;  // chances, of each message
  Duration least_delay{200}, most_delay{2000};    // one way; even between, so close messages change places
  Duration straggler{300'000};                    // the most that a straggling one takes
  std::size_t queue = 256;                        // messages that wait for a stalled node; more are lost
  Duration tick_every{10'000};
};

template <class Node>
class FleetWorld {
 public:
  using Items = decltype(std::declval<Node&>().tick(Time{}));
  using Item = typename Items::value_type;
  using Make = std::function<std::unique_ptr<Node>(MemberId, Time)>;

  // Nobody runs yet.
  FleetWorld(std::size_t members, WorldSettings network, Make make)
      : settings(network), make_(std::move(make)), random_(network.seed), places_(members) {
    for (Place& place : places_) place.cut.resize(members);
  }

  WorldSettings settings;                         // may change while it runs
  std::function<std::size_t(const Item&)> weigh;  // bytes of a message
  std::function<void(MemberId)> after;  // a node has had an event: the place to check what must always hold

  Time now() const { return now_; }
  std::size_t size() const { return places_.size(); }
  Node* node(std::size_t member) { return places_[member].node.get(); }  // null: killed or not started

  // Also a restart: the node is made anew and remembers nothing.
  void start(std::size_t member) {
    Place& place = places_[member];
    place.node = make_(static_cast<MemberId>(member), now_);
    place.stalled = false;
    place.inbox.clear();
    ++place.life;
    schedule(member);
  }
  void start_all() {
    for (std::size_t i = 0; i < size(); ++i) start(i);
  }
  void kill(std::size_t member) {
    places_[member].node.reset();
    places_[member].inbox.clear();
    ++places_[member].life;
  }
  // No ticks; messages wait.
  void stall(std::size_t member, Duration span) {
    places_[member].stalled = true;
    push({now_ + span, 0, kWake, member, 0, places_[member].life, {}});
  }
  void cut(std::size_t from, std::size_t to, bool is_cut = true) { places_[from].cut[to] = is_cut; }
  // Those of different sides do not hear each other.
  void partition(const std::function<int(std::size_t)>& side) {
    for (std::size_t a = 0; a < size(); ++a) {
      for (std::size_t b = 0; b < size(); ++b) cut(a, b, side(a) != side(b));
    }
  }
  void heal() {
    partition([](std::size_t) { return 0; });
  }
  // Puts messages on the wire as if `from` had decided so.
  void send(std::size_t from, const Items& items) {
    for (const Item& item : items) {
      Place& sender = places_[from];
      ++sender.messages;
      if (weigh) sender.bytes += weigh(item);
      if (item.to >= size() || sender.cut[item.to] || chance(settings.loss)) continue;
      for (int copies = chance(settings.doubling) ? 2 : 1; copies > 0; --copies) {
        const Duration most = chance(settings.straggling) ? settings.straggler : settings.most_delay;
        const Duration delay(std::uniform_int_distribution<Duration::rep>(settings.least_delay.count(),
                                                                          most.count())(random_));
        push({now_ + delay, 0, kMessage, item.to, from, 0, item});
      }
    }
  }
  void run(Duration span) {
    run_until([] { return false; }, span);
  }
  // Until `done`, looked at every 10 ms, or the limit: then nothing.
  std::optional<Duration> run_until(const std::function<bool()>& done, Duration limit) {
    const Time from = now_, end = now_ + limit;
    while (true) {
      if (done()) return now_ - from;
      if (now_ >= end) return std::nullopt;
      const Time stop = std::min(end, now_ + Duration(10'000));
      while (!events_.empty() && events_.top().at <= stop) {
        Event event = events_.top();
        events_.pop();
        now_ = event.at;
        happen(event);
      }
      now_ = stop;
    }
  }
  std::uint64_t bytes(std::size_t member) const { return places_[member].bytes; }  // sent
  std::uint64_t messages(std::size_t member) const { return places_[member].messages; }

 private:
  enum Kind { kMessage, kTick, kWake };
  struct Event {
    Time at;
    std::uint64_t order;
    Kind kind;
    std::size_t member, from;
    std::uint64_t life;  // of the node at scheduling, for a tick and a wake
    std::optional<Item> item;
    bool operator<(const Event& other) const {  // the earliest on top
      return at != other.at ? at > other.at : order > other.order;
    }
  };
  struct Place {
    std::unique_ptr<Node> node;
    std::vector<bool> cut;
    bool stalled = false;
    std::deque<std::pair<std::size_t, Item>> inbox;
    std::uint64_t life = 0, ticks = 0;
    Time tick_at{};
    std::uint64_t bytes = 0, messages = 0;
  };

  bool chance(double of) { return of > 0 && std::uniform_real_distribution<double>(0, 1)(random_) < of; }
  void push(Event event) {
    event.order = order_++;
    events_.push(std::move(event));
  }
  void schedule(std::size_t member) {
    Place& place = places_[member];
    Time at = now_ + settings.tick_every;
    if constexpr (requires(Node & node) { node.next_due(); }) at = std::max(now_, place.node->next_due());
    place.tick_at = at;
    push({at, 0, kTick, member, 0, place.life, {}});
  }
  void handle(std::size_t member, std::size_t from, const Item& item) {
    Place& place = places_[member];
    send(member, place.node->on(now_, static_cast<MemberId>(from), item));
    if (after) after(static_cast<MemberId>(member));
  }
  void tick(std::size_t member) {
    send(member, places_[member].node->tick(now_));
    if (after) after(static_cast<MemberId>(member));
    schedule(member);
  }
  void happen(const Event& event) {
    Place& place = places_[event.member];
    if (!place.node || (event.kind != kMessage && event.life != place.life)) return;
    switch (event.kind) {
      case kMessage:
        if (place.stalled) {
          if (place.inbox.size() < settings.queue) place.inbox.push_back({event.from, *event.item});
          return;
        }
        handle(event.member, event.from, *event.item);
        if constexpr (requires(Node & node) { node.next_due(); }) {
          if (place.node->next_due() < place.tick_at) schedule(event.member);
        }
        return;
      case kTick:
        // One that was scheduled before an earlier one came up is of no use.
        if (!place.stalled && event.at == place.tick_at) tick(event.member);
        return;
      case kWake: {
        place.stalled = false;
        // A loop may see its timers first or its sockets.
        const bool timers_first = chance(0.5);
        if (timers_first) tick(event.member);
        auto inbox = std::move(place.inbox);
        place.inbox.clear();
        for (const auto& [from, item] : inbox) handle(event.member, from, item);
        if (!timers_first) tick(event.member);
        return;
      }
    }
  }

  Make make_;
  std::mt19937_64 random_;
  std::vector<Place> places_;
  std::priority_queue<Event> events_;
  std::uint64_t order_ = 0;
  Time now_{std::chrono::seconds(1'700'000'000)};
};

}  // namespace rookproxy::cluster
