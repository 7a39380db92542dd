#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "rookproxy/routing/router.h"
#include "routing/simulation/engine_process.h"

namespace rookproxy::routing::simulation {

// The engines of a simulated cluster: their processes, and the engine list as it stands.
class EngineSet {
 public:
  EngineId add(Time started_at = 0);
  // Adds engines that have run for long.
  void add_running(EngineId count);
  // A new process starts at the engine's address.
  void start_process(EngineId id, Time now);
  void drain(EngineId id, Time now);
  // Takes the engine off the list.
  void remove(EngineId id);
  // The address of `id` leads to the present process of `other` from now on.
  void reuse_address(EngineId id, EngineId other);

  [[nodiscard]] std::size_t size() const { return process_of_engine_.size(); }
  [[nodiscard]] const std::vector<EngineEntry>& list() const { return list_; }
  // When the engine began to drain, whether a published list has said so or not. Absent: it has not.
  [[nodiscard]] std::optional<Time> drained_at(EngineId id) const;
  // The process that the engine's address leads to, and its index in processes().
  [[nodiscard]] EngineProcess& process(EngineId id) { return processes_[process_of_engine_[id]]; }
  [[nodiscard]] std::size_t process_index(EngineId id) const { return process_of_engine_[id]; }
  // All processes there have been, in the order of their starts.
  [[nodiscard]] std::vector<EngineProcess>& processes() { return processes_; }
  [[nodiscard]] const std::vector<EngineProcess>& processes() const { return processes_; }

 private:
  EngineEntry& entry(EngineId id);

  std::vector<EngineProcess> processes_;
  std::vector<std::size_t> process_of_engine_;
  std::vector<EngineEntry> list_;
  std::map<EngineId, Time> drained_at_;
};

}  // namespace rookproxy::routing::simulation
