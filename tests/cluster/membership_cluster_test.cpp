// Tests Membership in simulated clusters of 3 to 300 members.
#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "cluster/membership_cluster.h"
#include "cluster/membership_fixture.h"

namespace rookproxy::cluster {
namespace {

using namespace std::chrono_literals;

Incarnation incarnation_at(Time now) { return static_cast<Incarnation>(now.time_since_epoch().count()); }

MembershipCluster make_cluster(std::size_t member_count, const NetworkSettings& network) {
  return MembershipCluster(member_count, network,
                           [seed = network.seed](MemberId self, std::size_t count, Time now) {
                             const Incarnation start = incarnation_at(now);
                             return std::make_unique<SimulatedMember>(make_settings(self, count), start,
                                                                      seed * 7919 + self * 31 + start, now);
                           });
}

// Whether each of `observers` considers each other member of `observed` to be in this state.
bool all_consider(MembershipCluster& cluster, const MemberFilter& observers, const MemberFilter& observed,
                  std::optional<MemberState> state) {
  for (std::size_t observer = 0; observer < cluster.size(); ++observer) {
    if (!cluster.member(observer) || !observers(observer)) continue;
    for (std::size_t other = 0; other < cluster.size(); ++other) {
      if (other == observer || !observed(other)) continue;
      if (cluster.membership(observer).state_of(static_cast<MemberId>(other)) != state) return false;
    }
  }
  return true;
}

bool all_current(MembershipCluster& cluster) {
  for (std::size_t id = 0; id < cluster.size(); ++id) {
    if (cluster.member(id) && !cluster.membership(id).is_current(cluster.now())) return false;
  }
  return true;
}

// The number of times that a running member has considered another one failed.
long count_failures_reported(MembershipCluster& cluster) {
  long count = 0;
  for (std::size_t id = 0; id < cluster.size(); ++id) {
    if (cluster.member(id)) count += cluster.member(id)->count_changes_to(MemberState::kFailed);
  }
  return count;
}

// Converts to protocol periods; returns a large number if there is no duration.
double periods(std::optional<Duration> span) {
  if (!span) return 1e9;
  return std::chrono::duration<double>(*span) / std::chrono::duration<double>(kPeriod);
}

// Starts all members, and runs until all are current and consider each other alive.
void start_and_converge(MembershipCluster& cluster) {
  cluster.start_all();
  const auto has_converged = [&] {
    return all_current(cluster) && all_consider(cluster, any_member, any_member, MemberState::kAlive);
  };
  REQUIRE(cluster.run_until(has_converged, 120s));
}

// A cluster size, and the number of seeds with which a test runs.
struct ClusterSize {
  std::size_t member_count;
  unsigned seeds;
};

// Runs the test in a converged cluster of each size and with each seed.
void for_each_cluster(const std::vector<ClusterSize>& sizes, NetworkSettings network,
                      const std::function<void(MembershipCluster&, std::size_t seed)>& test) {
  for (const ClusterSize size : sizes) {
    for (unsigned seed = 1; seed <= size.seeds; ++seed) {
      CAPTURE(size.member_count, seed);
      network.seed = seed;
      MembershipCluster cluster = make_cluster(size.member_count, network);
      start_and_converge(cluster);
      test(cluster, seed);
    }
  }
}

const NetworkSettings kReliableNetwork{.seed = 1};
const NetworkSettings kLossyNetwork{.seed = 1, .loss = 0.05, .duplication = 0.02, .long_delay = 0.01};

TEST_CASE("membership: no member is considered failed while 5% of messages are lost for minutes") {
  std::uint64_t probes = 0;
  std::uint64_t suspicions = 0;
  std::uint64_t probes_of_three = 0;
  std::uint64_t suspicions_of_three = 0;
  for_each_cluster({{3, 24}, {9, 24}, {100, 2}, {300, 1}}, kLossyNetwork,
                   [&](MembershipCluster& cluster, std::size_t) {
                     cluster.run(cluster.size() > 100 ? 60s : 180s);
                     CHECK(count_failures_reported(cluster) == 0);
                     CHECK(all_current(cluster));
                     for (std::size_t id = 0; id < cluster.size(); ++id) {
                       const auto& metrics = cluster.membership(id).metrics();
                       CHECK(metrics.stalls + metrics.rate_limited + metrics.unknown_members == 0);
                       (cluster.size() > 3 ? probes : probes_of_three) += metrics.probes;
                       (cluster.size() > 3 ? suspicions : suspicions_of_three) += metrics.suspicions;
                     }
                   });
  CAPTURE(probes, suspicions, probes_of_three, suspicions_of_three);

  CHECK(suspicions * 10'000 <= probes * 3);
  CHECK(suspicions_of_three * 10'000 <= probes_of_three * 25);  // Only one other member can be asked to ping.
}

TEST_CASE("membership: all members consider a killed member failed and a restarted member alive") {
  for_each_cluster(
      {{3, 24}, {9, 24}, {100, 3}, {300, 1}}, kLossyNetwork,
      [](MembershipCluster& cluster, std::size_t seed) {
        const std::size_t killed = seed % cluster.size();
        const auto timeout = make_settings(0, cluster.size()).suspicion_timeout();
        const auto others = [&](std::size_t member) { return member != killed; };

        // A member that is down for half the suspicion timeout is not considered failed.
        cluster.kill(killed);
        cluster.run(timeout / 2);
        cluster.start(killed);
        cluster.run(timeout);
        CHECK(count_failures_reported(cluster) == 0);
        CHECK(all_consider(cluster, others, only(killed), MemberState::kAlive));

        cluster.kill(killed);
        const auto failed_after = cluster.run_until(
            [&] { return all_consider(cluster, others, only(killed), MemberState::kFailed); }, 120s);
        CHECK(periods(failed_after) <= periods(timeout) + 10);
        // No other member is considered failed.
        CHECK(count_failures_reported(cluster) == static_cast<long>(cluster.size()) - 1);

        cluster.start(killed);
        CHECK(cluster.membership(killed).alive_count() == 1);
        CHECK_FALSE(cluster.membership(killed).is_current(cluster.now()));
        const auto alive_after = cluster.run_until(
            [&] { return all_consider(cluster, others, only(killed), MemberState::kAlive); }, 60s);
        CHECK(periods(alive_after) <= 8);
        const auto complete_after = cluster.run_until(
            [&] {
              return cluster.membership(killed).alive_count() == cluster.size() && all_current(cluster);
            },
            60s);
        CHECK(periods(complete_after) <= 8);
      });
}

TEST_CASE("membership: indirect pings prevent suspicions during a one-way partition") {
  for_each_cluster({{3, 24}, {9, 12}, {100, 2}}, kReliableNetwork,
                   [](MembershipCluster& cluster, std::size_t) {
                     cluster.cut(0, 1);
                     cluster.run(60s);
                     for (std::size_t id = 0; id < cluster.size(); ++id) {
                       CHECK(cluster.member(id)->count_changes_to(MemberState::kFailed) == 0);
                       CHECK(cluster.membership(id).metrics().suspicions == 0);
                     }
                     if (cluster.size() <= 9) CHECK(cluster.membership(0).metrics().indirect_probes > 0);
                   });
}

TEST_CASE("membership: both sides of a partition consider each other failed, and alive after it heals") {
  for (const std::size_t minority : {1, 4, 50}) {
    for_each_cluster(
        {{minority * 2 + 1, minority < 50 ? 12u : 2u}, {100, 1}}, kLossyNetwork,
        [&](MembershipCluster& cluster, std::size_t) {
          const MemberFilter left = [&](std::size_t member) { return member < minority; };
          const MemberFilter right = [&](std::size_t member) { return member >= minority; };
          cluster.partition(left);
          // An isolated member probes the hundred others one after another.
          CHECK(cluster.run_until(
              [&] {
                return all_consider(cluster, left, right, MemberState::kFailed) &&
                       all_consider(cluster, right, left, MemberState::kFailed);
              },
              200s));
          // No member of the same side is considered failed.
          CHECK(count_failures_reported(cluster) ==
                2 * static_cast<long>(minority * (cluster.size() - minority)));
          cluster.heal();
          CHECK(cluster.run_until(
              [&] { return all_consider(cluster, any_member, any_member, MemberState::kAlive); }, 60s));
        });
  }
}

TEST_CASE("membership: a member that stalled for ten seconds is not current until its pings are acked") {
  for_each_cluster({{3, 24}, {9, 24}, {100, 3}}, kLossyNetwork, [](MembershipCluster& cluster, std::size_t) {
    const auto& stalled = cluster.membership(0);
    const auto before = stalled.incarnation();
    std::optional<bool> current;  // Whether it is current at its first event after the stall.
    cluster.stall(0, 10s);
    cluster.on_event = [&](MemberId member) {
      if (member == 0 && !current) current = stalled.is_current(cluster.now());
    };
    cluster.run(9'900ms);
    CHECK_FALSE(current);
    CHECK_FALSE(stalled.is_current(cluster.now()));  // It has not had an event yet.
    cluster.run(200ms);
    CHECK(current == false);
    CHECK(stalled.metrics().stalls == 1);
    CHECK(stalled.incarnation() > before);
    CHECK(cluster.run_until([&] { return all_current(cluster); }, 10s));
    CHECK(cluster.run_until(
        [&] { return all_consider(cluster, any_member, any_member, MemberState::kAlive); }, 20s));
    CHECK(cluster.member(0)->count_changes_to(MemberState::kFailed) == 0);
  });
}

TEST_CASE("membership: a member that has stalled and reaches only a minority is not current") {
  for_each_cluster({{9, 12}}, kReliableNetwork, [](MembershipCluster& cluster, std::size_t) {
    cluster.stall(0, 10s);
    cluster.run(9'900ms);
    cluster.partition([](std::size_t member) { return member < 4; });  // Three of the eight others.
    cluster.run(3s);
    CHECK(cluster.membership(0).metrics().stalls == 1);
    CHECK_FALSE(cluster.membership(0).is_current(cluster.now()));
    cluster.heal();
    CHECK(cluster.run_until([&] { return cluster.membership(0).is_current(cluster.now()); }, 2s));
  });
}

TEST_CASE("membership: the traffic per member does not grow with the size of the cluster") {
  std::vector<double> mean_rates;  // Bytes per second and member.
  for_each_cluster(
      {{10, 1}, {100, 1}, {300, 1}}, kLossyNetwork, [&](MembershipCluster& cluster, std::size_t) {
        // An estimate: 64 bytes for sender, incarnation, sequence, MAC and body, 11 bytes per gossip update.
        cluster.size_of = [](const SimulatedDatagram& datagram) { return 64 + 11 * datagram.gossip.size(); };
        cluster.run(60s);
        double all = 0;
        double most = 0;
        for (std::size_t id = 0; id < cluster.size(); ++id) {
          all += static_cast<double>(cluster.sent_bytes(id)) / 60;
          most = std::max(most, static_cast<double>(cluster.sent_bytes(id)) / 60);
        }
        mean_rates.push_back(all / static_cast<double>(cluster.size()));
        CHECK(most < 1.5 * mean_rates.back());
      });
  CAPTURE(mean_rates);
  CHECK(*std::max_element(mean_rates.begin(), mean_rates.end()) <
        1.5 * *std::min_element(mean_rates.begin(), mean_rates.end()));
  CHECK(mean_rates.back() < 1500);
}

TEST_CASE("membership: duplicated and reordered messages change no state, and a seed reproduces a run") {
  for_each_cluster({{3, 12}, {9, 12}, {100, 2}}, {.seed = 1, .duplication = 1, .long_delay = 0.2},
                   [](MembershipCluster& cluster, std::size_t) {
                     MembershipCluster second_run = make_cluster(cluster.size(), cluster.network);
                     start_and_converge(second_run);
                     std::vector<std::size_t> changes;
                     for (std::size_t id = 0; id < cluster.size(); ++id)
                       changes.push_back(cluster.member(id)->changes.size());
                     cluster.run(60s);
                     second_run.run(60s);
                     for (std::size_t id = 0; id < cluster.size(); ++id) {
                       CHECK(cluster.member(id)->changes.size() == changes[id]);
                       CHECK(cluster.sent_messages(id) == second_run.sent_messages(id));
                     }
                   });
}

}  // namespace
}  // namespace rookproxy::cluster
