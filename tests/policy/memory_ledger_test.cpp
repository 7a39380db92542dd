// Tests of the ledger of held memory: single rules, and all orders of events in a small memory.
#include "policy/memory_ledger.h"

#include <array>
#include <catch2/catch.hpp>
#include <cstddef>
#include <memory>
#include <numeric>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace rookproxy::policy {
namespace {

constexpr std::size_t kLarge = 2 * MemoryLedger::kSmallHolding;

}  // namespace

TEST_CASE("memory ledger: each use has its share of the memory, and processes divide it") {
  MemoryLedger ledger;
  ledger.apply_limits(std::size_t{192} << 20, 1);
  CHECK(ledger.limit(MemoryUse::kPreparedStatements) == std::size_t{24} << 20);
  CHECK(ledger.limit(MemoryUse::kEngineStatements) == std::size_t{6} << 20);
  CHECK(ledger.limit(MemoryUse::kEngineResults) == std::size_t{48} << 20);
  CHECK(ledger.limit(MemoryUse::kStatements) == std::size_t{48} << 20);
  CHECK(ledger.limit(MemoryUse::kPartialCommands) == std::size_t{24} << 20);
  CHECK(ledger.limit(MemoryUse::kTokenChecks) == std::size_t{24} << 20);
  CHECK(ledger.limit(MemoryUse::kTurnWaits) == std::size_t{12} << 20);
  CHECK(ledger.limit(MemoryUse::kUnreadResponses) == std::size_t{24} << 20);
  CHECK(ledger.total_limit() == std::size_t{120} << 20);
  ledger.apply_limits(std::size_t{192} << 20, 2);
  CHECK(ledger.limit(MemoryUse::kEngineResults) == std::size_t{24} << 20);
}

TEST_CASE("memory ledger: large holdings leave a quarter of a limit to small ones") {
  // Guards against a few clients with large data that leave no memory for anyone's small statements.
  const auto ledger = std::make_shared<MemoryLedger>();
  ledger->set_limit(MemoryUse::kPreparedStatements, 4 * kLarge);
  std::vector<MemoryHolding> holdings;
  for (int number = 0; number < 5; ++number) {
    holdings.emplace_back(ledger, MemoryUse::kPreparedStatements);
    CHECK(holdings.back().try_add(kLarge) == (number < 3));
  }
  MemoryHolding small(ledger, MemoryUse::kPreparedStatements);
  CHECK(small.try_add(1000));
  CHECK_FALSE(holdings.front().try_add(1));
}

TEST_CASE("memory ledger: all uses together have a limit below the sum of theirs") {
  // Guards against budgets of which each is kept and which together are more than the memory.
  const auto ledger = std::make_shared<MemoryLedger>();
  ledger->apply_limits(32 * kLarge, 1);
  REQUIRE(ledger->total_limit() == 20 * kLarge);
  MemoryHolding statements(ledger, MemoryUse::kStatements);
  MemoryHolding results(ledger, MemoryUse::kEngineResults);
  MemoryHolding frames(ledger, MemoryUse::kPartialCommands);
  CHECK(statements.try_add(6 * kLarge));
  CHECK(results.try_add(6 * kLarge));
  CHECK_FALSE(frames.try_add(4 * kLarge));
  CHECK(frames.try_add(3 * kLarge));
  MemoryHolding small(ledger, MemoryUse::kPreparedStatements);
  CHECK(small.try_add(1000));
  CHECK(ledger->total_held() == 15 * kLarge + 1000);
}

TEST_CASE("memory ledger: bytes that can't be refused count beyond the limits, and leave less to others") {
  const auto ledger = std::make_shared<MemoryLedger>();
  ledger->set_limit(MemoryUse::kUnreadResponses, kLarge);
  ledger->set_total_limit(4 * kLarge);
  MemoryHolding unread(ledger, MemoryUse::kUnreadResponses);
  unread.set(3 * kLarge);
  CHECK(ledger->is_exceeded(MemoryUse::kUnreadResponses));
  MemoryHolding statements(ledger, MemoryUse::kStatements);
  CHECK_FALSE(statements.try_add(kLarge));
  unread.set(kLarge);
  CHECK_FALSE(ledger->is_exceeded(MemoryUse::kUnreadResponses));
  CHECK(statements.try_add(kLarge));
}

TEST_CASE("memory ledger: amounts near the largest number are refused, not wrapped around") {
  const auto ledger = std::make_shared<MemoryLedger>();
  ledger->set_limit(MemoryUse::kEngineResults, 1000);
  MemoryHolding holding(ledger, MemoryUse::kEngineResults);
  REQUIRE(holding.try_add(10));
  CHECK_FALSE(holding.try_add(SIZE_MAX));
  CHECK_FALSE(holding.try_add(SIZE_MAX - 9));
  CHECK(ledger->held(MemoryUse::kEngineResults) == 10);
}

