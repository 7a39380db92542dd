// Builds the cluster's settings from a configuration and the key files that it names.
#pragma once

#include "cluster/runtime/cluster.h"
#include "config/config.h"

namespace rookproxy {

// Reads the key files; the configuration must have [fleet]. Throws SettingsError.
[[nodiscard]] ClusterSettings cluster_settings(const Config& config);

}  // namespace rookproxy
