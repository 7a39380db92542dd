// Which endpoint list is gone by while responses are lost, repeated, and made for another count of versions.
#include "discovery/endpoint_list_tracker.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace rookproxy {
namespace {

using namespace std::chrono_literals;
using routing::EngineState;
using Ordering = EndpointListTracker::Ordering;

EngineEndpoint endpoint(const std::string& id, EngineState state, std::optional<Time> started_at = {}) {
  EngineEndpoint endpoint;
  endpoint.id = id;
  endpoint.state = state;
  endpoint.started_at = started_at;
  return endpoint;
}

// One letter an engine: lower case serves, upper case drains.
std::vector<EngineEndpoint> parse_list(const std::string& letters) {
  std::vector<EngineEndpoint> endpoints;
  for (const char letter : letters) {
    const bool drains = letter >= 'A' && letter <= 'Z';
    const std::string id(1, static_cast<char>(letter | 0x20));
    endpoints.push_back(endpoint(id, drains ? EngineState::kDraining : EngineState::kServing));
  }
  return endpoints;
}

std::string format_list(const std::vector<EngineEndpoint>& endpoints) {
  std::string letters;
  for (const EngineEndpoint& endpoint : endpoints) {
    const bool serves = endpoint.state == EngineState::kServing;
    letters += static_cast<char>(serves ? endpoint.id[0] : endpoint.id[0] & ~0x20);
  }
  return letters;
}

TEST_CASE("endpoint lists: what forbids takes effect at once, what allows once it is confirmed") {
  struct Step {
    std::uint32_t version;
    std::string list;
    std::string usable;
  };
  struct Case {
    std::string name;
    std::vector<Step> steps;  // a poll each 200 ms; the process was started with version 3, "ab"
  };
  for (const auto& [name, steps] : {
           Case{"a drain at once", {{4, "Ab", "Ab"}}},
           Case{"a removal at once", {{4, "b", "b"}}},
           Case{"a new engine", {{4, "abc", "ab"}, {4, "abc", "abc"}}},
           Case{"an engine that serves again",
                {{4, "Ab", "Ab"},
                 {5, "ab", "Ab"},
                 {5, "ab", "Ab"},
                 {5, "ab", "Ab"},
                 {5, "ab", "Ab"},
                 {5, "ab", "ab"}}},
           Case{"a newer version confirms as well", {{4, "abc", "ab"}, {5, "aBc", "aBc"}}},
           Case{"one old list", {{4, "abc", "ab"}, {4, "abc", "abc"}, {3, "ab", "abc"}, {4, "abc", "abc"}}},
           Case{"a former run's list, then a drain below its version",
                {{9, "ab", "ab"}, {4, "Ab", "Ab"}, {4, "Ab", "Ab"}, {4, "Ab", "Ab"}, {5, "A", "A"}}},
           Case{"the same under its version", {{9, "ab", "ab"}, {9, "Ab", "Ab"}, {9, "Ab", "Ab"}}},
           Case{"it lists an engine that has gone",
                {{4, "b", "b"}, {4, "b", "b"}, {9, "ab", "b"}, {4, "b", "b"}, {4, "b", "b"}, {4, "b", "b"}}},
           Case{"it lacks an engine that is new: back once it is outweighed",
                {{4, "abc", "ab"},
                 {4, "abc", "abc"},
                 {9, "ab", "ab"},
                 {4, "abc", "ab"},
                 {4, "abc", "ab"},
                 {4, "abc", "ab"},
                 {4, "abc", "ab"}}},
           Case{"a server that has loaded nothing",
                {{3, "", "ab"}, {3, "", "ab"}, {2, "", "ab"}, {2, "", "ab"}}},
           Case{"servers that lag for long do not bring back what drains",
                {{4, "Ab", "Ab"}, {3, "ab", "Ab"}, {3, "ab", "Ab"}, {3, "ab", "Ab"}, {3, "ab", "Ab"}}},
       }) {
    INFO(name);
    EndpointListTracker lists({3, parse_list("ab")}, Time(0s));
    Time now(0s);
    for (const auto& [version, list, usable] : steps) {
      now += 200ms;
      (void)lists.take({version, parse_list(list), now, now});
      INFO(version << " " << list);
      CHECK(format_list(lists.usable_endpoints()) == usable);
    }
  }
}

TEST_CASE("endpoint lists: a new start of an engine is another process, and has to be confirmed") {
  EndpointListTracker lists({3, {endpoint("a", EngineState::kServing, Time(1s))}}, Time(5s));
  const auto restarted = endpoint("a", EngineState::kServing, Time(7s));
  (void)lists.take({4, {restarted}, Time(8s), Time(8s)});
  CHECK(lists.usable_endpoints().at(0).state == EngineState::kDraining);
  (void)lists.take({4, {restarted}, Time(9s), Time(9s)});
  CHECK(lists.usable_endpoints().at(0).state == EngineState::kServing);
}

TEST_CASE("endpoint lists: two responses to one poll are one opinion") {
  EndpointListTracker lists({3, parse_list("ab")}, Time(0s));
  CHECK(lists.take({2, parse_list("a"), Time(1s), Time(1s)}) == Ordering::kFirstContradicting);
  CHECK(lists.take({2, parse_list("a"), Time(1s), Time(1100ms)}) == Ordering::kStale);
  CHECK(format_list(lists.usable_endpoints()) == "ab");
  CHECK(lists.take({2, parse_list("a"), Time(2s), Time(2s)}) == Ordering::kContradicting);
  CHECK(format_list(lists.usable_endpoints()) == "aB");
}

// Service discovery as a restarted dispatcher meets it: engines come and go, versions count from 1, and some
// responses are lost or were made earlier, also for the former run with its own count.
class DiscoveryHistory {
 public:
  explicit DiscoveryHistory(unsigned seed) : random_(seed) {
    for (int i = 0; i < 6; ++i) add_engine();
    for (int i = 0; i < 8; ++i) change();  // of the former run
    former_run_ = std::move(history_);
    history_ = {current()};
    version_ = 1;
  }
  [[nodiscard]] const std::vector<EngineEndpoint>& endpoints() const { return endpoints_; }

