// Functions that read the sections of a configuration, each in a file of its own. All throw ConfigError for
// the key at fault.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "config/config.h"
#include "config/config_reader.h"

namespace rookproxy {

// Reads the section `settings` of the platform's configuration or an operator's file: the router's settings,
// zones, and the timeouts and limits of connections. `config` must already contain the seed.
void read_settings(const nlohmann::json& settings, Config& config);

// Reads the engines known at the start: the operator's `engines` or, without it, the platform's `known`.
void read_initial_endpoints(const ConfigReader& document, Config& config);

// Reads the protocol of the engines: `link` and [mysql_engines].
void read_engine_protocol(const ConfigReader& document, Config& config);

// Reads [mysql], the frontend for MySQL clients. `config` must already contain the settings and the engines'
// protocol.
[[nodiscard]] MysqlFrontendConfig read_mysql_frontend(const ConfigReader& document, const Config& config);

// Reads [log] of a dispatcher's or an agent's file.
[[nodiscard]] LogConfig read_log_config(const ConfigReader& log);

// Reads [access]: callers and their permissions. The files that it names are not opened.
[[nodiscard]] auth::AuthSettings read_access(const nlohmann::json& section,
                                             const routing::Settings& settings);

// Reads [tls]: TLS of the frontends. The files that it names are not opened.
[[nodiscard]] TlsConfig read_tls(const nlohmann::json& section);

// Reads [fleet]: the dispatchers as one cluster. `config` must already contain the settings and the peers.
[[nodiscard]] ClusterOptions read_cluster(const nlohmann::json& section, const Config& config);

}  // namespace rookproxy
