// Which of two endpoint lists is the newer one.
#include "policy/endpoint_list_version.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <vector>

namespace rookproxy::policy {
namespace {

using namespace std::chrono_literals;

TEST_CASE("list version: ordered by serial and by when it was polled") {
  using Place = EndpointListVersion::Ordering;
  struct Step {
    std::uint32_t serial;
    Duration polled_at;
    Duration now;
    Place place;
  };
  struct Case {
    std::uint32_t first;
    std::vector<Step> steps;
  };
  for (const auto& [first, steps] : {
           Case{1, {{1, 0s, 1s, Place::kSame}, {2, 1s, 1s, Place::kNewer}, {2, 1s, 2s, Place::kSame}}},
           // Overtaken on its way, however late.
           Case{
               5,
               {{6, 2s, 3s, Place::kNewer}, {5, 1s, 4s, Place::kOvertaken}, {5, 3s, 30s, Place::kOvertaken}}},
           // The numbers wrap round.
           Case{0xffffffff, {{0, 1s, 1s, Place::kNewer}, {0xffffffff, 2s, 2s, Place::kFirstContradicting}}},
           Case{0, {{0x7fffffff, 1s, 1s, Place::kNewer}, {0x80000000, 2s, 2s, Place::kNewer}}},
           // A server that lags now and then is never followed,
           Case{9,
                {{8, 1s, 1s, Place::kFirstContradicting},
                 {8, 7s, 7s, Place::kContradicting},
                 {9, 7s, 7s, Place::kSame},
                 {8, 9s, 9s, Place::kFirstContradicting},
                 {8, 15s, 15s, Place::kContradicting}}},
           // one that starts anew is, once no newer list can be on its way,
           Case{9,
                {{2, 1s, 1s, Place::kFirstContradicting},
                 {3, 7999ms, 7999ms, Place::kContradicting},
                 {3, 8s, 8s, Place::kServerRestarted},
                 {3, 9s, 9s, Place::kSame},
                 {4, 9s, 9s, Place::kNewer}}},
           // and its former numbers are newer ones again.
           Case{9,
                {{2, 1s, 1s, Place::kFirstContradicting},
                 {2, 8s, 8s, Place::kServerRestarted},
                 {9, 8s, 9s, Place::kNewer}}},
       }) {
    EndpointListVersion order(first, Time(0s));
    for (const auto& step : steps) {
      INFO(step.serial << " at " << step.now.count());
      CHECK(order.classify(step.serial, true, Time(step.polled_at), Time(step.now)) == step.place);
    }
  }
}

TEST_CASE("list version: another list under the newest version is no newer one") {
  using Place = EndpointListVersion::Ordering;
  EndpointListVersion order(5, Time(0s));
  CHECK(order.classify(5, false, Time(1s), Time(1s)) == Place::kFirstContradicting);
  CHECK(order.classify(5, false, Time(2s), Time(2s)) == Place::kContradicting);
  CHECK(order.classify(5, true, Time(3s), Time(3s)) == Place::kSame);
  CHECK(order.classify(5, false, Time(3s), Time(4s)) == Place::kOvertaken);
  CHECK(order.classify(5, false, Time(4s), Time(4s)) == Place::kFirstContradicting);
  CHECK(order.classify(5, false, Time(11s), Time(11s)) == Place::kServerRestarted);
  CHECK(order.classify(6, false, Time(12s), Time(12s)) == Place::kNewer);
}

}  // namespace
}  // namespace rookproxy::policy
