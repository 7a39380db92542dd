#include "routing/simulation/simulated_dispatcher.h"

#include <utility>

namespace rookproxy::routing::simulation {

SimulatedDispatcher::SimulatedDispatcher(const Settings& settings, std::size_t class_count)
    : router_(std::make_unique<Router>(settings)), next_arrivals_(class_count, -1) {}

void SimulatedDispatcher::restart(const Settings& settings) {
  auto next_arrivals = std::move(next_arrivals_);
  *this = SimulatedDispatcher(settings, 0);
  next_arrivals_ = std::move(next_arrivals);
}

void SimulatedDispatcher::receive(Event event) { inbox_.push_back(std::move(event)); }

void SimulatedDispatcher::receive_list(Time now, const EngineList& list) {
  receive(list);
  const auto before = std::exchange(known_engines_, {});
  for (const auto& entry : list.entries) known_engines_[entry.id] = entry;
  for (const auto& [id, entry] : before) {
    if (!known_engines_.contains(id)) closed_at_.try_emplace(id, now);
  }
  for (const auto& [id, entry] : known_engines_) {
    if (entry.state == EngineState::kServing) {
      closed_at_.erase(id);
    } else {
      closed_at_.try_emplace(id, now);
    }
  }
}

void SimulatedDispatcher::set_timer(const SetTimer& timer) { timers_.push({timer.at, timer.token}); }

std::vector<Action> SimulatedDispatcher::handle_events(Time now) {
  for (; !timers_.empty() && timers_.top().at <= now; timers_.pop()) {
    receive(TimerFired{timers_.top().token});
  }
  std::vector<Action> actions;
  if (inbox_.empty()) return actions;
  const auto events = std::exchange(inbox_, {});
  router_->handle(now, events, actions);
  return actions;
}

bool SimulatedDispatcher::lists_start(EngineId engine, Time started_at) const {
  const auto known = known_engines_.find(engine);
  return known != known_engines_.end() && known->second.started_at == started_at;
}

std::optional<Time> SimulatedDispatcher::closed_since(EngineId engine) const {
  const auto closed = closed_at_.find(engine);
  if (closed == closed_at_.end()) return std::nullopt;
  return closed->second;
}

}  // namespace rookproxy::routing::simulation
