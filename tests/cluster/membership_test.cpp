// Membership over whole fleets in virtual time.
#include "cluster/membership.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

#include "cluster/test_cluster.h"

namespace rookproxy::cluster {
namespace {

using namespace std::chrono_literals;
using State = MemberState;

struct Letter {
  MemberId to = 0;
  Incarnation incarnation = 0;
  MessageBody body;
  std::vector<GossipUpdate> rumours;
};

// What carries the messages of one Membership.
struct Node {
  Membership members;
  std::vector<Membership::MemberChange> changes{};

  std::vector<Letter> carry(Membership::Result step) {
    std::vector<Letter> letters;
    for (OutgoingMessage& out : step.messages) {
      letters.push_back(
          {out.to, members.incarnation(), std::move(out.body), members.gossip_for(out.to, 100)});
    }
    changes.insert(changes.end(), step.changes.begin(), step.changes.end());
    return letters;
  }
  std::vector<Letter> tick(Time now) { return carry(members.tick(now)); }
  std::vector<Letter> on(Time now, MemberId from, const Letter& letter) {
    return carry(members.receive(now, from, letter.incarnation, letter.body, letter.rumours));
  }
  Time next_due() const { return members.next_due(); }
  long moved_to(State state) const {
    return std::count_if(changes.begin(), changes.end(),
                         [&](const auto& each) { return each.after == state; });
  }
};
using World = FleetWorld<Node>;

constexpr Duration kPeriod = 500ms;

MembershipSettings settings_of(std::size_t self, std::size_t members) {
  MembershipSettings settings;
  settings.self = static_cast<MemberId>(self);
  settings.member_count = members;
  return settings;
}

Incarnation started(Time now) { return static_cast<Incarnation>(now.time_since_epoch().count()); }

World fleet(std::size_t members, WorldSettings settings) {
  const auto seed = settings.seed;
  return World(members, settings, [members, seed](MemberId self, Time now) {
    return std::unique_ptr<Node>(new Node{
        Membership(settings_of(self, members), started(now), seed * 7919 + self * 31 + started(now), now)});
  });
}

using Pick = std::function<bool(std::size_t)>;
bool anyone(std::size_t) { return true; }
bool nobody(std::size_t) { return false; }
Pick only(std::size_t member) {
  return [member](std::size_t each) { return each == member; };
}

// All that `viewers` hold each of `viewed` (but themselves) so.
bool all_hold(World& world, const Pick& viewers, const Pick& viewed, std::optional<State> state) {
  for (std::size_t a = 0; a < world.size(); ++a) {
    if (!world.node(a) || !viewers(a)) continue;
    for (std::size_t b = 0; b < world.size(); ++b) {
      if (b != a && viewed(b) && world.node(a)->members.state_of(static_cast<MemberId>(b)) != state)
        return false;
    }
  }
  return true;
}
bool all_current(World& world) {
  for (std::size_t a = 0; a < world.size(); ++a) {
    if (world.node(a) && !world.node(a)->members.is_current(world.now())) return false;
  }
  return true;
}
long gone_said(World& world) {
  long all = 0;
  for (std::size_t a = 0; a < world.size(); ++a)
    all += world.node(a) ? world.node(a)->moved_to(State::kFailed) : 0;
  return all;
}
double periods(std::optional<Duration> span) {
  return span ? std::chrono::duration<double>(*span) / std::chrono::duration<double>(kPeriod) : 1e9;
}
// Started, and everybody holds everybody alive.
void settle(World& world) {
  world.start_all();
  const auto took = world.run_until(
      [&] { return all_current(world) && all_hold(world, anyone, anyone, State::kAlive); }, 120s);
  REQUIRE(took);
}

// Numbers of members, with as many seeds as a test of each may cost; each world once it has settled.
struct Size {
  std::size_t members;
  unsigned seeds;
};
void over(const std::vector<Size>& sizes, WorldSettings network,
          const std::function<void(World&, std::size_t)>& test) {
  for (const Size size : sizes) {
    for (unsigned seed = 1; seed <= size.seeds; ++seed) {
      CAPTURE(size.members, seed);
      network.seed = seed;
      World world = fleet(size.members, network);
      settle(world);
      test(world, seed);
    }
  }
}
const WorldSettings kCalm{.seed = 1}, kRough{.seed = 1, .loss = 0.05, .doubling = 0.02, .straggling = 0.01};

TEST_CASE("membership: one message in twenty lost for minutes makes nobody gone") {
  std::uint64_t probes = 0, suspicions = 0, probes_of_three = 0, suspicions_of_three = 0;
  over({{3, 24}, {9, 24}, {100, 2}, {300, 1}}, kRough, [&](World& world, std::size_t) {
    world.run(world.size() > 100 ? 60s : 180s);
    CHECK(gone_said(world) == 0);
    CHECK(all_current(world));
    for (std::size_t a = 0; a < world.size(); ++a) {
      const auto& figures = world.node(a)->members.metrics();
      CHECK(figures.stalls + figures.rate_limited + figures.unknown_members == 0);
      (world.size() > 3 ? probes : probes_of_three) += figures.probes;
      (world.size() > 3 ? suspicions : suspicions_of_three) += figures.suspicions;
    }
  });
  CAPTURE(probes, suspicions, probes_of_three, suspicions_of_three);

  CHECK(suspicions * 10'000 <= probes * 3);
  CHECK(suspicions_of_three * 10'000 <= probes_of_three * 25);  // one proxy alone can be asked
}

TEST_CASE("membership: a killed member is gone everywhere, a restarted one alive everywhere") {
  over({{3, 24}, {9, 24}, {100, 3}, {300, 1}}, kRough, [](World& world, std::size_t seed) {
    const std::size_t victim = seed % world.size();
    const auto span = settings_of(0, world.size()).suspicion_timeout();
    const auto others = [&](std::size_t member) { return member != victim; };

    // Down for half the span: nobody says that it is gone.
    world.kill(victim);
    world.run(span / 2);
    world.start(victim);
    world.run(span);
    CHECK(gone_said(world) == 0);
    CHECK(all_hold(world, others, only(victim), State::kAlive));

    world.kill(victim);
    const auto gone =
        world.run_until([&] { return all_hold(world, others, only(victim), State::kFailed); }, 120s);
    CHECK(periods(gone) <= periods(span) + 10);
    CHECK(gone_said(world) == static_cast<long>(world.size()) - 1);  // and of nobody else

    world.start(victim);
    CHECK(world.node(victim)->members.alive_count() == 1);
    CHECK_FALSE(world.node(victim)->members.is_current(world.now()));
    const auto back =
        world.run_until([&] { return all_hold(world, others, only(victim), State::kAlive); }, 60s);
    CHECK(periods(back) <= 8);
    const auto knows = world.run_until(
        [&] { return world.node(victim)->members.alive_count() == world.size() && all_current(world); }, 60s);
    CHECK(periods(knows) <= 8);
  });
}

TEST_CASE("membership: cut in one direction, both are kept alive by the others' pings") {
  over({{3, 24}, {9, 12}, {100, 2}}, kCalm, [](World& world, std::size_t) {
    world.cut(0, 1);
    world.run(60s);
    for (std::size_t a = 0; a < world.size(); ++a) {
      CHECK(world.node(a)->moved_to(State::kFailed) == 0);
      CHECK(world.node(a)->members.metrics().suspicions == 0);
    }
    if (world.size() <= 9) CHECK(world.node(0)->members.metrics().indirect_probes > 0);
  });
}

TEST_CASE("membership: the sides of a cut hold each other gone, and alive once it heals") {
  for (const std::size_t lesser : {1, 4, 50}) {
    over({{lesser * 2 + 1, lesser < 50 ? 12u : 2u}, {100, 1}}, kRough, [&](World& world, std::size_t) {
      const Pick left = [&](std::size_t member) { return member < lesser; };
      const Pick right = [&](std::size_t member) { return member >= lesser; };
      world.partition(left);
      // Who is alone with a hundred probes them one by one.
      CHECK(world.run_until(
          [&] {
            return all_hold(world, left, right, State::kFailed) &&
                   all_hold(world, right, left, State::kFailed);
          },
          200s));
      CHECK(gone_said(world) == 2 * static_cast<long>(lesser * (world.size() - lesser)));  // and nobody else
      world.heal();
      CHECK(world.run_until([&] { return all_hold(world, anyone, anyone, State::kAlive); }, 60s));
    });
  }
}

TEST_CASE("membership: a member that stood still for ten seconds trusts nothing until it is answered") {
  over({{3, 24}, {9, 24}, {100, 3}}, kRough, [](World& world, std::size_t) {
    const auto& woken = world.node(0)->members;
    const auto before = woken.incarnation();
    std::optional<bool> current;  // right after it woke
    world.stall(0, 10s);
    world.after = [&](MemberId member) {
      if (member == 0 && !current) current = woken.is_current(world.now());
    };
    world.run(9'900ms);
    CHECK_FALSE(current);
    CHECK_FALSE(woken.is_current(world.now()));  // though no tick has told it yet
    world.run(200ms);
    CHECK(current == false);
    CHECK(woken.metrics().stalls == 1);
    CHECK(woken.incarnation() > before);
    CHECK(world.run_until([&] { return all_current(world); }, 10s));
    CHECK(world.run_until([&] { return all_hold(world, anyone, anyone, State::kAlive); }, 20s));
    CHECK(world.node(0)->moved_to(State::kFailed) == 0);
  });
}

TEST_CASE("membership: a member that wakes and hears too few is not current") {
  over({{9, 12}}, kCalm, [](World& world, std::size_t) {
    world.stall(0, 10s);
    world.run(9'900ms);
    world.partition([](std::size_t member) { return member < 4; });  // three of the eight
    world.run(3s);
    CHECK(world.node(0)->members.metrics().stalls == 1);
    CHECK_FALSE(world.node(0)->members.is_current(world.now()));
    world.heal();
    CHECK(world.run_until([&] { return world.node(0)->members.is_current(world.now()); }, 2s));
  });
}

TEST_CASE("membership: a member's traffic does not grow with the fleet") {
  std::vector<double> each;  // bytes a second
  over({{10, 1}, {100, 1}, {300, 1}}, kRough, [&](World& world, std::size_t) {
    // About what a datagram holds beside rumours: sender, incarnation, sequence, proof, body.
    world.weigh = [](const Letter& letter) { return 64 + 11 * letter.rumours.size(); };
    world.run(60s);
    double all = 0, most = 0;
    for (std::size_t a = 0; a < world.size(); ++a) {
      all += static_cast<double>(world.bytes(a)) / 60;
      most = std::max(most, static_cast<double>(world.bytes(a)) / 60);
    }
    each.push_back(all / static_cast<double>(world.size()));
    CHECK(most < 1.5 * each.back());
  });
  CAPTURE(each);
  CHECK(*std::max_element(each.begin(), each.end()) < 1.5 * *std::min_element(each.begin(), each.end()));
  CHECK(each.back() < 1500);
}

TEST_CASE("membership: doubled and reordered messages change nothing, and a seed gives one run") {
  over({{3, 12}, {9, 12}, {100, 2}}, {.seed = 1, .doubling = 1, .straggling = 0.2},
       [](World& world, std::size_t) {
         World twin = fleet(world.size(), world.settings);
         settle(twin);
         std::vector<std::size_t> changes;
         for (std::size_t a = 0; a < world.size(); ++a) changes.push_back(world.node(a)->changes.size());
         world.run(60s);
         twin.run(60s);
         for (std::size_t a = 0; a < world.size(); ++a) {
           CHECK(world.node(a)->changes.size() == changes[a]);
           CHECK(world.messages(a) == twin.messages(a));
         }
       });
}

// ---- one decider, by hand
// -----------------------------------------------------------------------------------

constexpr Incarnation kOwn = 1000, kOther = 500;  // `kOther`: of 1, as held

// Member 0 of four, asked by its timers alone.
struct Hand {
  Time now{std::chrono::seconds(1'700'000'000)};
  Membership members;
  Membership::Result last{};

  explicit Hand(std::size_t count = 4, Incarnation own = kOwn)
      : members(settings_of(0, count), own, 1, now) {}
  void hear(MemberId from, Incarnation incarnation, const MessageBody& body = Lease{},
            const std::vector<GossipUpdate>& rumours = {}) {
    last = members.receive(now, from, incarnation, body, rumours);
  }
  void learn(GossipUpdate rumour) { hear(3, kOther, Lease{}, {rumour}); }
  // Ticks as due; who is pinged answers if `answers`.
  void pass(Duration span, const Pick& answers = nobody) {
    const Time end = now + span;
    while (members.next_due() <= end) {
      now = members.next_due();
      last = members.tick(now);
      const auto sent = last.messages;
      for (const OutgoingMessage& out : sent) {
        const auto* ping = std::get_if<Ping>(&out.body);
        if (ping && answers(out.to)) members.receive(now, out.to, kOther, Ack{ping->number, out.to}, {});
      }
    }
    now = end;
  }
  template <class Kind>
  std::vector<std::pair<MemberId, Kind>> sent() const {
    std::vector<std::pair<MemberId, Kind>> all;
    for (const OutgoingMessage& out : last.messages) {
      if (const auto* kind = std::get_if<Kind>(&out.body)) all.push_back({out.to, *kind});
    }
    return all;
  }
};

TEST_CASE("membership: what moves a member, by state and incarnation") {
  using Held = std::optional<State>;
  const Held unknown;
  const auto word = [](Incarnation incarnation, State state) { return GossipUpdate{1, incarnation, state}; };
  struct Row {
    Held held;            // of 1, at kOther
    GossipUpdate rumour;  // from 3; about 3: a message of 1's own with that incarnation
    Held next;
  };
  const auto own = [](Incarnation incarnation) { return GossipUpdate{3, incarnation, State::kAlive}; };
  const Row rows[] = {
      {unknown, word(1, State::kAlive), State::kAlive},
      {unknown, word(1, State::kSuspect), State::kSuspect},
      {unknown, word(1, State::kFailed), State::kFailed},
      {unknown, own(1), State::kAlive},
      {State::kAlive, word(kOther - 1, State::kSuspect), State::kAlive},
      {State::kAlive, word(kOther - 1, State::kFailed), State::kAlive},
      {State::kAlive, word(kOther, State::kSuspect), State::kSuspect},
      {State::kAlive, word(kOther, State::kFailed), State::kFailed},
      {State::kAlive, word(kOther + 1, State::kFailed), State::kFailed},
      {State::kSuspect, word(kOther - 1, State::kAlive), State::kSuspect},
      {State::kSuspect, word(kOther, State::kAlive), State::kSuspect},
      {State::kSuspect, word(kOther + 1, State::kAlive), State::kAlive},
      {State::kSuspect, own(kOther), State::kSuspect},
      {State::kSuspect, own(kOther + 1), State::kAlive},
      {State::kSuspect, word(kOther - 1, State::kFailed), State::kSuspect},
      {State::kSuspect, word(kOther, State::kFailed), State::kFailed},
      {State::kFailed, word(kOther, State::kAlive), State::kFailed},
      {State::kFailed, word(kOther, State::kSuspect), State::kFailed},
      {State::kFailed, own(kOther), State::kFailed},
      {State::kFailed, own(kOther + 1), State::kAlive},
      {State::kFailed, word(kOther + 1, State::kAlive), State::kAlive},
      {State::kFailed, word(kOther + 1, State::kSuspect), State::kSuspect},
      {State::kFailed, word(kOther + 1, State::kFailed), State::kFailed},
      {State::kFailed, word(kOther - 1, State::kAlive), State::kFailed},
  };
  for (std::size_t i = 0; i < std::size(rows); ++i) {
    CAPTURE(i);
    Hand hand;
    if (rows[i].held) hand.learn(word(kOther, *rows[i].held));
    REQUIRE(hand.members.state_of(1) == rows[i].held);
    const auto& rumour = rows[i].rumour;
    if (rumour.member == 3) {
      hand.hear(1, rumour.incarnation);
    } else {
      hand.learn(rumour);
    }
    CHECK(hand.members.state_of(1) == rows[i].next);
    // What is told of it, and whether others are told of a change.
    const bool moved = rows[i].held != rows[i].next;
    const auto about_1 = std::count_if(hand.last.changes.begin(), hand.last.changes.end(),
                                       [](auto& each) { return each.member == 1; });
    CHECK(about_1 == (moved ? 1 : 0));
    const bool older = rumour.member == 1 && rows[i].held && rumour.incarnation < kOther;
    CHECK(hand.members.metrics().ignored_updates == (older ? 1 : 0));
    const auto held = hand.members.state_of(1);
    const bool counts = held == State::kAlive || held == State::kSuspect;
    CHECK(hand.members.alive_count() == (rumour.member == 3 && !rows[i].held ? 2u : counts ? 3u : 2u));
    CHECK(hand.members.alive_members().size() == hand.members.alive_count());
  }
}

TEST_CASE("membership: a suspicion of itself is refuted, an older one is not worth it") {
  struct Row {
    Incarnation incarnation;
    State state;
    Incarnation next;
  };
  for (const Row& row : {Row{kOwn, State::kSuspect, kOwn + 1}, Row{kOwn, State::kFailed, kOwn + 1},
                         Row{kOwn, State::kAlive, kOwn}, Row{kOwn - 1, State::kFailed, kOwn},
                         // its predecessor's clock was ahead
                         Row{kOwn + 500, State::kAlive, kOwn + 501}}) {
    CAPTURE(row.incarnation, row.state);
    Hand hand;
    hand.hear(1, kOther, Ping{7}, {{0, row.incarnation, row.state}});
    CHECK(hand.members.incarnation() == row.next);
    CHECK(hand.members.state_of(0) == State::kAlive);
    CHECK(hand.members.metrics().refutations == (row.next > kOwn ? 1 : 0));
    CHECK(hand.sent<Ack>() == std::vector<std::pair<MemberId, Ack>>{{1, Ack{7, 0}}});
  }
}

TEST_CASE("membership: silence leads from a ping to others' pings, to suspicion, to gone") {
  Hand hand;
  for (MemberId member : {1, 2, 3}) hand.hear(member, kOther);
  const auto dead = [](std::size_t member) { return member != 1; };
  hand.pass(4 * kPeriod, anyone);
  REQUIRE(hand.members.is_current(hand.now));
  std::optional<Time> asked, suspect, gone;
  while (!gone) {
    hand.pass(hand.members.next_due() - hand.now, dead);
    const auto helpers = hand.sent<PingRequest>();
    if (!helpers.empty() && !asked) {
      asked = hand.now;
      CHECK(helpers.size() == 2);  // 2 and 3: all there are
      for (const auto& [to, ask] : helpers) CHECK((to != 1 && ask.about == 1));
      CHECK(hand.sent<Ping>().size() == 1);
    }
    if (!suspect && hand.members.state_of(1) == State::kSuspect) suspect = hand.now;
    if (hand.members.state_of(1) == State::kFailed) gone = hand.now;
  }
  const auto settings = settings_of(0, 4);
  CHECK(*suspect - *asked == kPeriod - settings.ping_timeout);
  CHECK(*gone - *suspect == settings.suspicion_timeout());
  // What is held against it is told to itself first.
  CHECK(hand.members.gossip_for(1, 8).at(0) == GossipUpdate{1, kOther, State::kFailed});
  // It is forgotten in the end, but what was said before its end still moves nothing.
  hand.pass(settings.failed_member_retention + kPeriod, dead);
  CHECK_FALSE(hand.members.state_of(1));
  hand.learn({1, kOther, State::kAlive});
  hand.hear(1, kOther);
  CHECK_FALSE(hand.members.state_of(1));
  CHECK(hand.members.gossip_for(1, 8).at(0) == GossipUpdate{1, kOther, State::kFailed});
  hand.hear(1, kOther + 1);
  CHECK(hand.members.state_of(1) == State::kAlive);
}

TEST_CASE("membership: who is heard of anew has new time") {
  Hand hand;
  hand.hear(1, kOther);
  while (hand.members.metrics().probes == 0) hand.pass(hand.members.next_due() - hand.now);
  hand.learn({1, kOther + 1, State::kAlive});
  hand.pass(kPeriod);
  CHECK(hand.members.state_of(1) == State::kAlive);
  CHECK(hand.members.metrics().suspicions == 0);

  const auto span = settings_of(0, 4).suspicion_timeout();
  hand.learn({1, kOther + 2, State::kSuspect});
  hand.pass(span - 1ms);
  hand.learn({1, kOther + 3, State::kSuspect});
  hand.pass(span - 1ms);
  CHECK(hand.members.state_of(1) == State::kSuspect);
  hand.pass(1ms);
  CHECK(hand.members.state_of(1) == State::kFailed);

  hand.hear(1, kOther + 4);
  hand.hear(1, kOther);  // started with a clock behind its predecessor's: told, it takes a higher one
  CHECK(hand.members.gossip_for(1, 8).at(0) == GossipUpdate{1, kOther + 4, State::kAlive});
}

TEST_CASE("membership: an answer through another counts, and so it is passed on") {
  Hand hand;
  for (MemberId member : {1, 2, 3}) hand.hear(member, kOther);
  const auto dead = [](std::size_t member) { return member != 1; };
  while (hand.sent<PingRequest>().empty()) hand.pass(hand.members.next_due() - hand.now, dead);
  const auto [helper, ask] = hand.sent<PingRequest>().at(0);
  hand.hear(helper, kOther, Ack{ask.number, 1});
  hand.pass(kPeriod - settings_of(0, 4).ping_timeout, dead);
  CHECK(hand.members.metrics().suspicions == 0);

  hand.hear(2, kOther, PingRequest{77, 3});
  const auto pings = hand.sent<Ping>();
  REQUIRE(pings.size() == 1);
  CHECK(pings[0].first == 3);
  hand.hear(3, kOther, Ack{pings[0].second.number, 3});
  CHECK(hand.sent<Ack>() == std::vector<std::pair<MemberId, Ack>>{{2, Ack{77, 3}}});
  hand.hear(3, kOther, Ack{pings[0].second.number, 3});  // doubled
  CHECK(hand.sent<Ack>().empty());
  hand.hear(2, kOther, PingRequest{78, 0});  // about itself
  CHECK(hand.sent<Ack>() == std::vector<std::pair<MemberId, Ack>>{{2, Ack{78, 0}}});
}

TEST_CASE("membership: a start that hears nobody declares nobody gone, and is alone after a while") {
  std::set<Time> first;
  for (unsigned seed = 0; seed < 20; ++seed)
    first.insert(Membership(settings_of(0, 9), 1, seed, Time{}).next_due());
  CHECK(first.size() > 15);  // nor do those that start together ping together
  Hand hand(9);
  const auto alone = settings_of(0, 9).isolation_timeout;
  hand.pass(alone - 1ms);
  CHECK_FALSE(hand.members.is_current(hand.now));
  hand.pass(kPeriod);
  CHECK(hand.members.is_current(hand.now));
  hand.pass(600s);
  for (MemberId member = 1; member < 9; ++member) CHECK_FALSE(hand.members.state_of(member));
  CHECK(hand.members.alive_members() == std::vector<MemberId>{0});
  CHECK(hand.members.metrics().suspicions == 0);
}

TEST_CASE("membership: only answers to pings since the waking make it current") {
  Hand hand(3);
  hand.hear(1, kOther);
  hand.hear(2, kOther);
  hand.pass(kPeriod);
  const auto old = hand.sent<Ping>();
  REQUIRE_FALSE(old.empty());
  hand.pass(3 * kPeriod, anyone);
  REQUIRE(hand.members.is_current(hand.now));
  hand.learn({1, kOther, State::kSuspect});
  hand.now += 10s;
  hand.hear(old[0].first, kOther, Ack{old[0].second.number, old[0].first});  // had lain in the socket
  CHECK(hand.members.metrics().stalls == 1);
  CHECK(hand.members.incarnation() == kOwn + 1);
  CHECK(hand.members.state_of(1) == State::kAlive);
  CHECK(hand.members.gossip_for(2, 8).empty());  // it has no news
  hand.pass(3 * kPeriod);
  CHECK_FALSE(hand.members.is_current(hand.now));
  hand.pass(kPeriod, anyone);
  CHECK(hand.members.is_current(hand.now));
  // A clock that went back by more than the bound is as bad.
  hand.now -= 1h;
  CHECK_FALSE(hand.members.is_current(hand.now));
  hand.last = hand.members.tick(hand.now);
  CHECK(hand.members.metrics().stalls == 2);
  CHECK(hand.members.next_due() <= hand.now + kPeriod);
}

TEST_CASE("membership: a tick that is late by less than a stall blames itself, not the probed") {
  Hand hand;
  for (MemberId member : {1, 2, 3}) hand.hear(member, kOther);
  std::vector<std::pair<MemberId, Ping>> pings;
  const auto probes = [&] { return hand.members.metrics().probes; };
  while (probes() == 0) hand.pass(hand.members.next_due() - hand.now);
  pings = hand.sent<Ping>();
  hand.now += 1200ms;  // the answers are there, but the timers are looked at first
  hand.last = hand.members.tick(hand.now);
  CHECK(hand.members.metrics().stalls == 0);
  CHECK(hand.members.metrics().indirect_probes == 0);
  for (const auto& [to, ping] : pings) hand.hear(to, kOther, Ack{ping.number, to});
  hand.pass(kPeriod - 1ms, anyone);
  CHECK(hand.members.metrics().suspicions == 0);
}

TEST_CASE("membership: news is told so many times, the least told first, within the room") {
  Hand hand(100);
  for (MemberId member = 1; member <= 20; ++member) hand.learn({member, 5, State::kFailed});
  std::vector<int> told(100);
  for (int i = 0; i < 300; ++i) {
    const auto rumours = hand.members.gossip_for(50, 4);
    CHECK(rumours.size() <= 4);
    for (const GossipUpdate& rumour : rumours) ++told[rumour.member];
    const auto [least, most] = std::minmax_element(told.begin() + 1, told.begin() + 21);
    if (i < 50) CHECK(*most - *least <= 1);
  }
  for (MemberId member = 1; member <= 20; ++member) CHECK(told[member] == 20);  // 3 log2 101
  CHECK(hand.members.gossip_for(50, 0).empty());
  // Of ordinary messages so many; a newcomer is told all that there is room for, once.
  for (MemberId member = 21; member <= 40; ++member) hand.learn({member, 5, State::kAlive});
  CHECK(hand.members.gossip_for(50, 100).size() == 8);
  hand.hear(60, 5);
  CHECK(hand.members.gossip_for(60, 15).size() == 15);
  CHECK(hand.members.gossip_for(60, 15).size() == 8);
}

TEST_CASE("membership: bad input moves nothing and is counted") {
  Hand hand;
  hand.hear(4, kOther, Ping{1});  // not configured
  hand.hear(0, kOther, Ping{1});  // itself
  hand.hear(65'535, kOther, Ping{1});
  CHECK(hand.members.metrics().unknown_members == 3);
  CHECK(hand.last.messages.empty());
  hand.hear(1, kOther, PingRequest{1, 900});
  hand.hear(1, kOther, Ack{1, 900}, {{900, 1, State::kFailed}});
  CHECK(hand.members.metrics().unknown_members == 5);
  CHECK(hand.last.messages.empty());
  // Incarnations that leave no room to refute.
  hand.hear(1, kOther, Ping{1}, {{0, ~Incarnation(0), State::kFailed}, {2, ~Incarnation(0), State::kFailed}});
  hand.hear(2, ~Incarnation(0), Ping{1});
  hand.hear(2, 0, Ping{1});
  CHECK(hand.members.metrics().ignored_updates == 4);
  CHECK(hand.members.incarnation() == kOwn);
  CHECK_FALSE(hand.members.state_of(2));
  // A flood is answered within the budget, and pings for others are few whatever it is.
  auto generous = settings_of(0, 4);
  generous.max_messages_per_second = 1'000'000;
  Membership open(generous, kOwn, 1, hand.now);
  std::size_t pings = 0;
  for (int i = 0; i < 1000; ++i)
    pings += open.receive(hand.now, 1, kOther, PingRequest{1, 2}, {}).messages.size();
  CHECK(pings == 64);
  Hand flooded;
  std::size_t answers = 0;
  for (int i = 0; i < 10'000; ++i) {
    flooded.hear(1, kOther, i % 2 ? MessageBody{Ping{1}} : MessageBody{PingRequest{1, 2}});
    answers += flooded.last.messages.size();
  }
  CHECK(answers == 64);
  CHECK(flooded.members.metrics().rate_limited > 9'000);
  flooded.pass(kPeriod);
  flooded.hear(1, kOther, Ping{1});
  CHECK(flooded.last.messages.size() == 1);
}

TEST_CASE("membership: settings that can't be are named") {
  const std::pair<const char*, void (*)(MembershipSettings&)> rows[] = {
      {"members", [](auto& of) { of.member_count = kMaxMembers + 1; }},
      {"self", [](auto& of) { of.self = 4; }},
      {"period", [](auto& of) { of.probe_interval = 0us; }},
      {"direct", [](auto& of) { of.ping_timeout = of.probe_interval; }},
      {"proxies", [](auto& of) { of.indirect_ping_count = -1; }},
      {"suspicion", [](auto& of) { of.suspicion_multiplier = 0; }},
      {"forget", [](auto& of) { of.failed_member_retention = 1s; }},
      {"wake_after", [](auto& of) { of.stall_threshold = 1ms; }},
      {"alone_after", [](auto& of) { of.isolation_timeout = 1ms; }},
      {"rumours", [](auto& of) { of.gossip_updates_per_message = 0; }},
      {"messages", [](auto& of) { of.max_messages_per_second = 1; }},
      {"hurry", [](auto& of) { of.fast_probe_count = 17; }},
  };
  CHECK(settings_of(0, 4).fault().empty());
  for (const auto& [name, spoil] : rows) {
    auto settings = settings_of(0, 4);
    spoil(settings);
    CHECK(settings.fault().rfind(std::string(name) + ": set ", 0) == 0);
    CHECK_THROWS_AS(Membership(settings, 1, 1, Time{}), std::invalid_argument);
  }
}

}  // namespace
}  // namespace rookproxy::cluster
