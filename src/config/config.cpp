// A whole configuration, section by section. The order of the checks is fixed: of several mistakes the first
// is told.
#include "config/config.h"

#include <nlohmann/json.hpp>

#include "base/numbers.h"
#include "config/sections.h"

namespace rookproxy {
namespace {

using nlohmann::json;

std::uint64_t read_seed(const std::string& text) {
  const auto seed = parse_number<std::uint64_t>(text, 16);
  if (!seed) throw ConfigError("seed", "not hex digits ('" + text + "')");
  return *seed;
}

// What concerns the process as such: its name, addresses and limits.
void read_process(const ConfigReader& document, Config& config) {
  config.name = document.text_or("name", config.name);
  if (document.has("listen")) config.listen = document.endpoint("listen");
  if (document.has("ops")) config.admin = document.endpoint("ops");
  config.passed_socket = document.passed_socket();
  if (config.passed_socket && !config.listen) {
    throw ConfigError("passed_socket", "there is no `listen` for it");
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
  // Whoever has a password for the MySQL frontend needs an identity.
  for (const auto& [name, password] : config.mysql->users) {
    if (!config.access->users.contains(name)) {
      throw ConfigError("access.users", "says nothing of '" + name + "', who is in mysql.users");
    }
  }
}

void read_tls_section(const ConfigReader& document, Config& config) {
  if (!document.has("tls")) return;
  config.tls = read_tls(document.required("tls"));
  const bool mysql_off = config.tls->mysql == TlsConfig::MysqlMode::kOff;
  if (config.tls->frames && !config.listen) throw ConfigError("tls.frames", "there is no `listen` for it");
  if (!mysql_off && !config.mysql) throw ConfigError("tls.mysql", "there is no [mysql] for it");
  if (config.tls->server.client_certificates != tls::ClientCertificates::kNone && !config.access) {
    throw ConfigError("tls.client_certificates", "there is no [access] to say what they stand for");
  }
  const bool accepts_tokens = config.access && !config.access->keys_file.empty();
  if (accepts_tokens && config.mysql && mysql_off) {
    throw ConfigError("tls.mysql", "off, and tokens are taken in TLS only");
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
  if (!config.listen && !config.mysql) throw ConfigError("listen", "missing, and there is no other front");
  if (config.initial_endpoints.empty() && !config.nameserver) {
    throw ConfigError("engines", "no engines and no nameserver");
  }
  return config;
}

}  // namespace rookproxy
