// Tests of the order in which connections with input are read.
#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>
#include <map>
#include <set>
#include <vector>

#include "policy/input_schedule.h"

using namespace rookproxy;
using namespace std::chrono_literals;
using policy::InputSchedule;

namespace {

using ConnectionId = InputSchedule::ConnectionId;

constexpr std::array<ConnectionId, 3> kConnections{1, 2, 3};
constexpr std::size_t kEventsPerSequence = 6;

// What happens next: input on a connection, a turn of some length, or the end of a connection.
struct Event {
  enum class Kind { kInput, kTurn, kClose };
  Kind kind;
  ConnectionId connection = 0;
  Duration used{};
};

std::vector<Event> all_events() {
  std::vector<Event> events;
  for (const ConnectionId id : kConnections) {
    events.push_back({Event::Kind::kInput, id});
    events.push_back({Event::Kind::kClose, id});
  }
  for (const Duration used : {Duration(0), Duration(1us), InputSchedule::kMaxTurn}) {
    events.push_back({Event::Kind::kTurn, 0, used});
  }
  return events;
}

// Plays events, and checks after each what has to hold in every order of them.
class CheckedSchedule {
 public:
  void play(const Event& event) {
    switch (event.kind) {
      case Event::Kind::kInput:
        schedule_.on_input(event.connection);
        if (waiting_.insert(event.connection).second) turns_of_others_[event.connection].clear();
        break;
      case Event::Kind::kClose:
        schedule_.remove(event.connection);
        waiting_.erase(event.connection);
        used_.erase(event.connection);
        break;
      case Event::Kind::kTurn:
        play_turn(event.used);
        break;
    }
    require(schedule_.has_waiting() == !waiting_.empty());
  }

  // Every waiting connection gets its turn, once.
  void finish() {
    for (std::size_t left = waiting_.size(); left > 0; --left) play_turn(1us);
    require(!schedule_.has_waiting());
  }

 private:
  static void require(bool condition) {
    if (!condition) FAIL("a rule of the schedule is broken");
  }

  void play_turn(Duration used) {
    schedule_.begin_iteration();
    const auto connection = schedule_.begin_turn();
    require(connection.has_value() == !waiting_.empty());
    if (!connection) return;
    require(waiting_.erase(*connection) == 1);
    for (const ConnectionId other : waiting_) {
      // One that has used no time so far waits for at most one turn of each other connection.
      const bool is_second_turn = !turns_of_others_[other].insert(*connection).second;
      require(!is_second_turn || used_[other] > Duration(0) || used_[*connection] == Duration(0));
    }
    used_[*connection] += used;
    schedule_.end_turn(used);
  }

  InputSchedule schedule_;
  std::set<ConnectionId> waiting_;
  std::map<ConnectionId, Duration> used_;
  // The connections that had turns while the key's connection waited.
  std::map<ConnectionId, std::set<ConnectionId>> turns_of_others_;
};

void play_all_sequences(const std::vector<Event>& events, std::vector<Event>& sequence, std::size_t& count) {
  if (sequence.size() == kEventsPerSequence) {
    CheckedSchedule schedule;
    for (const Event& event : sequence) schedule.play(event);
    schedule.finish();
    ++count;
    return;
  }
  for (const Event& event : events) {
    sequence.push_back(event);
    play_all_sequences(events, sequence, count);
    sequence.pop_back();
  }
}

}  // namespace

TEST_CASE("input schedule: every order of input, turns and closes gives each connection its turn") {
  std::vector<Event> sequence;
  std::size_t count = 0;
  play_all_sequences(all_events(), sequence, count);
  CHECK(count == 531'441);
}

TEST_CASE("input schedule: a connection with little input is read next, however much others have") {
  InputSchedule schedule;
  constexpr ConnectionId kUsual = 1;
  const std::vector<ConnectionId> flooding{2, 3, 4};
  for (int round = 0; round < 20; ++round) {
    schedule.begin_iteration();
    for (const ConnectionId id : flooding) schedule.on_input(id);
    // The first of the flooding connections is being read when the usual one has input again.
    REQUIRE(schedule.begin_turn());
    schedule.on_input(kUsual);
    schedule.end_turn(InputSchedule::kMaxTurn);
    int turns_before = 0;
    while (schedule.begin_turn() != kUsual) {
      schedule.end_turn(InputSchedule::kMaxTurn);
      ++turns_before;
    }
    schedule.end_turn(10us);
    CHECK(turns_before < static_cast<int>(flooding.size()));
    while (schedule.begin_turn()) schedule.end_turn(InputSchedule::kMaxTurn);
  }
}

TEST_CASE("input schedule: connections that always have input share the time evenly") {
  InputSchedule schedule;
  std::map<ConnectionId, Duration> used;
  const std::map<ConnectionId, Duration> turns{{1, 500us}, {2, 100us}, {3, 20us}};
  for (int turn = 0; turn < 2000; ++turn) {
    for (const auto& [id, length] : turns) schedule.on_input(id);
    schedule.begin_iteration();
    const ConnectionId id = schedule.begin_turn().value();
    schedule.end_turn(turns.at(id));
    used[id] += turns.at(id);
  }
  CHECK(used[1] - used[3] <= 500us);
  CHECK(used[2] - used[3] <= 500us);
  CHECK(used[3] - used[1] <= 500us);
}

TEST_CASE("input schedule: an iteration ends its turns in time, and the next one continues") {
  InputSchedule schedule;
  for (ConnectionId id = 1; id <= 100; ++id) schedule.on_input(id);
  std::set<ConnectionId> read;
  for (int iteration = 0; iteration < 20; ++iteration) {
    schedule.begin_iteration();
    Duration used{};
    while (const auto id = schedule.begin_turn()) {
      read.insert(*id);
      schedule.end_turn(InputSchedule::kMaxTurn);
      used += InputSchedule::kMaxTurn;
    }
    CHECK(used <= InputSchedule::kMaxTimePerIteration + InputSchedule::kMaxTurn);
  }
  CHECK(read.size() == 100);
  CHECK_FALSE(schedule.has_waiting());
}
