// Tests of the ids of requests that must not run twice.
#include <array>
#include <catch2/catch.hpp>
#include <map>
#include <vector>

#include "policy/execution_registry.h"

using namespace rookproxy;
using policy::ExecutionAdmission;
using policy::ExecutionRegistry;

namespace {

constexpr std::size_t kEventsPerSequence = 6;

enum class Kind { kBegin, kEndNeverRan, kEndMayHaveRun, kHalfRetention };
struct Event {
  Kind kind;
  ExecutionRegistry::ExecutionId id = 0;
};

const std::vector<Event> kEvents{
    {Kind::kBegin, 1},         {Kind::kBegin, 2},         {Kind::kEndNeverRan, 1}, {Kind::kEndNeverRan, 2},
    {Kind::kEndMayHaveRun, 1}, {Kind::kEndMayHaveRun, 2}, {Kind::kHalfRetention}};

// What is known of an id without the registry.
struct Expected {
  bool open = false;
  Time forget_at{};
};

// Returns false if an id was admitted that may have run, or refused although it never ran.
bool plays_correctly(const std::vector<Event>& sequence) {
  ExecutionRegistry registry;
  std::map<ExecutionRegistry::ExecutionId, Expected> expected;
  Time now{std::chrono::hours(1)};
  for (const Event& event : sequence) {
    Expected& id = expected[event.id];
    if (event.kind == Kind::kHalfRetention) now += ExecutionRegistry::kRetention / 2;
    (void)registry.take_expired(now);
    if (event.kind == Kind::kBegin) {
      const bool may_have_run = id.open || now < id.forget_at;
      const ExecutionAdmission admission = registry.begin(event.id);
      if ((admission == ExecutionAdmission::kMayHaveRun) != may_have_run) return false;
      id.open = true;
      if (may_have_run && now < id.forget_at) id.open = false;
    }
    const bool ends = event.kind == Kind::kEndNeverRan || event.kind == Kind::kEndMayHaveRun;
    if (!ends) continue;
    const bool may_have_run = event.kind == Kind::kEndMayHaveRun;
    registry.end(event.id, may_have_run, now);
    if (id.open && may_have_run) id.forget_at = now + ExecutionRegistry::kRetention;
    id.open = false;
  }
  return true;
}

std::size_t play_all_sequences(std::vector<Event>& sequence) {
  if (sequence.size() == kEventsPerSequence) {
    if (!plays_correctly(sequence)) FAIL("an id is admitted or refused wrongly");
    return 1;
  }
  std::size_t count = 0;
  for (const Event& event : kEvents) {
    sequence.push_back(event);
    count += play_all_sequences(sequence);
    sequence.pop_back();
  }
  return count;
}

}  // namespace

TEST_CASE("execution registry: in every order of events, no id is admitted that may have run") {
  std::vector<Event> sequence;
  CHECK(play_all_sequences(sequence) == 117'649);
}

TEST_CASE("execution registry: a full one refuses new ids until others are forgotten") {
  ExecutionRegistry registry;
  const Time now{std::chrono::hours(1)};
  for (std::size_t id = 1; id <= ExecutionRegistry::kMaxExecutions; ++id) {
    REQUIRE(registry.begin(id) == ExecutionAdmission::kAdmitted);
    registry.end(id, true, now);
  }
  const auto next = ExecutionRegistry::kMaxExecutions + 1;
  CHECK(registry.begin(next) == ExecutionAdmission::kUnavailable);
  CHECK(registry.begin(1) == ExecutionAdmission::kMayHaveRun);
  CHECK(registry.take_expired(now + ExecutionRegistry::kRetention).size() ==
        ExecutionRegistry::kMaxExecutions);
  CHECK(registry.begin(next) == ExecutionAdmission::kAdmitted);
  CHECK(registry.size() == 1);
}
