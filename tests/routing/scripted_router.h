#pragma once

#include <cstddef>
#include <utility>
#include <variant>
#include <vector>

#include "rookproxy/routing/router.h"
#include "routing/test_events.h"

namespace rookproxy::routing {

// A router that is driven by scripted events, and a record of its actions.
class ScriptedRouter {
 public:
  explicit ScriptedRouter(Settings settings) : router_(std::move(settings)) {}

  void handle(Time now, const std::vector<Event>& events) {
    actions_.clear();
    router_.handle(now, events, actions_);
    const auto sends = this->sends();
    all_sends_.insert(all_sends_.end(), sends.begin(), sends.end());
  }

  // Fires the periodic timer from `from` to `until`; actions() has the actions of all of it.
  void advance(Time from, Time until) {
    std::vector<Action> seen;
    for (Time now = from; now <= until; now += kTickPeriod) {
      handle(now, {TimerFired{kTickToken}});
      seen.insert(seen.end(), actions_.begin(), actions_.end());
    }
    actions_ = seen;
  }

  void update_engines(Time now, std::vector<EngineEntry> entries,
                      EngineListKind kind = EngineListKind::kSnapshot) {
    handle(now, {EngineList{kind, std::move(entries)}});
  }

  // Serves what the latest events made it send.
  void serve_sends(Time now) {
    for (const Send& send : sends()) handle(now, {ended(send, Outcome::kServed)});
  }

  void update_settings(Settings settings) { router_.update_settings(std::move(settings)); }
  [[nodiscard]] std::size_t avoided_engines(Time now) const { return router_.avoided_engines(now); }

  // The actions of this type that the latest events led to.
  template <class ActionType>
  [[nodiscard]] std::vector<ActionType> actions_of() const {
    std::vector<ActionType> found;
    for (const Action& action : actions_) {
      if (const auto* one = std::get_if<ActionType>(&action)) found.push_back(*one);
    }
    return found;
  }
  [[nodiscard]] std::vector<Send> sends() const { return actions_of<Send>(); }
  [[nodiscard]] std::size_t final_responses() const {
    return actions_of<Reject>().size() + actions_of<Fail>().size();
  }

  // All sends from the start on.
  [[nodiscard]] const std::vector<Send>& all_sends() const { return all_sends_; }

 private:
  Router router_;
  std::vector<Action> actions_;
  std::vector<Send> all_sends_;
};

}  // namespace rookproxy::routing
