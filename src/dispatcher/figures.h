// The figures that operators read. Each is counted in one place, where its event happens; src/ops reads them.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace rookproxy {

struct ClassMetrics {
  std::uint64_t served = 0, rejected = 0, failed = 0;
};

// Of callers, where they are identified.
struct AuthMetrics {
  bool enabled = false;
  std::size_t key_count = 0;  // in the set, whether in force or not
  std::uint64_t signature_checks_cached = 0, signature_checks_run = 0, signature_checks_failed = 0;
  std::chrono::microseconds signature_check_time{};     // that the checked signatures took
  std::map<std::string, std::uint64_t> denied_by_code;  // by the denial's word
};

// Counters since the process began. Those of a class that was dropped stay, so that sums never fall.
struct Metrics {
  std::map<std::string, ClassMetrics, std::less<>> by_class;
  // By tenant and class. Tenants are those that a file names, in [access] or the settings: clients add none.
  std::map<std::string, std::map<std::string, ClassMetrics, std::less<>>, std::less<>> by_tenant;
  AuthMetrics auth;
  std::uint64_t attempts_written = 0;  // to the last byte, to query engines
  std::uint64_t config_reloads = 0,
                config_reload_errors = 0;  // configurations taken and turned down at SIGHUP
};

// What holds at this moment.
struct Gauges {
  std::size_t requests_in_progress = 0;  // requests taken whose clients still wait
  std::size_t engines_listed = 0, engines_avoided = 0;
};

}  // namespace rookproxy
