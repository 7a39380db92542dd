#include "dispatcher/engine_registry.h"

#include <algorithm>
#include <cstdint>
#include <string_view>
#include <utility>

#include "dispatcher/routing_time.h"
#include "log/log_fields.h"
#include "policy/drain.h"

namespace rookproxy {
namespace {

// The index of zones and machine types that are not in the settings.
constexpr std::uint32_t kUnknownIndex = UINT32_MAX - 1;

std::uint32_t zone_index(const std::vector<std::string>& zones, const std::string& name) {
  const auto found = std::find(zones.begin(), zones.end(), name);
  return found == zones.end() ? kUnknownIndex : static_cast<std::uint32_t>(found - zones.begin());
}

// If several machine types have the same name, the last one is used.
std::uint32_t machine_type_index(const std::vector<routing::MachineTypeSettings>& types,
                                 const std::string& name) {
  std::uint32_t index = kUnknownIndex;
  for (std::uint32_t i = 0; i < types.size(); ++i) {
    if (types[i].name == name) index = i;
  }
  return index;
}

std::string_view to_text(routing::EngineState state) {
  switch (state) {
    case routing::EngineState::kServing:
      return "serving";
    case routing::EngineState::kDraining:
      return "draining";
    case routing::EngineState::kRemoved:
      return "removed";
  }
  return "";
}

}  // namespace

routing::EngineList EngineRegistry::update(const std::vector<EngineEndpoint>& endpoints, bool is_cached,
                                           Time announced_at) {
  routing::EngineList list;
  list.kind = is_cached ? routing::EngineListKind::kCached : routing::EngineListKind::kSnapshot;
  std::vector<bool> is_listed(engines_.size(), false);
  for (const auto& endpoint : endpoints) {
    const EngineId id = update_endpoint(endpoint, announced_at);
    is_listed.resize(engines_.size(), false);
    is_listed[id] = true;
    list.entries.push_back(entry(id));
  }
  remove_unlisted(is_listed, announced_at);
  stop_draining_engines();
  return list;
}

routing::EngineList EngineRegistry::update_for_settings() {
  routing::EngineList list;
  for (EngineId id = 0; id < engines_.size(); ++id) {
    const Engine& engine = engines_[id];
    if (!engine.is_removed()) list.entries.push_back(entry(id));
    if (engine.is_draining() && loop_.now() < latest_drain_start(engine)) schedule_drain_end(id);
  }
  return list;
}

EngineId EngineRegistry::update_endpoint(const EngineEndpoint& endpoint, Time announced_at) {
  const auto [position, is_new] = ids_.try_emplace(endpoint.id, static_cast<EngineId>(engines_.size()));
  const EngineId id = position->second;
  if (is_new) engines_.emplace_back();
  Engine& engine = engines_[id];
  // The grace period starts with the first announcement, not with later ones.
  const bool was_serving = is_new || engine.is_serving();
  if (endpoint.state != routing::EngineState::kServing && was_serving) start_drain(id, announced_at);
  // A new start time at the same address is another process; connections to the previous one must not be
  // used.
  const bool needs_new_address = is_new || engine.endpoint.address != endpoint.address ||
                                 engine.endpoint.started_at != endpoint.started_at || engine.is_removed();
  const routing::EngineState previous_state = std::exchange(engine.endpoint, endpoint).state;
  if (engine.is_serving()) engine.stopped = false;
  if (!is_new && previous_state != endpoint.state) log_state_change(engine, previous_state, announced_at);
  if (engine.is_removed()) {
    transport_->stop_new_attempts(id);
  } else if (needs_new_address) {
    transport_->set_engine_address(id, endpoint.address);
  }
  return id;
}

void EngineRegistry::remove_unlisted(const std::vector<bool>& is_listed, Time announced_at) {
  for (EngineId id = 0; id < engines_.size(); ++id) {
    Engine& engine = engines_[id];
    if (is_listed[id] || engine.is_removed()) continue;
    if (engine.is_serving()) start_drain(id, announced_at);
    const routing::EngineState previous_state =
        std::exchange(engine.endpoint.state, routing::EngineState::kRemoved);
    log_state_change(engine, previous_state, announced_at);
    transport_->stop_new_attempts(id);
  }
}

void EngineRegistry::log_state_change(const Engine& engine, routing::EngineState previous,
                                      Time announced_at) {
  if (!state_log_limiter_.allow(loop_.now())) return;
  const std::uint64_t suppressed = state_log_limiter_.take_suppressed();
  log_.write(LogLevel::kInfo, "dispatcher", "engine state changed",
             {{"engine", engine.endpoint.id},
              {"address", engine.endpoint.address.to_string()},
              {"from", std::string(to_text(previous))},
              {"to", std::string(to_text(engine.endpoint.state))},
              {"announced_ms", milliseconds_field(loop_.now() - announced_at)},
              {"left_out", std::to_string(suppressed)}});
}

void EngineRegistry::start_drain(EngineId id, Time announced_at) {
  engines_[id].closing_since = announced_at;
  schedule_drain_end(id);
}

// Stops attempts that still wait for a connection when the grace period ends.
void EngineRegistry::schedule_drain_end(EngineId id) {
  const Time since = engines_[id].closing_since;
  loop_.run_at(latest_drain_start(engines_[id]), [this, id, since] {
    const Engine& engine = engines_[id];
    if (!engine.is_serving() && engine.closing_since == since) stop_draining_engine(id);
  });
}

// If an engine is serving, attempts that wait for a connection to a draining engine are stopped at once, so
// that they can be sent elsewhere. The grace period may in fact be over earlier than known here, since a
// response that announced the drain may have been lost or a lagging server may have repeated an older list.
void EngineRegistry::stop_draining_engines() {
  if (!has_serving_engine()) return;
  for (EngineId id = 0; id < engines_.size(); ++id) {
    if (engines_[id].is_draining()) stop_draining_engine(id);
  }
}

void EngineRegistry::stop_draining_engine(EngineId id) {
  if (std::exchange(engines_[id].stopped, true)) return;
  transport_->stop_new_attempts(id);
}

bool EngineRegistry::has_serving_engine() const {
  return std::any_of(engines_.begin(), engines_.end(),
                     [](const Engine& engine) { return engine.is_serving(); });
}

Time EngineRegistry::latest_drain_start(const Engine& engine) const {
  const Duration grace_period = from_routing_duration(settings_.active().drain_grace_period);
  return policy::latest_drain_start(engine.closing_since, grace_period, limits_.drain_margin);
}

Time EngineRegistry::accepts_attempts_until(EngineId id) const {
  const Engine& engine = engines_[id];
  if (engine.is_serving()) return Time::max();
  // The address of a removed engine may belong to another engine.
  if (engine.is_removed()) return Time::min();
  return engine.stopped ? engine.closing_since : latest_drain_start(engine);
}

std::size_t EngineRegistry::listed_count() const {
  return static_cast<std::size_t>(std::count_if(engines_.begin(), engines_.end(),
                                                [](const Engine& engine) { return !engine.is_removed(); }));
}

void EngineRegistry::start_probe(EngineId id) {
  if (!contains(id) || engines_[id].probe_sent_at) return;
  engines_[id].probe_sent_at = loop_.now();
  transport_->probe(id);
}

std::optional<Duration> EngineRegistry::end_probe(EngineId id) {
  if (!contains(id) || !engines_[id].probe_sent_at) return std::nullopt;
  const Time sent_at = *std::exchange(engines_[id].probe_sent_at, std::nullopt);
  return loop_.now() - sent_at;
}

routing::EngineEntry EngineRegistry::entry(EngineId id) const {
  const EngineEndpoint& endpoint = engines_[id].endpoint;
  routing::EngineEntry entry;
  entry.id = id;
  entry.name = endpoint.id;
  entry.started_at = endpoint.started_at ? to_routing_time(*endpoint.started_at) : 0;
  entry.state = endpoint.state;
  entry.zone = zone_index(zones_, endpoint.zone);
  entry.cell = endpoint.cell;
  entry.weight = endpoint.weight;
  entry.machine_type = machine_type_index(settings_.active().machine_types, endpoint.machine_type);
  return entry;
}

}  // namespace rookproxy
