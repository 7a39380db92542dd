// Reads a whole configuration, section by section. The order of the checks is fixed: of several errors the
// first one is reported.
#include "config/config.h"

#include <nlohmann/json.hpp>

#include "base/numbers.h"
#include "config/sections.h"

namespace rookproxy {
namespace {

using nlohmann::json;

std::uint64_t read_seed(const std::string& text) {
  const auto seed = parse_number<std::uint64_t>(text, 16);
  if (!seed) throw ConfigError("seed", "not a hexadecimal number ('" + text + "')");
  return *seed;
}

// Reads the keys of the process itself: its name, addresses and limits.
void read_process(const ConfigReader& document, Config& config) {
  config.name = document.text_or("name", config.name);
  if (document.has("listen")) config.listen = document.endpoint("listen");
  if (document.has("ops")) config.admin = document.endpoint("ops");
  config.passed_socket = document.passed_socket();
  if (config.passed_socket && !config.listen) {
    throw ConfigError("passed_socket", "requires `listen`");
  }
  config.shared_folder = document.text_or("shared_folder", "/tmp");
  if (document.has("seed")) config.seed = read_seed(document.text("seed"));
  if (!document.has("limits")) return;
  const ConfigReader limits = document.table("limits");
  config.memory_mb = static_cast<std::size_t>(limits.integer_or("memory_mb", 192, 16, 1'000'000));
  config.sockets = static_cast<std::size_t>(limits.integer_or("sockets", 1024, 32, 1'000'000));
}

void read_discovery(const ConfigReader& document, Config& config) {
  if (document.has("nameserver")) config.nameserver = document.endpoint("nameserver");
  config.service = document.text_or("service", config.service);
  config.discovery_poll_interval =
      document.milliseconds_or("directory_poll_ms", config.discovery_poll_interval, 10);
}

void read_peers_or_error(const json& document, Config& config) {
  try {
    config.peers = read_peers(document);
  } catch (const ConfigError& error) {
    config.peers_error = error;
  }
}

void read_access_section(const ConfigReader& document, Config& config) {
  if (!document.has("access")) return;
  config.access = read_access(document.required("access"), config.settings);
  config.credential_poll_interval =
      document.table("access").milliseconds_or("poll_ms", config.credential_poll_interval, 20);
  if (!config.mysql) return;
  // Every user of the MySQL frontend needs an identity.
  for (const auto& [name, password] : config.mysql->users) {
    if (!config.access->users.contains(name)) {
      throw ConfigError("access.users", "has no entry for '" + name + "' in mysql.users");
    }
  }
}

void read_tls_section(const ConfigReader& document, Config& config) {
  if (!document.has("tls")) return;
  config.tls = read_tls(document.required("tls"));
  const bool mysql_off = config.tls->mysql == TlsConfig::MysqlMode::kOff;
  if (config.tls->frames && !config.listen) throw ConfigError("tls.frames", "requires `listen`");
  if (!mysql_off && !config.mysql) throw ConfigError("tls.mysql", "requires [mysql]");
  if (config.tls->server.client_certificates != tls::ClientCertificates::kNone && !config.access) {
    throw ConfigError("tls.client_certificates", "requires [access], which maps certificates to identities");
  }
  const bool accepts_tokens = config.access && !config.access->keys_file.empty();
  if (accepts_tokens && config.mysql && mysql_off) {
    throw ConfigError("tls.mysql", "off, but tokens are accepted only over TLS");
  }
}

}  // namespace

Config read_config(const json& document) {
  const ConfigReader reader(document, "");
  Config config;
  read_process(reader, config);
  read_discovery(reader, config);
  read_settings(reader.required("settings"), config);
  read_peers_or_error(document, config);
  read_initial_endpoints(reader, config);
  read_engine_protocol(reader, config);
  if (reader.has("mysql")) config.mysql = read_mysql_frontend(reader, config);
  read_access_section(reader, config);
  read_tls_section(reader, config);
  if (reader.has("fleet")) config.cluster = read_cluster(reader.required("fleet"), config);
  if (reader.has("log")) config.log = read_log_config(reader.table("log"));
  if (!config.listen && !config.mysql)
    throw ConfigError("listen", "missing, and there is no [mysql] either: no frontend is configured");
  if (config.initial_endpoints.empty() && !config.nameserver) {
    throw ConfigError("engines", "neither engines nor a nameserver is configured");
  }
  return config;
}

}  // namespace rookproxy
