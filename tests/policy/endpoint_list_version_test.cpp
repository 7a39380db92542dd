// Tests which of two endpoint lists is the newer one.
#include "policy/endpoint_list_version.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <vector>

namespace rookproxy::policy {
namespace {

using namespace std::chrono_literals;

TEST_CASE("list version: lists are ordered by version and by the time of their poll") {
  using Order = EndpointListVersion::Ordering;
  struct Step {
    std::uint32_t version;
    Duration polled_at;
    Duration now;
    Order expected;
  };
  struct Case {
    std::uint32_t initial_version;
    std::vector<Step> steps;
  };
  for (const auto& [initial_version, steps] : {
           Case{1, {{1, 0s, 1s, Order::kSame}, {2, 1s, 1s, Order::kNewer}, {2, 1s, 2s, Order::kSame}}},
           // A response to an earlier poll is stale, however late it arrives.
           Case{5, {{6, 2s, 3s, Order::kNewer}, {5, 1s, 4s, Order::kStale}, {5, 3s, 30s, Order::kStale}}},
           // Versions wrap around.
           Case{0xffffffff, {{0, 1s, 1s, Order::kNewer}, {0xffffffff, 2s, 2s, Order::kFirstContradicting}}},
           Case{0, {{0x7fffffff, 1s, 1s, Order::kNewer}, {0x80000000, 2s, 2s, Order::kNewer}}},
           // Lists of a server that lags at times are never used.
           Case{9,
                {{8, 1s, 1s, Order::kFirstContradicting},
                 {8, 7s, 7s, Order::kContradicting},
                 {9, 7s, 7s, Order::kSame},
                 {8, 9s, 9s, Order::kFirstContradicting},
                 {8, 15s, 15s, Order::kContradicting}}},
           // A server that restarted its versions is used once no newer list can be in transit.
           Case{9,
                {{2, 1s, 1s, Order::kFirstContradicting},
                 {3, 7999ms, 7999ms, Order::kContradicting},
                 {3, 8s, 8s, Order::kServerRestarted},
                 {3, 9s, 9s, Order::kSame},
                 {4, 9s, 9s, Order::kNewer}}},
           // After that its previous versions count as newer.
           Case{9,
                {{2, 1s, 1s, Order::kFirstContradicting},
                 {2, 8s, 8s, Order::kServerRestarted},
                 {9, 8s, 9s, Order::kNewer}}},
       }) {
    EndpointListVersion versions(initial_version, Time(0s));
    for (const auto& step : steps) {
      INFO(step.version << " at " << step.now.count());
      CHECK(versions.classify(step.version, true, Time(step.polled_at), Time(step.now)) == step.expected);
    }
  }
}

TEST_CASE("list version: other content under the newest version contradicts the newest list") {
  using Order = EndpointListVersion::Ordering;
  EndpointListVersion versions(5, Time(0s));
  CHECK(versions.classify(5, false, Time(1s), Time(1s)) == Order::kFirstContradicting);
  CHECK(versions.classify(5, false, Time(2s), Time(2s)) == Order::kContradicting);
  CHECK(versions.classify(5, true, Time(3s), Time(3s)) == Order::kSame);
  CHECK(versions.classify(5, false, Time(3s), Time(4s)) == Order::kStale);
  CHECK(versions.classify(5, false, Time(4s), Time(4s)) == Order::kFirstContradicting);
  CHECK(versions.classify(5, false, Time(11s), Time(11s)) == Order::kServerRestarted);
  CHECK(versions.classify(6, false, Time(12s), Time(12s)) == Order::kNewer);
}

}  // namespace
}  // namespace rookproxy::policy
