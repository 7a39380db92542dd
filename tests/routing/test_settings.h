// Settings that the tests of the router start from.
#pragma once

#include <cstdint>

#include "rookproxy/routing/router.h"
#include "routing/test_time.h"

namespace rookproxy::routing {

// One class, two machine types, two zones, and no other dispatcher instance.
inline Settings basic_settings() {
  Settings settings;
  settings.max_attempts = 6;
  settings.max_retry_after = kSecond;
  settings.may_cancel = true;
  settings.machine_types = {{"k0", 8.0, 16384.0}, {"k1", 8.0, 16384.0}};
  settings.zones = 2;
  ClassSettings& request_class = settings.classes.emplace_back();
  request_class.name = "c";
  request_class.latency_objective = 10 * kSecond;
  request_class.timeout = 20 * kSecond;
  return settings;
}

inline Settings settings_with_slow_start() {
  Settings settings = basic_settings();
  settings.slow_start = SlowStart{0.35, 15 * kSecond, 2.0, kSecond};
  return settings;
}

// The settings of one dispatcher instance of several.
inline Settings instance_settings(std::uint32_t instance_count, std::uint32_t instance_index = 0) {
  Settings settings = basic_settings();
  settings.instance_count = instance_count;
  settings.instance_index = instance_index;
  return settings;
}

}  // namespace rookproxy::routing
