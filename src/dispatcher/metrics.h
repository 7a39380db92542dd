// The metrics that operators read. Each is counted in one place, where its event happens; src/admin formats
// them. All of them are used by the event loop's thread alone.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "dispatcher/request.h"
#include "policy/attempt_guard.h"

namespace rookproxy {

// Responses by their outcome.
struct ClassMetrics {
  std::uint64_t served = 0;
  std::uint64_t rejected = 0;
  std::uint64_t failed = 0;
};

// Counters by the name of a class.
using MetricsByClass = std::map<std::string, ClassMetrics, std::less<>>;

// Authentication of callers, where it is enabled.
struct AuthMetrics {
  bool enabled = false;
  // Keys in the key set, also those outside their validity period.
  std::size_t key_count = 0;
  std::uint64_t signature_checks_cached = 0;
  std::uint64_t signature_checks_run = 0;
  std::uint64_t signature_checks_failed = 0;
  // Processor time of the checks that were run.
  std::chrono::microseconds signature_check_time{};
  // Denied requests by the denial's reason code.
  std::map<std::string, std::uint64_t> denied_by_code;
};

// Polls of service discovery, by what came of them.
struct DiscoveryMetrics {
  std::uint64_t polls = 0;
  // Usable responses by the version of their list beside the newest one known.
  std::uint64_t newer_lists = 0;
  std::uint64_t same_lists = 0;
  std::uint64_t older_lists = 0;
  // Damaged, truncated and error responses.
  std::uint64_t unusable_responses = 0;
};

// Counters since the process started. Those of a class that was removed stay, so that sums never decrease.
struct Metrics {
  MetricsByClass by_class;
  // By tenant and class. Only tenants that a file names, in [access] or the settings: clients add none.
  std::map<std::string, MetricsByClass, std::less<>> by_tenant;
  AuthMetrics auth;
  // Attempts written to engines to their last byte.
  std::uint64_t attempts_written = 0;
  // Attempts that were stopped before their first byte, by policy::BlockReason.
  std::array<std::uint64_t, policy::kBlockReasonCount> attempts_blocked{};
  // Attempts that started at engines that drain, within the grace period.
  std::uint64_t attempts_at_draining_engines = 0;
  DiscoveryMetrics discovery;
  // Configurations accepted and refused at SIGHUP.
  std::uint64_t config_reloads = 0;
  std::uint64_t config_reload_errors = 0;
};

// Values at the moment of reading.
struct Gauges {
  // Requests whose clients wait for a response.
  std::size_t requests_in_progress = 0;
  std::size_t engines_listed = 0;
  std::size_t engines_avoided = 0;
};

// Counts a response under its class and, unless `tenant` is empty, under its tenant.
void record_response(Metrics& metrics, const std::string& class_name, ResponseStatus status,
                     std::string_view tenant);

}  // namespace rookproxy
