// What a reload may change of a running process, and what stays as it was started.
#pragma once

#include "config/config.h"

namespace rookproxy {

// Gives `fresh` the addresses, descriptors and limits that a process keeps until its end.
void keep_process_settings(const Config& running, Config& fresh);

// Throws ConfigError for changes that need a restart: whether callers are identified, which frontends have
// TLS, and whether the dispatchers form a cluster.
void check_reloadable(const Config& running, const Config& fresh);

}  // namespace rookproxy
