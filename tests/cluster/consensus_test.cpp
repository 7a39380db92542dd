// Tests Consensus in simulated clusters of several sizes, and single members event by event.
#include "cluster/consensus.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdio>
#include <tuple>
#include <vector>

#include "cluster/consensus_cluster.h"
#include "model/consensus_state_encoder.h"

namespace rookproxy::cluster {
namespace {

using namespace std::chrono_literals;
constexpr Time kStart = ConsensusCluster::kStart;

TEST_CASE(
    "consensus: members that start together vote, hold leases and choose plans with 5% of messages lost") {
  const auto member_count = GENERATE(1U, 2U, 3U, 4U, 5U, 9U, 300U);
  ConsensusCluster cluster(member_count, member_count);
  cluster.loss = 0.05;
  cluster.run(12s);
  INFO("of " << member_count << ": " << cluster.voting_count() << " vote, " << cluster.lease_holder_count()
             << " hold a lease");
  CHECK(cluster.voting_count() == member_count);
  CHECK(cluster.lease_holder_count() == member_count);
  for (std::uint32_t fingerprint = 1; fingerprint <= 3; ++fingerprint) {
    REQUIRE(cluster.propose(static_cast<MemberId>(fingerprint % member_count), fingerprint) ==
            ProposeResult::kStarted);
    cluster.run(6s);
    CHECK(cluster.count_with_plan(fingerprint) == member_count);
    CHECK(cluster.members[fingerprint % member_count]->proposal_state() == ProposalState::kChosen);
  }
  CHECK(cluster.has_one_plan_per_epoch());
  const auto before = cluster.total_sent();
  cluster.run(50s);
  // Messages per second and member.
  CHECK(static_cast<double>(cluster.total_sent() - before) / member_count / 50 < 4);
}

TEST_CASE("consensus: three members vote when two are connected only through a third that starts later") {
  const auto seed = GENERATE(range(1U, 101U));
  const auto started_after = GENERATE(0s, 1s, 4s, 30s);
  CAPTURE(seed, started_after.count());
  ConsensusCluster cluster(3, seed);
  cluster.cut(0, 1);
  cluster.partition = {0, 0, 1};
  cluster.run(started_after);
  cluster.heal();
  cluster.start(2);
  cluster.run(10s);
  CHECK(cluster.voting_count() == 3);
  CHECK(cluster.lease_holder_count() == 3);
}

TEST_CASE("consensus: of two concurrent proposals for one epoch one is chosen and the other is superseded") {
  const auto seed = GENERATE(range(1U, 20U));
  ConsensusCluster cluster(5, seed);
  cluster.run(8s);
  REQUIRE(cluster.propose(1, 11) == ProposeResult::kStarted);
  REQUIRE(cluster.propose(3, 33) == ProposeResult::kStarted);
  CHECK(cluster.propose(3, 34) == ProposeResult::kBusy);
  cluster.run(4s);
  CHECK(cluster.count_with_plan(11) + cluster.count_with_plan(33) == 5);
  CHECK((cluster.count_with_plan(11) == 5) != (cluster.count_with_plan(33) == 5));
  const bool first = cluster.count_with_plan(11) == 5;
  CHECK(cluster.members[first ? 1 : 3]->proposal_state() == ProposalState::kChosen);
  CHECK(cluster.members[first ? 3 : 1]->proposal_state() == ProposalState::kSuperseded);
}

TEST_CASE("consensus: under random faults no epoch has two plans and no process's epoch decreases") {
  const auto seed = GENERATE(range(1U, 301U));
  const std::size_t member_count = std::vector<std::size_t>{3, 4, 5, 9}[seed % 4];
  ConsensusCluster cluster(member_count, seed, 500ms);
  cluster.run(10s);
  cluster.loss = 0.05;
  cluster.duplication = 0.05;
  cluster.long_delay = 0.03;
  cluster.max_delay = 100ms;
  std::uint32_t fingerprint = 100;
  for (int step = 0; step < 60; ++step) {
    const auto i = static_cast<MemberId>(cluster.below(static_cast<std::int64_t>(member_count)));
    switch (cluster.below(6)) {
      case 0:  // Restarts a member only if a majority of voting members is left.
        if (cluster.voting_count() > member_count / 2 + (cluster.members[i]->is_voting() ? 1 : 0))
          cluster.start(i);
        break;
      case 1:
        for (auto& side : cluster.partition) side = cluster.happens(0.3) ? 1 : 0;
        break;
      case 2:
        cluster.heal();
        break;
      case 3:
        cluster.stopped_until[i] = cluster.now + 2s;
        break;
      default:
        cluster.propose(i, ++fingerprint);
    }
    cluster.run(Duration(cluster.below(1'500'000)));
  }
  CHECK(cluster.has_one_plan_per_epoch());
  CHECK(cluster.has_epochs_in_order());
  // The cluster still makes progress.
  cluster.heal();
  cluster.loss = 0;
  cluster.long_delay = 0;
  cluster.max_delay = 20ms;
  cluster.run(20s);
  CHECK(cluster.voting_count() == member_count);
  CHECK(cluster.lease_holder_count() == member_count);
  REQUIRE(cluster.propose(0, 1) == ProposeResult::kStarted);
  cluster.run(3s);
  CHECK(cluster.count_with_plan(1) == member_count);
  CHECK(cluster.has_one_plan_per_epoch());
  CHECK(cluster.known_epoch_count() > 3);
  CHECK(cluster.count_members([](const Consensus& m) { return m.metrics().bootstraps > 1; }) == 0);
}

TEST_CASE("consensus: a minority partition keeps its plan, chooses no new one and reports the lost quorum") {
  ConsensusCluster cluster(5, 1);
  cluster.run(8s);
  cluster.propose(0, 1);
  cluster.run(2s);
  cluster.partition = {1, 1, 0, 0, 0};
  CHECK(cluster.propose(0, 2) == ProposeResult::kStarted);
  cluster.run(6s);
  CHECK(cluster.lease_holder_count() == 3);
  CHECK_FALSE(cluster.members[0]->has_quorum(cluster.now));
  CHECK(cluster.members[0]->plan().fingerprint == 1);
  CHECK(cluster.members[0]->metrics().leases_expired == 1);
  CHECK(cluster.members[0]->proposal_state() == ProposalState::kInProgress);
  REQUIRE(cluster.propose(4, 3) == ProposeResult::kStarted);  // The majority chooses a new plan.
  cluster.run(6s);
  CHECK(cluster.members[0]->proposal_state() == ProposalState::kNoMajority);
  CHECK(cluster.count_with_plan(3) == 3);
  const auto before = cluster.total_sent();
  cluster.run(10s);
  CHECK(cluster.total_sent() - before < 5 * 10 * 4);  // The minority does not flood the network with queries.
  cluster.heal();
  cluster.run(3s);
  CHECK(cluster.count_with_plan(3) == 5);
  CHECK(cluster.lease_holder_count() == 5);
  CHECK(cluster.has_one_plan_per_epoch());
}

TEST_CASE(
    "consensus: a round interrupted by the loss of the quorum is decided once when the quorum returns") {
  const auto after = GENERATE(0ms, 10ms, 20ms, 30ms, 45ms);
  ConsensusCluster cluster(3, 7);
  cluster.run(8s);
  cluster.propose(0, 1);
  cluster.run(after);
  cluster.partition = {0, 1, 2};
  cluster.run(12s);
  CHECK(cluster.members[0]->proposal_state() != ProposalState::kInProgress);
  CHECK(cluster.lease_holder_count() == 0);
  cluster.heal();
  cluster.run(8s);  // The open instance is closed without a new proposal.
  CHECK(cluster.count_with_plan(1) % 3 == 0);
  CHECK(cluster.count_members([](const Consensus& m) { return m.epoch() == 1; }) == 3);
  CHECK(cluster.has_one_plan_per_epoch());
}

TEST_CASE("consensus: a member restarted during a round does not vote in that epoch, but in later ones") {
  ConsensusCluster cluster(3, 3);
  cluster.run(8s);
  cluster.propose(0, 1);
  cluster.run(2s);
  cluster.partition = {0, 0, 1};
  cluster.propose(0, 2);
  const auto voted_epoch = [&] { return cluster.members[1]->acceptor().highest_voted_epoch_of_process(); };
  for (int ms = 0; ms < 20 && voted_epoch() != 2; ++ms) cluster.run(1ms);
  REQUIRE(voted_epoch() == 2);
  cluster.start(1);  // The new process does not know its vote.
  cluster.partition = {1, 0, 0};
  cluster.run(3s);
  CHECK_FALSE(cluster.members[1]->is_voting());  // Only one of the two required members has replied.
  CHECK(cluster.propose(1, 3) == ProposeResult::kNotVoting);
  cluster.propose(2, 4);
  cluster.run(3s);
  CHECK(cluster.members[2]->epoch() == 1);
  CHECK(cluster.members[1]->metrics().votes_withheld > 0);
  cluster.heal();
  cluster.run(8s);
  CHECK(cluster.members[1]->epoch() >= 2);
  CHECK(cluster.voting_count() == 3);
  CHECK(cluster.has_one_plan_per_epoch());
}

TEST_CASE("consensus: a new process votes only above the epochs in which a recovery quorum may have voted") {
  struct Case {
    std::size_t member_count;
    std::size_t voting_repliers;  // Other members that reply as voting.
    bool recovers;
  };
  const auto [member_count, voting_repliers, recovers] =
      GENERATE(Case{2, 0, false}, Case{2, 1, true}, Case{3, 1, false}, Case{3, 2, true}, Case{4, 1, false},
               Case{4, 2, true}, Case{5, 2, false}, Case{5, 3, true}, Case{9, 4, false}, Case{9, 5, true});
  const Time now = kStart + 500ms;
  ConsensusSettings settings;
  settings.member_count = member_count;
  settings.process_incarnation = GENERATE(1U, 2U);
  Consensus member(settings, {}, kStart);
  const auto queries = member.on_timer(now);
  REQUIRE(queries.size() == member_count - 1);
  const auto query_number = std::get<RecoveryQuery>(queries[0].body).number;
  settings.process_incarnation = 3 - settings.process_incarnation;
  Consensus other_process(settings, {}, kStart);
  const auto other_query_number = std::get<RecoveryQuery>(other_process.on_timer(now)[0].body).number;
  const auto deliver = [&](std::size_t from, const MessageBody& body) {
    return member.receive(now, static_cast<MemberId>(from), 1, body);
  };
  for (std::size_t from = 1; from < member_count; ++from) {
    deliver(from, RecoveryReply{other_query_number, 0, true, 90});  // A reply to another process.
    if (from > voting_repliers) deliver(from, RecoveryReply{query_number, 0, false, 80});
    for (int repeat = 0; repeat < 2 && from <= voting_repliers; ++repeat) {
      deliver(from, RecoveryReply{query_number, 0, true, static_cast<std::uint32_t>(7 - from % 2)});
    }
  }
  const std::uint32_t expected_floor = !recovers ? 0 : voting_repliers > 1 ? 8 : 7;
  CHECK(member.acceptor().highest_voted_epoch() == expected_floor);
  CHECK_FALSE(member.is_voting());
  if (!recovers) return;
  ClusterConfig plan;
  plan.epoch = expected_floor - 1;
  deliver(1, Chosen{plan});
  CHECK(deliver(1, Prepare{plan.epoch + 1, {1, 1}}).empty());
  plan.epoch += 1;
  deliver(1, Chosen{plan});
  const auto replies = deliver(1, Prepare{plan.epoch + 1, {1, 1}});
  CHECK(std::holds_alternative<Promise>(replies.back().body));
}

TEST_CASE("consensus: after a rolling restart all members vote again and keep the plan") {
  const auto member_count = GENERATE(3U, 4U, 9U);
  ConsensusCluster cluster(member_count, member_count);
  cluster.run(8s);
  cluster.propose(0, 1);
  cluster.run(2s);
  for (std::size_t i = 0; i < member_count; ++i) {
    cluster.start(static_cast<MemberId>(i));
    cluster.run(6s);
    INFO("after " << i);
    CHECK(cluster.voting_count() == member_count);
    CHECK(cluster.count_with_plan(1) == member_count);
  }
  CHECK(cluster.count_members([](const Consensus& m) { return m.metrics().bootstraps > 0; }) == 0);
  CHECK(cluster.has_one_plan_per_epoch());
}

TEST_CASE(
    "consensus: after the restart of a majority a survivor's plan is kept, without survivors the initial "
    "plan") {
  const auto survivors = GENERATE(0U, 1U, 2U);
  ConsensusCluster cluster(5, 5);
  cluster.run(8s);
  for (std::uint32_t fingerprint = 1; fingerprint <= 4; ++fingerprint) {
    cluster.propose(0, fingerprint);
    cluster.run(2s);
  }
  for (MemberId i = static_cast<MemberId>(survivors); i < 5; ++i) cluster.start(i);
  cluster.run(1s);
  CHECK(cluster.voting_count() == survivors);
  cluster.run(9s);
  CHECK(cluster.voting_count() == 5);
  CHECK(cluster.count_with_plan(survivors > 0 ? 4 : 0) == 5);
  CHECK(cluster.lease_holder_count() == 5);
  CHECK(cluster.count_members([&](const Consensus& m) { return m.epoch() >= (survivors > 0 ? 4U : 0U); }) ==
        5);
  CHECK(cluster.has_epochs_in_order());
  REQUIRE(cluster.propose(4, 9) == ProposeResult::kStarted);
  cluster.run(2s);
  CHECK(cluster.count_with_plan(9) == 5);
}

TEST_CASE("consensus: a member suspended for 10 s resumes without its lease and round, but with its votes") {
  ConsensusCluster cluster(3, 2);
  cluster.run(8s);
  cluster.propose(1, 1);
  cluster.run(21ms);
  REQUIRE(cluster.members[2]->acceptor().highest_voted_epoch_of_process() == 1);
  const MemberId stopped = GENERATE(MemberId{0}, MemberId{1}, MemberId{2});
  const auto voted = cluster.members[stopped]->acceptor().highest_voted_epoch_of_process();
  cluster.stopped_until[stopped] = cluster.now + 10s;
  cluster.run(10s - 1us);
  CHECK_FALSE(cluster.members[stopped]->lease_holds(cluster.now));
  const auto lost = cluster.members[stopped]->metrics().proposals_failed;
  std::ignore = cluster.members[stopped]->on_timer(cluster.now);
  CHECK(cluster.members[stopped]->metrics().leases_expired == 1);
  CHECK(cluster.members[stopped]->metrics().proposals_failed == lost + (stopped == 1 ? 1 : 0));
  CHECK(cluster.members[stopped]->acceptor().highest_voted_epoch_of_process() == voted);
  cluster.run(6s);
  CHECK(cluster.lease_holder_count() == 3);
  // If the proposer was stopped, the other members close its instance.
  CHECK(cluster.count_with_plan(1) == (stopped == 1 ? 0 : 3));
  CHECK(cluster.has_one_plan_per_epoch());
}

TEST_CASE(
    "consensus: the next member renews the lease when the first fails, sooner if membership reports it") {
  const bool is_reported = GENERATE(false, true);
  ConsensusCluster cluster(9, 4);
  cluster.run(8s);
  cluster.partition = {1, 2, 0, 0, 0, 0, 0, 0, 0};
  if (is_reported) {
    for (auto& member : cluster.members) member->set_alive_members({2, 3, 4, 5, 6, 7, 8});
  }
  const auto renewed = cluster.members[8]->metrics().leases_renewed;
  cluster.run(10s);
  CHECK(cluster.lease_holder_count() == 7);
  CHECK(cluster.members[8]->metrics().leases_renewed - renewed >= (is_reported ? 9 : 6));
  CHECK(cluster.members[8]->metrics().leases_expired == 0);
}

TEST_CASE("consensus: neither a step of the clock nor a late message extends a lease") {
  ConsensusSettings settings;
  settings.self = 1;
  settings.member_count = 3;
  Consensus member(settings, {}, kStart);
  std::ignore = member.receive(kStart, 0, 1, RecoveryQuery{7, 0});
  const auto holds_lease_after = [&](Time at, Lease lease) {
    std::ignore = member.receive(at, 0, 1, lease);
    return member.lease_holds(at);
  };
  CHECK_FALSE(holds_lease_after(kStart + 1s, Lease{0, 4s, 6}));  // Names a query that was not received.
  CHECK(holds_lease_after(kStart + 3s, Lease{0, 4s, 7}));
  CHECK(member.lease_holds(kStart + 3999ms));
  CHECK_FALSE(member.lease_holds(kStart + 4s));  // The lease is counted from the arrival of the query.
  CHECK_FALSE(member.lease_holds(kStart + 2s));  // The clock has gone back.
  std::ignore = member.on_timer(kStart + 2s);
  CHECK_FALSE(member.lease_holds(kStart + 2500ms));
  CHECK_FALSE(holds_lease_after(kStart + 2500ms, Lease{0, 4s, 7}));
  std::ignore = member.receive(kStart + 2600ms, 0, 1, RecoveryQuery{8, 0});
  CHECK(holds_lease_after(kStart + 2700ms, Lease{0, 4s, 8}));
  std::ignore = member.receive(kStart + 2800ms, 0, 1, RecoveryQuery{9, 0});
  CHECK(member.lease_holds(kStart + 6s));
  CHECK_FALSE(holds_lease_after(kStart + 6600ms, Lease{1, 4s, 9}));  // Of a newer plan than the known one.
  CHECK(member.has_quorum(kStart + 6700ms));
}

TEST_CASE("consensus: the rate of epochs is limited, and invalid messages and proposals have no effect") {
  ConsensusCluster cluster(3, 9);
  cluster.run(8s);
  const auto end = cluster.now + 10s;
  while (cluster.now < end) {
    cluster.propose(0, 5);
    cluster.run(5ms);
  }
  CHECK(cluster.members[0]->epoch() <= 20);
  CHECK(cluster.members[0]->epoch() >= 10);
  auto& member = *cluster.members[0];
  cluster.run(2s);
  std::ignore = member.on_timer(cluster.now);
  const auto before = ConsensusStateEncoder::encode(member);
  ClusterConfig large;
  large.epoch = member.epoch() + 1;
  large.zones.resize(kMaxZones + 1);
  const auto next = member.epoch() + 1;
  const MessageBody invalid[] = {
      Prepare{next, {1, 2}},  Prepare{next, {2'000'000'000, 1}}, Accept{{3, 1}, large}, Chosen{large},
      Accepted{next, {1, 0}}, Promise{next, {1, 0}, {}, {}},     Nack{next, {9, 1}},    Ping{}};
  for (const auto& body : invalid) std::ignore = member.receive(cluster.now, 1, 1, body);
  std::ignore = member.receive(cluster.now, 3, 1, Prepare{next, {1, 3}});
  std::ignore = member.receive(cluster.now, 0, 1, Prepare{next, {1, 0}});
  std::ignore = member.receive(member.last_event_time(), 1, 1, RecoveryReply{12345, 0, true, 0});
  CHECK(ConsensusStateEncoder::encode(member) == before);
  CHECK(cluster.propose(0, 1, 2) == ProposeResult::kWrongEpoch);
  CHECK(member.propose(cluster.now, large).result == ProposeResult::kTooLarge);
  member.retire();
  CHECK(cluster.propose(0, 1) == ProposeResult::kNotVoting);
}

// Prints the measurements of docs/fleet-decisions.md. Runs only by name.
TEST_CASE("consensus: convergence times and message rates by cluster size are printed", "[.]") {
  std::puts(
      "members | all vote, s | plan known by all, ms | messages/s of the renewer | of others | lease gap, s");
  for (const std::size_t member_count : {3U, 10U, 100U, 300U}) {
    ConsensusCluster cluster(member_count, 9, 500ms);
    constexpr Duration kStep = 50ms;
    Duration until_all_vote{};
    while (cluster.voting_count() < member_count && until_all_vote < 60s) {
      cluster.run(kStep);
      until_all_vote += kStep;
    }
    cluster.run(5s);
    cluster.propose(0, 1);
    Duration until_all_know{};
    while (cluster.count_with_plan(1) < member_count && until_all_know < 10s) {
      cluster.run(1ms);
      until_all_know += 1ms;
    }
    cluster.run(5s);
    const auto before = cluster.sent;
    cluster.run(20s);
    std::vector<double> rates;
    for (std::size_t i = 0; i < member_count; ++i)
      rates.push_back(static_cast<double>(cluster.sent[i] - before[i]) / 20);
    std::sort(rates.begin(), rates.end());
    cluster.partition[0] = 1;  // The member that renews the lease.
    Duration lease_gap{};
    for (int i = 0; i < 200; ++i) {
      cluster.run(kStep);
      if (cluster.lease_holder_count() < member_count - 1) lease_gap += kStep;
    }
    const auto seconds = [](Duration duration) { return std::chrono::duration<double>(duration).count(); };
    std::printf("%zu | %.1f | %.0f | %.1f | %.1f | %.1f\n", member_count, seconds(until_all_vote),
                1000 * seconds(until_all_know), rates.back(), rates[member_count / 2], seconds(lease_gap));
  }
}

}  // namespace
}  // namespace rookproxy::cluster