namespace {

constexpr std::size_t kOwners = 3;
constexpr std::array<MemoryUse, 2> kUses{MemoryUse::kPreparedStatements, MemoryUse::kEngineResults};
constexpr std::array<std::size_t, 2> kAmounts{kLarge / 2, kLarge};
constexpr std::size_t kFullLimit = 4 * kLarge;
constexpr std::size_t kHalfLimit = 2 * kLarge;
constexpr std::size_t kTotalLimit = 6 * kLarge;

struct Step {
  enum class Kind { kAdd, kSet, kRemove, kRelease, kMove, kChangeLimit };
  Kind kind = Kind::kAdd;
  std::size_t owner = 0;
  std::size_t amount = 0;
};

// The owners' bytes by use, and the limit. A ledger is rebuilt from the steps that led to a state.
struct Played {
  std::shared_ptr<MemoryLedger> ledger = std::make_shared<MemoryLedger>();
  std::vector<MemoryHolding> holdings;
  std::array<std::size_t, kOwners> expected{};
  std::size_t limit = kFullLimit;
  bool is_rule_broken = false;

  Played() {
    for (const MemoryUse use : kUses) ledger->set_limit(use, limit);
    ledger->set_total_limit(kTotalLimit);
    for (std::size_t owner = 0; owner < kOwners; ++owner) holdings.emplace_back(ledger, use_of(owner));
  }
  static MemoryUse use_of(std::size_t owner) { return kUses[owner % kUses.size()]; }
  [[nodiscard]] std::size_t sum_of(MemoryUse use) const {
    std::size_t sum = 0;
    for (std::size_t owner = 0; owner < kOwners; ++owner) sum += use_of(owner) == use ? expected[owner] : 0;
    return sum;
  }

  [[nodiscard]] std::size_t sum_of_all() const {
    return std::accumulate(expected.begin(), expected.end(), std::size_t{0});
  }

  void play(const Step& step) {
    const MemoryUse use = use_of(step.owner);
    const std::size_t before = sum_of(use);
    std::size_t& bytes = expected[step.owner];
    switch (step.kind) {
      case Step::Kind::kAdd: {
        const bool is_small = bytes + step.amount <= MemoryLedger::kSmallHolding;
        const auto fits_in = [&](std::size_t held, std::size_t full) {
          return held + step.amount <= (is_small ? full : full / 4 * 3);
        };
        const bool fits = fits_in(before, limit) && fits_in(sum_of_all(), kTotalLimit);
        const bool is_taken = holdings[step.owner].try_add(step.amount);
        is_rule_broken |= is_taken != fits;
        if (is_taken) bytes += step.amount;
        break;
      }
      case Step::Kind::kSet:
        holdings[step.owner].set(step.amount);
        bytes = step.amount;
        break;
      case Step::Kind::kRemove:
        holdings[step.owner].remove(step.amount);
        bytes -= std::min(bytes, step.amount);
        break;
      case Step::Kind::kRelease:
        holdings[step.owner] = MemoryHolding(ledger, use);
        bytes = 0;
        break;
      case Step::Kind::kMove: {
        // The holding passes through another owner, as a statement does when it has been prepared.
        MemoryHolding other = std::move(holdings[step.owner]);
        is_rule_broken |= holdings[step.owner].bytes() != 0;
        holdings[step.owner] = std::move(other);
        break;
      }
      case Step::Kind::kChangeLimit:
        limit = limit == kFullLimit ? kHalfLimit : kFullLimit;
        for (const MemoryUse changed : kUses) ledger->set_limit(changed, limit);
        break;
    }
    for (const MemoryUse checked : kUses) is_rule_broken |= ledger->held(checked) != sum_of(checked);
    is_rule_broken |= ledger->total_held() != sum_of_all();
    for (std::size_t owner = 0; owner < kOwners; ++owner) {
      is_rule_broken |= holdings[owner].bytes() != expected[owner];
    }
  }
  [[nodiscard]] std::string key() const {
    std::string key = std::to_string(limit);
    for (const std::size_t bytes : expected) key += "," + std::to_string(bytes);
    return key;
  }
};

std::vector<Step> all_steps() {
  std::vector<Step> steps{{Step::Kind::kChangeLimit, 0, 0}};
  for (std::size_t owner = 0; owner < kOwners; ++owner) {
    for (const std::size_t amount : kAmounts) {
      steps.push_back({Step::Kind::kAdd, owner, amount});
      steps.push_back({Step::Kind::kSet, owner, amount});
      steps.push_back({Step::Kind::kRemove, owner, amount});
    }
    steps.push_back({Step::Kind::kRelease, owner, 0});
    steps.push_back({Step::Kind::kMove, owner, 0});
  }
  return steps;
}

}  // namespace

TEST_CASE("memory ledger: in every order of events it holds what the owners hold, and no more than allowed") {
  // Guards against bytes that are taken unasked, released twice, or never.
  std::set<std::string> seen;
  std::vector<std::vector<Step>> paths{{}};
  const std::vector<Step> steps = all_steps();
  while (!paths.empty()) {
    std::vector<std::vector<Step>> next;
    for (const std::vector<Step>& path : paths) {
      for (const Step& step : steps) {
        Played played;
        for (const Step& earlier : path) played.play(earlier);
        played.play(step);
        if (played.is_rule_broken) {
          CAPTURE(path.size(), static_cast<int>(step.kind), step.owner, step.amount, played.key());
          FAIL("a rule is broken");
        }
        if (!seen.insert(played.key()).second) continue;
        next.push_back(path);
        next.back().push_back(step);
      }
    }
    paths = std::move(next);
  }
  INFO(seen.size() << " states");
  CHECK(seen.size() > 100);
}

}  // namespace rookproxy::policy
