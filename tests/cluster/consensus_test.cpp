// One plan an epoch over whole fleets, in virtual time: lost, doubled and late messages, partitions,
// restarts, stalls.
#include "cluster/agreement.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdio>
#include <map>
#include <memory>
#include <numeric>
#include <queue>
#include <random>
#include <tuple>

namespace rookproxy::cluster {
namespace {

using namespace std::chrono_literals;
constexpr Time kStart{Duration(1'700'000'000'000'000)};

struct Fleet {
  struct Event {
    Time at;
    std::uint64_t order;
    MemberId from, to;  // the same: a member's own time has come
    Incarnation life;
    MessageBody body;
    bool operator>(const Event& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
  };
  Fleet(std::size_t n, std::uint64_t seed, Duration spread = 0ms)
      : side(n), down(n), lives(n), sent(n), random(seed) {
    for (std::size_t i = 0; i < n; ++i) {
      members.push_back(nullptr);
      start(static_cast<MemberId>(i), spread == 0ms ? 0ms : Duration(below(spread.count())));
    }
  }
  std::int64_t below(std::int64_t n) { return std::uniform_int_distribution<std::int64_t>(0, n - 1)(random); }
  bool chance(double p) { return std::uniform_real_distribution<>(0, 1)(random) < p; }
  void start(MemberId i, Duration pause = 0ms) {
    Consensus::Settings s;
    s.self = i;
    s.member_count = side.size();
    s.process_incarnation = ++lives[i] * 1000 + i;
    s.seed = random();
    members[i] = std::make_unique<Consensus>(s, ClusterConfig{}, now + pause);
    highest[i] = 0;
    wake(i, members[i]->next_due());
  }
  void wake(MemberId i, Time at) { queue.push({std::max(at, now), ++order, i, i, lives[i], {}}); }
  void send(MemberId from, const std::vector<OutgoingMessage>& out) {
    for (const auto& one : out) {
      ++sent[from];
      if (side[from] != side[one.to] || chance(loss)) continue;
      for (int copies = chance(doubled) ? 2 : 1; copies > 0; --copies) {
        const auto late = chance(rarely_late) ? 3s : 0s;
        queue.push(
            {now + Duration(1 + below(delay.count())) + late, ++order, from, one.to, lives[from], one.body});
      }
    }
    look(from);
    wake(from, members[from]->next_due());
  }
  // One plan an epoch anywhere, and no way back in one life.
  void look(MemberId i) {
    const auto& plan = members[i]->plan();
    const auto [known, fresh] = plans.emplace(plan.epoch, plan);
    one_plan = one_plan && known->second == plan;
    forward = forward && plan.epoch >= highest[i];
    highest[i] = plan.epoch;
  }
  void run(Duration span) {
    const Time end = now + span;
    while (!queue.empty() && queue.top().at <= end) {
      const Event event = queue.top();
      queue.pop();
      now = event.at;
      if (down[event.to] > now) {  // stopped: its socket keeps what comes
        queue.push({down[event.to], ++order, event.from, event.to, event.life, event.body});
      } else if (event.from != event.to) {
        send(event.to, members[event.to]->receive(now, event.from, event.life, event.body));
      } else if (event.life == lives[event.to] && members[event.to]->next_due() <= now) {
        send(event.to, members[event.to]->on_timer(now));
      }
    }
    now = end;
  }
  ProposeResult propose(MemberId i, std::uint32_t mark, std::uint32_t ahead = 1) {
    std::vector<OutgoingMessage> out;
    ClusterConfig plan;
    plan.epoch = members[i]->epoch() + ahead;
    plan.fingerprint = mark;
    const auto answer = members[i]->propose(now, plan, out);
    send(i, out);
    return answer;
  }
  template <typename F>
  std::size_t count(F f) {
    return static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(), [&](const auto& m) { return f(*m); }));
  }
  std::size_t voting() {
    return count([](const Consensus& m) { return m.is_voting(); });
  }
  std::size_t holding() {
    return count([&](const Consensus& m) { return m.lease_holds(now); });
  }
  std::size_t at_mark(std::uint32_t mark) {
    return count([&](const Consensus& m) { return m.plan().fingerprint == mark; });
  }
  std::uint64_t all_sent() { return std::accumulate(sent.begin(), sent.end(), std::uint64_t{0}); }

  Time now = kStart;
  std::vector<int> side;
  std::vector<Time> down;
  std::vector<Incarnation> lives;
  std::vector<std::uint64_t> sent;
  std::mt19937_64 random;
  std::vector<std::unique_ptr<Consensus>> members;
  std::map<MemberId, std::uint32_t> highest;
  std::map<std::uint32_t, ClusterConfig> plans;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> queue;
  std::uint64_t order = 0;
  Duration delay = 20ms;
  double loss = 0, doubled = 0, rarely_late = 0;
  bool one_plan = true, forward = true;
};

TEST_CASE("agreement: a fleet that starts at one moment comes to vote and chooses with one in twenty lost") {
  const auto n = GENERATE(1U, 2U, 3U, 4U, 5U, 9U, 300U);
  Fleet fleet(n, n);
  fleet.loss = 0.05;
  fleet.run(12s);
  INFO("of " << n << ": " << fleet.voting() << " vote, " << fleet.holding() << " hold a lease");
  CHECK(fleet.voting() == n);
  CHECK(fleet.holding() == n);
  for (std::uint32_t mark = 1; mark <= 3; ++mark) {
    REQUIRE(fleet.propose(static_cast<MemberId>(mark % n), mark) == ProposeResult::kStarted);
    fleet.run(6s);
    CHECK(fleet.at_mark(mark) == n);
    CHECK(fleet.members[mark % n]->proposal_state() == ProposalState::kChosen);
  }
  CHECK(fleet.one_plan);
  const auto before = fleet.all_sent();
  fleet.run(50s);
  // A second and dispatcher, of any fleet; 3.4 to 3.6 of 9 to 300.
  CHECK(static_cast<double>(fleet.all_sent() - before) / n / 50 < 4);
}

TEST_CASE("agreement: of two proposals for one epoch one is chosen and the other's proposer hears of it") {
  const auto seed = GENERATE(range(1U, 20U));
  Fleet fleet(5, seed);
  fleet.run(8s);
  REQUIRE(fleet.propose(1, 11) == ProposeResult::kStarted);
  REQUIRE(fleet.propose(3, 33) == ProposeResult::kStarted);
  CHECK(fleet.propose(3, 34) == ProposeResult::kBusy);
  fleet.run(4s);
  CHECK(fleet.at_mark(11) + fleet.at_mark(33) == 5);
  CHECK((fleet.at_mark(11) == 5) != (fleet.at_mark(33) == 5));
  const bool first = fleet.at_mark(11) == 5;
  CHECK(fleet.members[first ? 1 : 3]->proposal_state() == ProposalState::kChosen);
  CHECK(fleet.members[first ? 3 : 1]->proposal_state() == ProposalState::kSuperseded);
}

TEST_CASE("agreement: never two plans of an epoch, nor an epoch back, whatever befalls a fleet") {
  const auto seed = GENERATE(range(1U, 301U));
  const std::size_t n = std::vector<std::size_t>{3, 4, 5, 9}[seed % 4];
  Fleet fleet(n, seed, 500ms);
  fleet.run(10s);
  fleet.loss = 0.05;
  fleet.doubled = 0.05;
  fleet.rarely_late = 0.03;
  fleet.delay = 100ms;
  std::uint32_t mark = 100;
  for (int step = 0; step < 60; ++step) {
    const auto i = static_cast<MemberId>(fleet.below(static_cast<std::int64_t>(n)));
    switch (fleet.below(6)) {
      case 0:  // as many as leaves a majority that remembers
        if (fleet.voting() > n / 2 + (fleet.members[i]->is_voting() ? 1 : 0)) fleet.start(i);
        break;
      case 1:
        for (auto& side : fleet.side) side = fleet.chance(0.3) ? 1 : 0;
        break;
      case 2:
        fleet.side.assign(n, 0);
        break;
      case 3:
        fleet.down[i] = fleet.now + 2s;
        break;
      default:
        fleet.propose(i, ++mark);
    }
    fleet.run(Duration(fleet.below(1'500'000)));
  }
  CHECK(fleet.one_plan);
  CHECK(fleet.forward);
  // It is not stuck either.
  fleet.side.assign(n, 0);
  fleet.loss = fleet.rarely_late = 0;
  fleet.delay = 20ms;
  fleet.run(20s);
  CHECK(fleet.voting() == n);
  CHECK(fleet.holding() == n);
  REQUIRE(fleet.propose(0, 1) == ProposeResult::kStarted);
  fleet.run(3s);
  CHECK(fleet.at_mark(1) == n);
  CHECK(fleet.one_plan);
  CHECK(fleet.plans.size() > 3);
  CHECK(fleet.count([](const Consensus& m) { return m.metrics().bootstraps > 1; }) == 0);
}

TEST_CASE("agreement: a minority keeps its plan, changes nothing and says so") {
  Fleet fleet(5, 1);
  fleet.run(8s);
  fleet.propose(0, 1);
  fleet.run(2s);
  fleet.side = {1, 1, 0, 0, 0};
  CHECK(fleet.propose(0, 2) == ProposeResult::kStarted);
  fleet.run(6s);
  CHECK(fleet.holding() == 3);
  CHECK_FALSE(fleet.members[0]->has_quorum(fleet.now));
  CHECK(fleet.members[0]->plan().fingerprint == 1);
  CHECK(fleet.members[0]->metrics().leases_expired == 1);
  CHECK(fleet.members[0]->proposal_state() == ProposalState::kInProgress);
  REQUIRE(fleet.propose(4, 3) == ProposeResult::kStarted);  // in the majority, the plan changes
  fleet.run(6s);
  CHECK(fleet.members[0]->proposal_state() == ProposalState::kNoMajority);
  CHECK(fleet.at_mark(3) == 3);
  const auto before = fleet.all_sent();
  fleet.run(10s);
  CHECK(fleet.all_sent() - before < 5 * 10 * 4);  // and no storm of questions
  fleet.side.assign(5, 0);
  fleet.run(3s);
  CHECK(fleet.at_mark(3) == 5);
  CHECK(fleet.holding() == 5);
  CHECK(fleet.one_plan);
}

TEST_CASE("agreement: a majority lost in mid-round leaves the plan, and its return decides the epoch once") {
  const auto after = GENERATE(0ms, 10ms, 20ms, 30ms, 45ms);
  Fleet fleet(3, 7);
  fleet.run(8s);
  fleet.propose(0, 1);
  fleet.run(after);
  fleet.side = {0, 1, 2};
  fleet.run(12s);
  CHECK(fleet.members[0]->proposal_state() != ProposalState::kInProgress);
  CHECK(fleet.holding() == 0);
  fleet.side.assign(3, 0);
  fleet.run(8s);  // what was left open is closed without anyone's proposing
  CHECK(fleet.at_mark(1) % 3 == 0);
  CHECK(fleet.count([](const Consensus& m) { return m.epoch() == 1; }) == 3);
  CHECK(fleet.one_plan);
}

TEST_CASE("agreement: a member restarted in mid-round stays out of that epoch and votes again after it") {
  Fleet fleet(3, 3);
  fleet.run(8s);
  fleet.propose(0, 1);
  fleet.run(2s);
  fleet.side = {0, 0, 1};
  fleet.propose(0, 2);
  fleet.run(15ms);
  REQUIRE(fleet.members[1]->highest_voted_epoch_of_process() == 2);
  fleet.start(1);  // it forgets that
  fleet.side = {1, 0, 0};
  fleet.run(3s);
  CHECK_FALSE(fleet.members[1]->is_voting());  // of two others one has told it, and two must
  CHECK(fleet.propose(1, 3) == ProposeResult::kNotVoting);
  fleet.propose(2, 4);
  fleet.run(3s);
  CHECK(fleet.members[2]->epoch() == 1);
  CHECK(fleet.members[1]->metrics().votes_withheld > 0);
  fleet.side.assign(3, 0);
  fleet.run(8s);
  CHECK(fleet.members[1]->epoch() >= 2);
  CHECK(fleet.voting() == 3);
  CHECK(fleet.one_plan);
}

TEST_CASE(
    "agreement: a new life votes above all that as many others as any majority meets may have voted in") {
  struct Case {
    std::size_t members, answers;  // of others that vote
    bool knows;
  };
  const auto c =
      GENERATE(Case{2, 0, false}, Case{2, 1, true}, Case{3, 1, false}, Case{3, 2, true}, Case{4, 1, false},
               Case{4, 2, true}, Case{5, 2, false}, Case{5, 3, true}, Case{9, 4, false}, Case{9, 5, true});
  Consensus::Settings settings;
  settings.member_count = c.members;
  settings.process_incarnation = GENERATE(1U, 2U);
  Consensus member(settings, {}, kStart);
  const auto asked = member.on_timer(kStart + 500ms);
  REQUIRE(asked.size() == c.members - 1);
  const auto number = std::get<RecoveryQuery>(asked[0].body).number;
  settings.process_incarnation = 3 - settings.process_incarnation;
  Consensus other(settings, {}, kStart);
  const auto of_other = std::get<RecoveryQuery>(other.on_timer(kStart + 500ms)[0].body).number;
  const auto tell = [&](std::size_t from, const RecoveryReply& told) {
    member.receive(kStart + 500ms, static_cast<MemberId>(from), 1, told);
  };
  for (std::size_t i = 1; i < c.members; ++i) {
    tell(i, RecoveryReply{of_other, 0, true, 90});  // an answer to another life
    if (i > c.answers) tell(i, RecoveryReply{number, 0, false, 80});
    for (int twice = 0; twice < 2 && i <= c.answers; ++twice) {
      tell(i, RecoveryReply{number, 0, true, static_cast<std::uint32_t>(7 - i % 2)});
    }
  }
  CHECK(member.highest_voted_epoch() == (c.knows ? c.answers > 1 ? 8U : 7U : 0U));
  CHECK_FALSE(member.is_voting());
  if (!c.knows) return;
  ClusterConfig plan;
  plan.epoch = member.highest_voted_epoch() - 1;
  member.receive(kStart + 500ms, 1, 1, Chosen{plan});
  CHECK(member.receive(kStart + 500ms, 1, 1, Prepare{plan.epoch + 1, {1, 1}}).empty());
  plan.epoch += 1;
  member.receive(kStart + 500ms, 1, 1, Chosen{plan});
  const auto out = member.receive(kStart + 500ms, 1, 1, Prepare{plan.epoch + 1, {1, 1}});
  CHECK(std::holds_alternative<Promise>(out.back().body));
}

TEST_CASE(
    "agreement: members restarted one after another all vote again, without an order to change the plan") {
  const auto n = GENERATE(3U, 4U, 9U);
  Fleet fleet(n, n);
  fleet.run(8s);
  fleet.propose(0, 1);
  fleet.run(2s);
  for (std::size_t i = 0; i < n; ++i) {
    fleet.start(static_cast<MemberId>(i));
    fleet.run(6s);
    INFO("after " << i);
    CHECK(fleet.voting() == n);
    CHECK(fleet.at_mark(1) == n);
  }
  CHECK(fleet.count([](const Consensus& m) { return m.metrics().bootstraps > 0; }) == 0);
  CHECK(fleet.one_plan);
}

TEST_CASE("agreement: after a majority's restart a survivor's plan wins, and without any the settings") {
  const auto survivors = GENERATE(0U, 1U, 2U);
  Fleet fleet(5, 5);
  fleet.run(8s);
  for (std::uint32_t mark = 1; mark <= 4; ++mark) {
    fleet.propose(0, mark);
    fleet.run(2s);
  }
  for (MemberId i = static_cast<MemberId>(survivors); i < 5; ++i) fleet.start(i);
  fleet.run(1s);
  CHECK(fleet.voting() == survivors);
  fleet.run(9s);
  CHECK(fleet.voting() == 5);
  CHECK(fleet.at_mark(survivors > 0 ? 4 : 0) == 5);
  CHECK(fleet.holding() == 5);
  CHECK(fleet.count([&](const Consensus& m) { return m.epoch() >= (survivors > 0 ? 4U : 0U); }) == 5);
  CHECK(fleet.forward);
  REQUIRE(fleet.propose(4, 9) == ProposeResult::kStarted);
  fleet.run(2s);
  CHECK(fleet.at_mark(9) == 5);
}

TEST_CASE(
    "agreement: one that was stopped for 10 s wakes without a lease or a round, and its promises stand") {
  Fleet fleet(3, 2);
  fleet.run(8s);
  fleet.propose(1, 1);
  fleet.run(21ms);
  REQUIRE(fleet.members[2]->highest_voted_epoch_of_process() == 1);
  const MemberId stopped = GENERATE(MemberId{0}, MemberId{1}, MemberId{2});
  const auto voted = fleet.members[stopped]->highest_voted_epoch_of_process();
  fleet.down[stopped] = fleet.now + 10s;
  fleet.run(10s - 1us);
  CHECK_FALSE(fleet.members[stopped]->lease_holds(fleet.now));
  const auto lost = fleet.members[stopped]->metrics().proposals_failed;
  std::vector<OutgoingMessage> out;
  fleet.members[stopped]->on_timer(fleet.now);
  CHECK(fleet.members[stopped]->metrics().leases_expired == 1);
  CHECK(fleet.members[stopped]->metrics().proposals_failed == lost + (stopped == 1 ? 1 : 0));
  CHECK(fleet.members[stopped]->highest_voted_epoch_of_process() == voted);
  fleet.run(6s);
  CHECK(fleet.holding() == 3);
  CHECK(fleet.at_mark(1) == (stopped == 1 ? 0 : 3));  // the others close what a stopped proposer left open
  CHECK(fleet.one_plan);
}

TEST_CASE("agreement: the next in rank renews when the first is gone, at once if membership says so") {
  const bool told = GENERATE(false, true);
  Fleet fleet(9, 4);
  fleet.run(8s);
  fleet.side = {1, 2, 0, 0, 0, 0, 0, 0, 0};
  if (told) {
    for (auto& member : fleet.members) member->set_alive_members({2, 3, 4, 5, 6, 7, 8});
  }
  const auto renewed = fleet.members[8]->metrics().leases_renewed;
  fleet.run(10s);
  CHECK(fleet.holding() == 7);
  CHECK(fleet.members[8]->metrics().leases_renewed - renewed >= (told ? 9 : 6));
  CHECK(fleet.members[8]->metrics().leases_expired == 0);
}

TEST_CASE("agreement: no lease lasts longer by a clock that jumps or a message that comes late") {
  Consensus::Settings settings;
  settings.self = 1;
  settings.member_count = 3;
  Consensus member(settings, {}, kStart);
  member.receive(kStart, 0, 1, RecoveryQuery{7, 0});
  const auto leased = [&](Time at, Lease lease) {
    member.receive(at, 0, 1, lease);
    return member.lease_holds(at);
  };
  CHECK_FALSE(leased(kStart + 1s, Lease{0, 4s, 6}));  // of a question that it was not asked
  CHECK(leased(kStart + 3s, Lease{0, 4s, 7}));
  CHECK(member.lease_holds(kStart + 3999ms));
  CHECK_FALSE(member.lease_holds(kStart + 4s));  // from the question on, not from the lease's coming
  CHECK_FALSE(member.lease_holds(kStart + 2s));  // a clock that went back
  member.on_timer(kStart + 2s);
  CHECK_FALSE(member.lease_holds(kStart + 2500ms));
  CHECK_FALSE(leased(kStart + 2500ms, Lease{0, 4s, 7}));
  member.receive(kStart + 2600ms, 0, 1, RecoveryQuery{8, 0});
  CHECK(leased(kStart + 2700ms, Lease{0, 4s, 8}));
  member.receive(kStart + 2800ms, 0, 1, RecoveryQuery{9, 0});
  CHECK(member.lease_holds(kStart + 6s));
  CHECK_FALSE(leased(kStart + 6600ms, Lease{1, 4s, 9}));  // of a newer plan than the one known
  CHECK(member.has_quorum(kStart + 6700ms));
}

TEST_CASE("agreement: epochs are bounded in rate, and bad input changes nothing") {
  Fleet fleet(3, 9);
  fleet.run(8s);
  const auto end = fleet.now + 10s;
  while (fleet.now < end) {
    fleet.propose(0, 5);
    fleet.run(5ms);
  }
  CHECK(fleet.members[0]->epoch() <= 20);
  CHECK(fleet.members[0]->epoch() >= 10);
  auto& member = *fleet.members[0];
  fleet.run(2s);
  member.on_timer(fleet.now);
  const auto before = member.encode();
  ClusterConfig large;
  large.epoch = member.epoch() + 1;
  large.zones.resize(kMaxZones + 1);
  const auto next = member.epoch() + 1;
  const MessageBody bad[] = {
      Prepare{next, {1, 2}},  Prepare{next, {2'000'000'000, 1}}, Accept{{3, 1}, large}, Chosen{large},
      Accepted{next, {1, 0}}, Promise{next, {1, 0}, {}, {}},     Nack{next, {9, 1}},    Ping{}};
  for (const auto& body : bad) member.receive(fleet.now, 1, 1, body);
  member.receive(fleet.now, 3, 1, Prepare{next, {1, 3}});
  member.receive(fleet.now, 0, 1, Prepare{next, {1, 0}});
  member.receive(member.last_event_time(), 1, 1, RecoveryReply{12345, 0, true, 0});
  CHECK(member.encode() == before);
  CHECK(fleet.propose(0, 1, 2) == ProposeResult::kWrongEpoch);
  std::vector<OutgoingMessage> out;
  CHECK(member.propose(fleet.now, large, out) == ProposeResult::kTooLarge);
  member.retire();
  CHECK(fleet.propose(0, 1) == ProposeResult::kNotVoting);
}

// For docs/fleet-decisions.md: fleet_agreement_test "agreement: figures"
TEST_CASE("agreement: figures", "[.]") {
  std::puts(
      "members | all vote, s | plan known by all, ms | messages a s, the renewer | another | lease gap, s");
  for (const std::size_t n : {3U, 10U, 100U, 300U}) {
    Fleet fleet(n, 9, 500ms);
    double voted = 0, known = 0, gap = 0;
    while (fleet.voting() < n && voted < 60) fleet.run(50ms), voted += 0.05;
    fleet.run(5s);
    fleet.propose(0, 1);
    while (fleet.at_mark(1) < n && known < 10000) fleet.run(1ms), ++known;
    fleet.run(5s);
    const auto before = fleet.sent;
    fleet.run(20s);
    std::vector<double> rates;
    for (std::size_t i = 0; i < n; ++i) rates.push_back(static_cast<double>(fleet.sent[i] - before[i]) / 20);
    std::sort(rates.begin(), rates.end());
    fleet.side[0] = 1;  // who renews is gone
    for (int i = 0; i < 200; ++i) fleet.run(50ms), gap += fleet.holding() < n - 1 ? 0.05 : 0;
    std::printf("%zu | %.1f | %.0f | %.1f | %.1f | %.1f\n", n, voted, known, rates.back(), rates[n / 2], gap);
  }
}

}  // namespace
}  // namespace rookproxy::cluster
