#include "routing/simulation/cluster_settings.h"

#include <array>

#include "routing/test_time.h"

namespace rookproxy::routing::simulation {

Settings cluster_settings(std::uint32_t instance_count) {
  Settings settings;
  settings.instance_count = instance_count;
  settings.max_attempts = 6;
  settings.may_cancel = true;
  settings.max_retry_after = 2 * kSecond;
  settings.machine_types = {{"k", 8.0, 16384.0}};
  settings.drain_grace_period = 2 * kSecond;
  settings.progress_interval = kSecond / 2;
  settings.priorities_supported = true;
  return settings;
}

ClassSettings cluster_class(ClassIndex index) {
  constexpr std::array kNames{"lookup", "report", "load", "d", "e"};
  ClassSettings settings;
  settings.name = kNames.at(index);
  settings.latency_objective_per_work = 2.5;
  settings.timeout = index == kLookupClass ? 3 * kSecond : 12 * kSecond;
  settings.threads = index == kLookupClass ? 1 : 2;
  settings.late_weight = 0.3;
  if (index == kLoadClass) {
    settings.idempotency = Idempotency::kNonIdempotent;
    settings.is_load = true;
  }
  return settings;
}

}  // namespace rookproxy::routing::simulation
