// Which parts of its configuration a running process can change, and which it keeps.
#pragma once

#include "config/config.h"

namespace rookproxy {

// Copies to `fresh` the addresses, descriptors and limits that a process keeps until its end.
void keep_process_settings(const Config& running, Config& fresh);

// Throws ConfigError for changes that need a restart: whether callers are authenticated, which frontends have
// TLS, and whether the dispatchers form a cluster.
void check_reloadable(const Config& running, const Config& fresh);

}  // namespace rookproxy
