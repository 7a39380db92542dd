// The metrics for operators. Each is updated in the one place where its event happens; src/admin formats
// them. Only the event loop's thread may use them.
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

// The number of responses by status.
struct ClassMetrics {
  std::uint64_t served = 0;
  std::uint64_t rejected = 0;
  std::uint64_t failed = 0;
};

// Counters by class name.
using MetricsByClass = std::map<std::string, ClassMetrics, std::less<>>;

// Metrics of the authentication of clients.
struct AuthMetrics {
  bool enabled = false;
  // The number of keys in the key set, including those outside their validity period.
  std::size_t key_count = 0;
  std::uint64_t signature_checks_cached = 0;
  std::uint64_t signature_checks_run = 0;
  std::uint64_t signature_checks_failed = 0;
  // The CPU time of the signature checks that were run.
  std::chrono::microseconds signature_check_time{};
  // The number of denied requests by the reason code of the denial.
  std::map<std::string, std::uint64_t> denied_by_code;
};

// Metrics of service discovery: polls, and responses by their result.
struct DiscoveryMetrics {
  std::uint64_t polls = 0;
  // Usable responses, by the version of their list compared to the newest known list.
  std::uint64_t newer_lists = 0;
  std::uint64_t same_lists = 0;
  std::uint64_t older_lists = 0;
  // Damaged, truncated and error responses.
  std::uint64_t unusable_responses = 0;
};

// Counters since the process started. The counters of removed classes are kept, so that sums never decrease.
struct Metrics {
  MetricsByClass by_class;
  // Counters by tenant and class, only for tenants that are configured in [access] or the settings, so that
  // clients cannot add entries.
  std::map<std::string, MetricsByClass, std::less<>> by_tenant;
  AuthMetrics auth;
  // Attempts that were completely written to engines.
  std::uint64_t attempts_written = 0;
  // Attempts that were stopped before their first byte was sent, by policy::BlockReason.
  std::array<std::uint64_t, policy::kBlockReasonCount> attempts_blocked{};
  // Attempts that started on draining engines, within the grace period.
  std::uint64_t attempts_at_draining_engines = 0;
  DiscoveryMetrics discovery;
  // Configurations accepted and rejected at SIGHUP.
  std::uint64_t config_reloads = 0;
  std::uint64_t config_reload_errors = 0;
};

// Current values.
struct Gauges {
  // Requests whose clients are waiting for a response.
  std::size_t requests_in_progress = 0;
  std::size_t engines_listed = 0;
  std::size_t engines_avoided = 0;
  // Counted since the process started: turns of connections that took all of their time.
  std::uint64_t full_input_turns = 0;
};

// Counts a response under its class and, unless `tenant` is empty, under its tenant.
void record_response(Metrics& metrics, const std::string& class_name, ResponseStatus status,
                     std::string_view tenant);

}  // namespace rookproxy
