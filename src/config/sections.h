// The readers of a configuration's sections, each in a file of its own. All throw ConfigError with the key at
// fault.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "config/config.h"
#include "config/config_reader.h"

namespace rookproxy {

// The section `settings`, which the platform's configuration and operators' files have: the router's
// settings, zones, and the times and limits of connections. The seed has to be in `config`.
void read_settings(const nlohmann::json& settings, Config& config);

// The engines known at the start: the platform's `known` and the operators' `engines`, which takes its place.
void read_initial_endpoints(const ConfigReader& document, Config& config);

// `link` and [mysql_engines]: what the engines speak.
void read_engine_protocol(const ConfigReader& document, Config& config);

// [mysql]: the frontend for clients that speak MySQL. The settings and the engines'
// protocol have to be in `config`.
[[nodiscard]] MysqlFrontendConfig read_mysql_frontend(const ConfigReader& document, const Config& config);

// [log], which the agent's file has as well.
[[nodiscard]] LogConfig read_log_config(const ConfigReader& log);

// [access]: who may call and what for. Its files are named here and not read.
[[nodiscard]] auth::AuthSettings read_access(const nlohmann::json& section,
                                             const routing::Settings& settings);

// [tls]: TLS in front of the frontends. Its files are named here and not read.
[[nodiscard]] TlsConfig read_tls(const nlohmann::json& section);

// [fleet]: the dispatchers as one cluster. The settings and the peers have to be in `config`.
[[nodiscard]] ClusterOptions read_cluster(const nlohmann::json& section, const Config& config);

}  // namespace rookproxy
