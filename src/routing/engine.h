// The router's record of an engine.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

#include "rookproxy/routing/router.h"
#include "routing/event_window.h"
#include "routing/exponential_average.h"
#include "routing/request.h"
#include "routing/threads_by_priority.h"

namespace rookproxy::routing {

// The state of one table group on an engine.
struct GroupAffinity {
  std::uint64_t group = 0;
  // Component of the engine's affinity centroid that belongs to the group.
  double centroid = 0;
  // Attempts in flight that read the group.
  int active_readers = 0;
  // Attempts in flight that load the group's tables.
  int active_loads = 0;
  // A load, possibly another instance's, is assumed to lock the group until then.
  Time load_seen_until = 0;
};

// Returns an iterator to the group's record, or the end of the list.
template <class Groups>
[[nodiscard]] auto find_group(Groups& groups, std::uint64_t group) {
  return std::find_if(groups.begin(), groups.end(), [group](const auto& one) { return one.group == group; });
}

// One engine: its list entry, the attempts that this instance sent to it and the statistics of their
// responses. Owned by the router.
struct Engine {
  EngineEntry entry;
  // Whether any engine list has contained it.
  bool listed = false;
  // Version of the last list that contained it.
  std::uint64_t list_version = 0;
  std::uint64_t name_hash = 0;
  double cores = 1;
  // Memory in MB. 0: unknown.
  double memory_mb = 0;
  // Memory granted to this instance's attempts in flight, in MB.
  double granted_memory_mb = 0;
  std::vector<GroupAffinity> groups;
  double centroid_norm_squared = 0;
  // Number of sends since the centroid was empty.
  double centroid_sends = 0;
  // Requests that wait for this engine. Not owned.
  std::vector<Request*> queue;
  // Attempts that are in flight and not presumed lost.
  int active_attempts = 0;
  int attempts_in_flight = 0;
  // Threads of the active attempts.
  ThreadsByPriority threads;
  // Current concurrency limit as a fraction of the initial limit.
  double concurrency_factor = 1;
  // Queries on the engine according to its last load report.
  double reported_queries = 0;
  double sent_since_report = 0;
  Time reported_at = kNever;
  Time probed_at = kLongAgo;
  // Ratio of granted to installed memory by that report, where overcommitted memory makes all queries slower.
  double memory_overcommit = 1;
  // Start of the warm-up: the start of the process, or the last time it was unreachable. 0: long ago.
  Time warming_since = 0;
  WorkWindow warm_up_sends;
  // Number of consecutive connect failures.
  int connect_failures = 0;
  // Weighted fraction of recent outcomes that were errors.
  ExponentialAverage error_rate;
  // Latency relative to what the request's class usually takes.
  ExponentialAverage relative_latency{1};
  Time ejected_until = 0;
  Time latency_updated_at = 0;
  Time connection_lost_at = -1;
  Time last_success_at = -1;

  // Returns whether the engine list names it as accepting requests.
  [[nodiscard]] bool is_serving() const { return listed && entry.state == EngineState::kServing; }
  // Returns whether it is no longer listed and has no attempt of this instance in flight.
  [[nodiscard]] bool is_removed_and_idle() const {
    return entry.state == EngineState::kRemoved && attempts_in_flight == 0;
  }
  // Stores the values of a load report and resets the count of sends since.
  void record_report(double queries, double overcommit, Time now) {
    memory_overcommit = overcommit;
    reported_queries = queries;
    reported_at = now;
    sent_since_report = 0;
  }
  // Stores the engine's entry from list `version`. Returns whether the engine has restarted since it was last
  // listed, or is listed for the first time with a start time.
  [[nodiscard]] bool update(const EngineEntry& listed_entry,
                            const std::vector<MachineTypeSettings>& machine_types, std::uint64_t version);
  // Returns a copy of the group's record, or an empty one if there is none.
  [[nodiscard]] GroupAffinity affinity(std::uint64_t group) const {
    const auto found = find_group(groups, group);
    return found == groups.end() ? GroupAffinity{.group = group} : *found;
  }
  // Returns the group's record, which is created if missing. Valid until `groups` next changes.
  GroupAffinity& affinity_record(std::uint64_t group) {
    const auto found = find_group(groups, group);
    return found == groups.end() ? groups.emplace_back(GroupAffinity{.group = group}) : *found;
  }
  // Moves the affinity centroid toward the group. All components are first multiplied by `retained`.
  void move_centroid(std::uint64_t group, double retained);
  // Drops groups whose centroid component is below `least` and that have no attempt in flight and no load
  // seen.
  void drop_groups_below(double least, Time now);
  // Drops all groups and clears the centroid.
  void reset_affinity();
  // Records that an attempt was served at `now`.
  void record_success(Time now) {
    connect_failures = 0;
    last_success_at = now;
  }
  // Resets the failure state and sets the relative latency to `latency`.
  void reset_health(double latency) {
    connect_failures = 0;
    ejected_until = 0;
    relative_latency = ExponentialAverage(latency);
  }
  // Adds (`by` = 1) or removes (`by` = -1) an attempt with `attempt_threads` threads in the engine's counts.
  void count_attempt(const Attempt& attempt, int attempt_threads, int by) {
    active_attempts += by;
    granted_memory_mb = std::max(0.0, granted_memory_mb + by * attempt.granted_memory_mb);
    threads.add(attempt.priority, by * attempt_threads);
  }
};

}  // namespace rookproxy::routing
