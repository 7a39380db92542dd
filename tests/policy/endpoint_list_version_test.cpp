// Which of two endpoint lists is the newer one, and since when a list counts as announced.
#include "policy/endpoint_list_version.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <optional>

namespace rookproxy::policy {
namespace {

using namespace std::chrono_literals;
using Ordering = EndpointListVersion::Ordering;

// The version of a list that is known from the start, at time 0.
class TrackedVersion {
 public:
  explicit TrackedVersion(std::uint32_t first) : version_(first, Time()) {}

  // A list that comes as soon as it is polled for.
  Ordering receive(std::uint32_t serial, Duration at) { return receive(serial, at, at); }
  Ordering receive(std::uint32_t serial, Duration polled_at, Duration received_at) {
    return version_.classify(serial, Time(polled_at), Time(received_at));
  }

 private:
  EndpointListVersion version_;
};

TEST_CASE("list version: ordered by serial and by when it was polled") {
  SECTION("a higher serial is newer") {
    TrackedVersion version(1);
    CHECK(version.receive(1, 0s, 1s) == Ordering::kSame);
    CHECK(version.receive(2, 1s) == Ordering::kNewer);
    CHECK(version.receive(2, 1s, 2s) == Ordering::kSame);
  }
  SECTION("a list that was overtaken on its way is older, however late it comes") {
    TrackedVersion version(5);
    CHECK(version.receive(6, 2s, 3s) == Ordering::kNewer);
    CHECK(version.receive(5, 1s, 4s) == Ordering::kOlder);
    CHECK(version.receive(5, 3s, 30s) == Ordering::kOlder);
  }
  SECTION("serials wrap around") {
    TrackedVersion at_the_highest(0xffffffff);
    CHECK(at_the_highest.receive(0, 1s) == Ordering::kNewer);
    CHECK(at_the_highest.receive(0xffffffff, 2s) == Ordering::kSuspectedRestart);
    TrackedVersion at_the_lowest(0);
    CHECK(at_the_lowest.receive(0x7fffffff, 1s) == Ordering::kNewer);
    CHECK(at_the_lowest.receive(0x80000000, 2s) == Ordering::kNewer);
  }
  SECTION("a server that lags now and then is never followed") {
    TrackedVersion version(9);
    CHECK(version.receive(8, 1s) == Ordering::kSuspectedRestart);
    CHECK(version.receive(8, 7s) == Ordering::kOlder);
    CHECK(version.receive(9, 7s) == Ordering::kSame);
    CHECK(version.receive(8, 9s) == Ordering::kSuspectedRestart);
    CHECK(version.receive(8, 15s) == Ordering::kOlder);
  }
  SECTION("a restarted server is followed once no newer list can be on its way") {
    TrackedVersion version(9);
    CHECK(version.receive(2, 1s) == Ordering::kSuspectedRestart);
    CHECK(version.receive(3, 7999ms) == Ordering::kOlder);
    CHECK(version.receive(3, 8s) == Ordering::kServerRestarted);
    CHECK(version.receive(3, 9s) == Ordering::kSame);
    CHECK(version.receive(4, 9s) == Ordering::kNewer);
  }
  SECTION("the former serials of a restarted server are newer ones again") {
    TrackedVersion version(9);
    CHECK(version.receive(2, 1s) == Ordering::kSuspectedRestart);
    CHECK(version.receive(2, 8s) == Ordering::kServerRestarted);
    CHECK(version.receive(9, 8s, 9s) == Ordering::kNewer);
  }
}

TEST_CASE("drains: since when a list counts as announced, by what went unanswered before it") {
  constexpr Duration kMaxPause = 220ms;
  struct Case {
    std::optional<Time> first_unanswered;
    Duration announced_since;
  };
  for (const auto& [first_unanswered, expected] :
       {Case{std::nullopt, 10s}, Case{Time(9950ms), 10s}, Case{Time(9780ms), 10s}, Case{Time(9s), 9220ms},
        Case{Time(1s), 1220ms}}) {
    CHECK(announced_since(first_unanswered, kMaxPause, Time(10s)) == Time(expected));
  }
}

}  // namespace
}  // namespace rookproxy::policy