  void change() {
    const std::size_t at = random_() % endpoints_.size();
    if (endpoints_[at].state == EngineState::kDraining) {
      endpoints_.erase(endpoints_.begin() + static_cast<std::ptrdiff_t>(at));
      add_engine();
    } else {
      endpoints_[at].state = EngineState::kDraining;
    }
    ++version_;
    history_.push_back(current());
  }

  // One in ten is an old one, of this run or the former; one in ten is lost.
  std::optional<ReceivedEndpointList> respond(Time polled_at) {
    const unsigned draw = random_() % 20;
    if (draw < 2) return std::nullopt;
    ReceivedEndpointList response = current();
    if (draw == 2) response = former_run_[random_() % former_run_.size()];
    if (draw == 3) response = history_[random_() % history_.size()];
    response.polled_at = polled_at;
    response.received_at = polled_at;
    return response;
  }
  [[nodiscard]] bool chance(unsigned one_in) { return random_() % one_in == 0; }

 private:
  [[nodiscard]] ReceivedEndpointList current() const { return {version_, endpoints_, {}, {}}; }
  void add_engine() {
    endpoints_.push_back(endpoint("engine-" + std::to_string(++last_engine_), EngineState::kServing));
  }

  std::mt19937 random_;
  std::vector<EngineEndpoint> endpoints_;
  std::vector<ReceivedEndpointList> history_;
  std::vector<ReceivedEndpointList> former_run_;
  std::uint32_t version_ = 1;
  int last_engine_ = 0;
};

// Sums over many runs of how long engines that must get no work are still used, and how many may be.
struct Outcomes {
  Duration longest_use_after_drain{};
  std::size_t serving = 0;
  std::size_t used = 0;
};

void play_history(unsigned seed, Outcomes& outcomes) {
  constexpr Duration kPollInterval = 200ms;
  DiscoveryHistory discovery(seed);
  Time now(0s);
  EndpointListTracker lists({1, discovery.endpoints()}, now);
  std::map<std::string, Time> closed_at;  // when each engine's drain or removal was announced
  for (int poll = 0; poll < 500; ++poll) {
    now += kPollInterval;
    const auto before = discovery.endpoints();
    if (discovery.chance(12)) discovery.change();
    for (const EngineEndpoint& engine : before) {
      const auto& present = discovery.endpoints();
      const bool serves = std::any_of(present.begin(), present.end(), [&](const EngineEndpoint& other) {
        return other.id == engine.id && other.state == EngineState::kServing;
      });
      if (!serves) closed_at.try_emplace(engine.id, now);
    }
    if (auto response = discovery.respond(now)) (void)lists.take(std::move(*response));
    for (const EngineEndpoint& engine : lists.usable_endpoints()) {
      const auto closed = closed_at.find(engine.id);
      if (engine.state != EngineState::kServing || closed == closed_at.end()) continue;
      outcomes.longest_use_after_drain = std::max(outcomes.longest_use_after_drain, now - closed->second);
    }
    const auto count_serving = [](const std::vector<EngineEndpoint>& endpoints) {
      return static_cast<std::size_t>(
          std::count_if(endpoints.begin(), endpoints.end(),
                        [](const EngineEndpoint& one) { return one.state == EngineState::kServing; }));
    };
    outcomes.serving += count_serving(discovery.endpoints());
    outcomes.used += count_serving(lists.usable_endpoints());
  }
}

TEST_CASE("endpoint lists: after restarts among old responses no drain is missed for its grace period") {
  Outcomes outcomes;
  for (unsigned seed = 1; seed <= 400; ++seed) play_history(seed, outcomes);
  WARN("longest use after a drain: " << outcomes.longest_use_after_drain.count() / 1000 << " ms; used "
                                     << outcomes.used << " of " << outcomes.serving);
  CHECK(outcomes.longest_use_after_drain < 2s);
  CHECK(outcomes.used > outcomes.serving * 8 / 10);
}

}  // namespace
}  // namespace rookproxy
