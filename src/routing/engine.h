// An engine as the router keeps it.
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

// What an engine has to do with one group of tables.
struct GroupAffinity {
  std::uint64_t group = 0;
  double centroid = 0;       // the group's part of the engine's affinity centroid
  int active_readers = 0;    // our attempts in flight that read the group
  int active_loads = 0;      // our attempts in flight that load the group's tables
  Time load_seen_until = 0;  // a load, perhaps another instance's, is taken to hold the group until then
};

// The record of the group in a list of them, or the list's end.
template <class Groups>
[[nodiscard]] auto find_group(Groups& groups, std::uint64_t group) {
  return std::find_if(groups.begin(), groups.end(), [group](const auto& one) { return one.group == group; });
}

// One engine of the list: its entry there, what we have sent it and what its responses told. Owned by the
// router.
struct Engine {
  EngineEntry entry;
  bool listed = false;             // some list has named it
  std::uint64_t list_version = 0;  // the last list that named it
  std::uint64_t name_hash = 0;
  double cores = 1;
  double memory_mb = 0;          // 0: unknown
  double granted_memory_mb = 0;  // to our attempts in flight
  std::vector<GroupAffinity> groups;
  double centroid_norm_squared = 0;
  double centroid_sends = 0;    // since the centroid was empty
  std::vector<Request*> queue;  // requests that wait for this engine
  int active_attempts = 0;      // in flight and not presumed lost
  int attempts_in_flight = 0;
  ThreadsByPriority threads;      // of active attempts
  double concurrency_factor = 1;  // the limit's present share of its start
  double reported_queries = 0;    // on the engine at its last load report
  double sent_since_report = 0;
  Time reported_at = kNever;
  Time probed_at = kLongAgo;
  double memory_overcommit = 1;  // granted memory over existing memory by that report, where it slows all
  Time warming_since = 0;        // its start, or the last time it was unreachable; 0: long ago
  WorkWindow warm_up_sends;
  int connect_failures = 0;                // in a row
  ExponentialAverage error_rate;           // share of late outcomes that were errors
  ExponentialAverage relative_latency{1};  // latency over what the request's class usually takes
  Time ejected_until = 0;
  Time latency_updated_at = 0;
  Time connection_lost_at = -1;
  Time last_success_at = -1;

  // Whether the list has it as one that takes requests.
  [[nodiscard]] bool is_serving() const { return listed && entry.state == EngineState::kServing; }
  // Whether the list has it no more, and no attempt of ours is in flight there.
  [[nodiscard]] bool is_removed_and_idle() const {
    return entry.state == EngineState::kRemoved && attempts_in_flight == 0;
  }
  // Stores what a load report says.
  void record_report(double queries, double overcommit, Time now) {
    memory_overcommit = overcommit;
    reported_queries = queries;
    reported_at = now;
    sent_since_report = 0;
  }
  // Takes over the engine's entry of the list `version`. Returns whether the engine has started anew since it
  // was last listed, or is seen for the first time after a start.
  [[nodiscard]] bool update(const EngineEntry& listed_entry,
                            const std::vector<MachineTypeSettings>& machine_types, std::uint64_t version);
  // A copy of what is known of the group here; an empty record if nothing is.
  [[nodiscard]] GroupAffinity affinity(std::uint64_t group) const {
    const auto found = find_group(groups, group);
    return found == groups.end() ? GroupAffinity{.group = group} : *found;
  }
  // The record of the group, created where it is missing. Valid until the next change of `groups`.
  GroupAffinity& affinity_record(std::uint64_t group) {
    const auto found = find_group(groups, group);
    return found == groups.end() ? groups.emplace_back(GroupAffinity{.group = group}) : *found;
  }
  // Moves the affinity centroid toward the group: an average over vectors in which all groups keep the share
  // `kept`.
  void move_centroid(std::uint64_t group, double retained);
  // Drops groups with a centroid below `least` that no attempt in flight has to do with.
  void forget_groups_below(double least, Time now);
  // Drops all groups, and empties the centroid.
  void forget_affinity();
  // Notes that an attempt was served at the time `now`.
  void record_success(Time now) {
    connect_failures = 0;
    last_success_at = now;
  }
  // Drops what is known of failures, and takes the engine to be as fast as `latency` says.
  void forget_health(double latency) {
    connect_failures = 0;
    ejected_until = 0;
    relative_latency = ExponentialAverage(latency);
  }
  // Adds (`by` 1) or removes (-1) an attempt of `attempt_threads` threads in the engine's own counts.
  void count_attempt(const Attempt& attempt, int attempt_threads, int by) {
    active_attempts += by;
    granted_memory_mb = std::max(0.0, granted_memory_mb + by * attempt.granted_memory_mb);
    threads.add(attempt.priority, by * attempt_threads);
  }
};

}  // namespace rookproxy::routing
