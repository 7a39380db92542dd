#include "routing/engine.h"

#include "routing/hash.h"

namespace rookproxy::routing {

bool Engine::update(const EngineEntry& listed_entry, const std::vector<MachineTypeSettings>& machine_types,
                    std::uint64_t version) {
  const bool has_restarted =
      listed_entry.started_at > 0 && (!listed || listed_entry.started_at != entry.started_at);
  if (!listed) name_hash = hash_text(listed_entry.name);
  if (listed_entry.machine_type < machine_types.size()) {
    cores = machine_types[listed_entry.machine_type].cores.value_or(1);
    memory_mb = machine_types[listed_entry.machine_type].memory_mb.value_or(0);
  }
  listed = true;
  list_version = version;
  entry = listed_entry;
  return has_restarted;
}

void Engine::move_centroid(std::uint64_t group, double retained) {
  GroupAffinity& moved = affinity_record(group);
  ++centroid_sends;
  centroid_norm_squared = centroid_norm_squared * retained * retained +
                          (1 - retained) * (2 * retained * moved.centroid + 1 - retained);
  for (auto& one : groups) one.centroid *= retained;
  moved.centroid += 1 - retained;
}

void Engine::drop_groups_below(double least, Time now) {
  std::erase_if(groups, [&](const GroupAffinity& one) {
    return one.centroid < least && one.active_readers == 0 && one.active_loads == 0 &&
           one.load_seen_until <= now;
  });
}

void Engine::reset_affinity() {
  groups.clear();
  centroid_norm_squared = 0;
  centroid_sends = 0;
}

}  // namespace rookproxy::routing
