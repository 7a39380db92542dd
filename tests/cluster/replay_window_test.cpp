// Tests which datagrams are accepted as new.
#include "cluster/replay_window.h"

#include <array>
#include <catch2/catch.hpp>
#include <random>
#include <set>

namespace rookproxy::cluster {
namespace {

using namespace std::chrono_literals;

TEST_CASE(
    "replay window: a datagram is accepted once, within the window, and never from an earlier process") {
  using Result = ReplayWindow::Result;
  const Time now(1'000'000s);
  const auto incarnation_at = [&](Duration offset) {
    return static_cast<Incarnation>((now + offset).time_since_epoch().count());
  };
  ReplayWindow window(2, 60s);
  const struct {
    MemberId sender;
    Incarnation incarnation;
    std::uint64_t sequence;
    Result expected;
  } steps[] = {
      {0, incarnation_at(0s), 10, Result::kNew},
      {0, incarnation_at(0s), 10, Result::kDuplicate},
      {0, incarnation_at(0s), 9, Result::kNew},
      {0, incarnation_at(0s), 9, Result::kDuplicate},
      {0, incarnation_at(0s), 73, Result::kNew},
      {0, incarnation_at(0s), 10, Result::kDuplicate},
      {0, incarnation_at(0s), 9, Result::kTooOld},
      {0, incarnation_at(0s), 11, Result::kNew},
      {0, incarnation_at(0s), 137, Result::kNew},
      {0, incarnation_at(0s), 75, Result::kNew},
      {0, incarnation_at(0s), ~0ull, Result::kNew},
      {0, incarnation_at(0s), 73, Result::kTooOld},
      {0, incarnation_at(-1us), ~0ull, Result::kOldIncarnation},
      {0, incarnation_at(1us), 1, Result::kNew},
      {0, incarnation_at(0s), ~0ull, Result::kOldIncarnation},
      {0, incarnation_at(60s) + 1, 1, Result::kFutureIncarnation},
      {0, ~0ull, 1, Result::kFutureIncarnation},
      {0, incarnation_at(1us), 2, Result::kNew},
      {1, 0, 0, Result::kNew},
      {1, 0, 0, Result::kDuplicate},
      {2, incarnation_at(0s), 1, Result::kUnknownMember},
      {0, incarnation_at(60s), 0, Result::kNew},
  };
  std::array<std::uint64_t, ReplayWindow::kResultCount> counts{};
  for (const auto& step : steps) {
    CAPTURE(step.sender, step.incarnation, step.sequence);
    CHECK(window.check(step.sender, step.incarnation, step.sequence, now) == step.expected);
    ++counts[static_cast<std::size_t>(step.expected)];
  }
  for (std::size_t i = 0; i < counts.size(); ++i) CHECK(window.count(static_cast<Result>(i)) == counts[i]);
}

TEST_CASE("replay window: in random order each sequence number within the window is accepted exactly once") {
  std::mt19937_64 random(5);
  ReplayWindow window(1, 60s);
  std::set<std::uint64_t> accepted;
  for (std::uint64_t top = 100; top < 20'000; ++top) {
    const std::uint64_t sequence = top - random() % 80;
    const std::uint64_t highest = accepted.empty() ? 0 : *accepted.rbegin();
    const bool is_new = window.check(0, 1, sequence, Time(1s)) == ReplayWindow::Result::kNew;
    REQUIRE(is_new == (!accepted.contains(sequence) && sequence + 64 > highest));
    if (is_new) accepted.insert(sequence);
  }
}

}  // namespace
}  // namespace rookproxy::cluster
