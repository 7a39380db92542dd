// Tests of the rules for long data of prepared statements: all orders of events.
#include "policy/long_data_state.h"

#include <array>
#include <catch2/catch.hpp>
#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace rookproxy::policy {
namespace {

constexpr std::size_t kMaxBytes = 3;

enum class Event { kOneByte, kTwoBytes, kTooManyBytes, kRefusedByte, kExecution, kReset };
constexpr std::array kEvents{Event::kOneByte,     Event::kTwoBytes,  Event::kTooManyBytes,
                             Event::kRefusedByte, Event::kExecution, Event::kReset};

// A statement as its client sees it: what it has sent since the last execution or reset, and the error that
// the next execution must report.
struct Model {
  std::size_t sent = 0;
  LongDataError error = LongDataError::kNone;
};

// Plays the events against the state and the caller's storage.
struct Played {
  LongDataState state{kMaxBytes};
  std::size_t stored = 0;
  Model model;
  bool is_rule_broken = false;

  void send(std::size_t bytes, bool has_memory) {
    const bool was_failed = model.error != LongDataError::kNone;
    if (!was_failed) {
      model.sent += bytes;
      if (!has_memory) model.error = LongDataError::kRefused;
      if (model.sent > kMaxBytes) model.error = LongDataError::kTooLarge;
    }
    if (!state.on_data(bytes)) {
      stored = 0;
    } else if (has_memory) {
      stored += bytes;
    } else {
      state.on_refused();
      stored = 0;
    }
    is_rule_broken |= stored != (model.error == LongDataError::kNone ? model.sent : 0);
  }
  void execute() {
    const LongDataError error = state.on_execution();
    is_rule_broken |= error != model.error;
    // An execution gets what was sent since the last one, whole or not at all.
    if (error == LongDataError::kNone) is_rule_broken |= stored != model.sent;
    stored = 0;
    model.sent = 0;
    if (error != LongDataError::kTooLarge) model.error = LongDataError::kNone;
  }
  void play(Event event) {
    switch (event) {
      case Event::kOneByte:
        return send(1, true);
      case Event::kTwoBytes:
        return send(2, true);
      case Event::kTooManyBytes:
        return send(kMaxBytes + 1, true);
      case Event::kRefusedByte:
        return send(1, false);
      case Event::kExecution:
        return execute();
      case Event::kReset:
        state.on_reset();
        stored = 0;
        model = {};
        return;
    }
  }
  [[nodiscard]] std::string key() const {
    return std::to_string(stored) + "," + std::to_string(model.sent) + "," +
           std::to_string(static_cast<int>(model.error));
  }
};

}  // namespace

TEST_CASE("long data: in every order of events an execution gets what was sent for it, once, or fails") {
  // Guards against data that is stored twice after an execution that was not carried out.
  std::set<std::string> seen;
  std::vector<std::vector<Event>> paths{{}};
  while (!paths.empty()) {
    std::vector<std::vector<Event>> next;
    for (const std::vector<Event>& path : paths) {
      for (const Event event : kEvents) {
        Played played;
        for (const Event earlier : path) played.play(earlier);
        played.play(event);
        CAPTURE(path.size(), static_cast<int>(event), played.key());
        REQUIRE_FALSE(played.is_rule_broken);
        if (!seen.insert(played.key()).second) continue;
        next.push_back(path);
        next.back().push_back(event);
      }
    }
    paths = std::move(next);
  }
  CHECK(seen.size() >= 8);
}

TEST_CASE("long data: amounts near the largest number are too large, not wrapped around") {
  LongDataState state(kMaxBytes);
  REQUIRE(state.on_data(1));
  CHECK_FALSE(state.on_data(SIZE_MAX));
  CHECK(state.on_execution() == LongDataError::kTooLarge);
}

}  // namespace rookproxy::policy
