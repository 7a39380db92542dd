// Tests which endpoint list is used while responses are lost, out of date, or from another sequence of
// versions.
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

// One letter for each engine: lower case is serving, upper case draining.
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

TEST_CASE("endpoint lists: drains and removals apply at once, new engines after confirmation") {
  struct Step {
    std::uint32_t version;
    std::string list;
    std::string usable;
  };
  struct Case {
    std::string name;
    // One poll every 200 ms. The initial list is "ab" with version 3.
    std::vector<Step> steps;
  };
  for (const auto& [name, steps] : {
           Case{"a drain applies at once", {{4, "Ab", "Ab"}}},
           Case{"a removal applies at once", {{4, "b", "b"}}},
           Case{"a new engine is confirmed by a second response", {{4, "abc", "ab"}, {4, "abc", "abc"}}},
           Case{"an engine serves again after five responses",
                {{4, "Ab", "Ab"},
                 {5, "ab", "Ab"},
                 {5, "ab", "Ab"},
                 {5, "ab", "Ab"},
                 {5, "ab", "Ab"},
                 {5, "ab", "ab"}}},
           Case{"a newer version confirms a new engine", {{4, "abc", "ab"}, {5, "aBc", "aBc"}}},
           Case{"a single older list changes nothing",
                {{4, "abc", "ab"}, {4, "abc", "abc"}, {3, "ab", "abc"}, {4, "abc", "abc"}}},
           Case{"a list of a previous run, then a drain with a lower version",
                {{9, "ab", "ab"}, {4, "Ab", "Ab"}, {4, "Ab", "Ab"}, {4, "Ab", "Ab"}, {5, "A", "A"}}},
           Case{"a list of a previous run, then a drain with the same version",
                {{9, "ab", "ab"}, {9, "Ab", "Ab"}, {9, "Ab", "Ab"}}},
           Case{"a list of a previous run has a removed engine",
                {{4, "b", "b"}, {4, "b", "b"}, {9, "ab", "b"}, {4, "b", "b"}, {4, "b", "b"}, {4, "b", "b"}}},
           Case{"a list of a previous run lacks a new engine, which returns when that list is discarded",
                {{4, "abc", "ab"},
                 {4, "abc", "abc"},
                 {9, "ab", "ab"},
                 {4, "abc", "ab"},
                 {4, "abc", "ab"},
                 {4, "abc", "ab"},
                 {4, "abc", "ab"}}},
           Case{"a server that has not loaded a list",
                {{3, "", "ab"}, {3, "", "ab"}, {2, "", "ab"}, {2, "", "ab"}}},
           Case{"lagging servers do not make a draining engine serve again",
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

TEST_CASE("endpoint lists: a restarted engine is another process and must be confirmed") {
  EndpointListTracker lists({3, {endpoint("a", EngineState::kServing, Time(1s))}}, Time(5s));
  const auto restarted = endpoint("a", EngineState::kServing, Time(7s));
  (void)lists.take({4, {restarted}, Time(8s), Time(8s)});
  CHECK(lists.usable_endpoints().at(0).state == EngineState::kDraining);
  (void)lists.take({4, {restarted}, Time(9s), Time(9s)});
  CHECK(lists.usable_endpoints().at(0).state == EngineState::kServing);
}

TEST_CASE("endpoint lists: two contradicting responses to one poll count once") {
  EndpointListTracker lists({3, parse_list("ab")}, Time(0s));
  CHECK(lists.take({2, parse_list("a"), Time(1s), Time(1s)}) == Ordering::kFirstContradicting);
  CHECK(lists.take({2, parse_list("a"), Time(1s), Time(1100ms)}) == Ordering::kStale);
  CHECK(format_list(lists.usable_endpoints()) == "ab");
  CHECK(lists.take({2, parse_list("a"), Time(2s), Time(2s)}) == Ordering::kContradicting);
  CHECK(format_list(lists.usable_endpoints()) == "aB");
}

// Service discovery for a restarted dispatcher: engines are added and removed, versions start at 1, and some
// responses are lost or are older ones, including those of the previous run with its own versions.
class SimulatedDiscovery {
 public:
  explicit SimulatedDiscovery(unsigned seed) : random_(seed) {
    for (int i = 0; i < 6; ++i) add_engine();
    for (int i = 0; i < 8; ++i) change();  // The changes of the previous run.
    previous_run_ = std::move(history_);
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

  // One in ten responses is an older one, of this run or the previous one, and one in ten is lost.
  std::optional<ReceivedEndpointList> respond(Time polled_at) {
    const unsigned draw = random_() % 20;
    if (draw < 2) return std::nullopt;
    ReceivedEndpointList response = current();
    if (draw == 2) response = previous_run_[random_() % previous_run_.size()];
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
  std::vector<ReceivedEndpointList> previous_run_;
  std::uint32_t version_ = 1;
  int last_engine_ = 0;
};

// Results of all simulations: the longest time for which a closed engine was still used, and the sums of
// serving and usable engines over all polls.
struct Totals {
  Duration longest_use_after_drain{};
  std::size_t serving = 0;
  std::size_t used = 0;
};

void simulate(unsigned seed, Totals& totals) {
  constexpr Duration kPollInterval = 200ms;
  SimulatedDiscovery discovery(seed);
  Time now(0s);
  EndpointListTracker lists({1, discovery.endpoints()}, now);
  // When the drain or removal of each engine was announced.
  std::map<std::string, Time> closed_at;
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
      totals.longest_use_after_drain = std::max(totals.longest_use_after_drain, now - closed->second);
    }
    const auto count_serving = [](const std::vector<EngineEndpoint>& endpoints) {
      return static_cast<std::size_t>(
          std::count_if(endpoints.begin(), endpoints.end(),
                        [](const EngineEndpoint& one) { return one.state == EngineState::kServing; }));
    };
    totals.serving += count_serving(discovery.endpoints());
    totals.used += count_serving(lists.usable_endpoints());
  }
}

TEST_CASE("endpoint lists: with lost and outdated responses every drain applies within 2 s") {
  Totals totals;
  for (unsigned seed = 1; seed <= 400; ++seed) simulate(seed, totals);
  WARN("longest use after a drain: " << totals.longest_use_after_drain.count() / 1000 << " ms; used "
                                     << totals.used << " of " << totals.serving);
  CHECK(totals.longest_use_after_drain < 2s);
  CHECK(totals.used > totals.serving * 8 / 10);
}

}  // namespace
}  // namespace rookproxy
