#include "routing/simulation/engine_set.h"

#include <algorithm>
#include <string>

namespace rookproxy::routing::simulation {

EngineId EngineSet::add(Time started_at) {
  const auto id = static_cast<EngineId>(process_of_engine_.size());
  process_of_engine_.push_back(processes_.size());
  processes_.emplace_back().started_at = started_at;
  EngineEntry& added = list_.emplace_back();
  added.id = id;
  added.name = "engine-" + std::to_string(id);
  added.started_at = started_at;
  return id;
}

void EngineSet::add_running(EngineId count) {
  for (EngineId i = 0; i < count; ++i) add();
}

void EngineSet::start_process(EngineId id, Time now) {
  process_of_engine_[id] = processes_.size();
  processes_.emplace_back().started_at = now;
  EngineEntry& restarted = entry(id);
  restarted.started_at = now;
  restarted.state = EngineState::kServing;
  drained_at_.erase(id);
}

void EngineSet::drain(EngineId id, Time now) {
  entry(id).state = EngineState::kDraining;
  drained_at_.try_emplace(id, now);
}

void EngineSet::remove(EngineId id) {
  std::erase_if(list_, [id](const EngineEntry& entry) {
    return entry.id == id;
  });
}

void EngineSet::reuse_address(EngineId id, EngineId other) {
  process_of_engine_[id] = process_of_engine_[other];
}

std::optional<Time> EngineSet::drained_at(EngineId id) const {
  const auto drained = drained_at_.find(id);
  if (drained == drained_at_.end()) return std::nullopt;
  return drained->second;
}

EngineEntry& EngineSet::entry(EngineId id) {
  const auto has_id = [id](const EngineEntry& entry) {
    return entry.id == id;
  };
  return *std::find_if(list_.begin(), list_.end(), has_id);
}

}  // namespace rookproxy::routing::simulation
