// The one place where configuration is read, checked and given defaults.
#pragma once

#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "auth/settings.h"
#include "base/errors.h"
#include "dispatcher/interfaces.h"
#include "log/log.h"
#include "tls/server_context.h"

namespace rookproxy {

struct ConfigError : SettingsError {
  ConfigError(const std::string& key, const std::string& what) : SettingsError(key + ": " + what) {}
};

enum class EngineProtocol { kLines, kMysql };

struct MysqlFrontConfig {
  SocketAddress listen;
  std::map<std::string, std::string> users;  // name to password
  std::string read_class, load_class;        // of statements known to only read; of all others
  Duration read_timeout{}, load_timeout{};
  std::size_t max_connections = 100;
  Duration idle_timeout = std::chrono::minutes(5);
  std::optional<int> passed_socket;  // an inherited descriptor that listens for `listen`
};

// TLS before the fronts, [tls].
struct TlsConfig {
  tls::ServerSettings server;
  bool frames = false;  // every connection of the frames front
  enum class MysqlMode { kOff, kOptional, kRequired } mysql = MysqlMode::kOff;
};

// The dispatchers act as one, [fleet].
struct ClusterOptions {
  std::string key_file, former_key_file;  // files; empty: none
  std::uint32_t bytes_per_second = 64 * 1024;
  Duration protocol_period = std::chrono::milliseconds(500), lease_duration = std::chrono::seconds(4);
  std::size_t self_index = 0;  // our place among the peers
};

struct MysqlEnginesConfig {
  std::string user, password, schema;
};

struct LogConfig {
  LogLevel level = LogLevel::kInfo;
  std::optional<SocketAddress> syslog;
  int facility = 16;  // local0
};

inline void configure_log(Logger& log, const LogConfig& config) {
  log.set_min_level(config.level);
  log.set_syslog_target(config.syslog, config.facility);
}

// Other dispatchers of the tier and where they reach us, where the settings allow to tell them anything. By
// their own names, or by their places in the list.
struct PeersConfig {
  SocketAddress listen;
  std::vector<std::pair<std::string, SocketAddress>> peers;  // as given; may hold our own address
  std::optional<SocketAddress> broadcast_address;            // reaches every one of them
  bool operator==(const PeersConfig&) const = default;
};

struct Config {
  std::string name = "rookproxy";
  std::optional<SocketAddress> listen;  // the platform's front
  std::optional<SocketAddress> admin;   // where operators call
  std::optional<int> passed_socket;     // an inherited descriptor that listens for `listen`
  std::string shared_folder;            // where processes of one dispatcher know of each other
  std::uint64_t seed = 1;
  std::size_t memory_mb = 192, sockets = 1024;
  std::optional<SocketAddress> nameserver;
  std::string service = "_app._tcp.cluster.lan";
  Duration discovery_poll_interval = std::chrono::milliseconds(200);
  std::uint64_t initial_endpoints_version = 0;
  std::vector<EngineEndpoint> initial_endpoints;
  routing::Settings settings;
  std::vector<std::string> zones;
  Duration keepalive = std::chrono::seconds(30), connect_timeout = std::chrono::milliseconds(250);
  std::size_t streams_per_connection = 32;
  Duration timer_resolution = std::chrono::milliseconds(5);
  Duration rejection_retry_after = std::chrono::seconds(1);
  std::optional<PeersConfig> peers;
  // What is wrong with them. It stops no dispatcher from serving, which needs no peers for it; --check says
  // it.
  std::string peers_error;
  EngineProtocol engine_protocol = EngineProtocol::kLines;
  MysqlEnginesConfig mysql_engines;
  std::optional<MysqlFrontConfig> mysql;
  std::optional<auth::AuthSettings> access;  // absent: callers are not identified
  std::optional<TlsConfig> tls;
  std::optional<ClusterOptions> cluster;                               // absent: every dispatcher for itself
  Duration credential_poll_interval = std::chrono::milliseconds(250);  // how often its files are looked at
  LogConfig log;
  std::shared_ptr<const nlohmann::json> document;  // as it was read
};

// `platform` is the path of the platform's JSON file, `operators` that of an operator's TOML file; either may
// be empty. Where both name a key, the operator's file wins; what the environment says of this process wins
// over both, which another process of the same dispatcher may have been given, too.
struct Environment {
  std::string config_file, admin, passed_socket,
      shared_folder;  // $NODE_CONFIG, $NODE_OPS, $NODE_PASSED_SOCKET, $TMPDIR
};
Environment read_environment();
Config load_config(const Environment& environment, const std::string& operators);
// The same for a process that runs: what the platform's part of the running configuration says must be there.
Config load_config(const Environment& environment, const std::string& operators, const Config& running);
Config read_config(const nlohmann::json& document);
// The section [access]; its files are named and not read. Throws ConfigError.
auth::AuthSettings read_access(const nlohmann::json& section, const routing::Settings& settings);
TlsConfig read_tls(const nlohmann::json& section);
// `peers`, `peers_all` and `peer_listen`; nothing if there are none or the settings allow to send nothing.
// Throws ConfigError, also where nothing may be sent.
std::optional<PeersConfig> read_peers(const nlohmann::json& document);
// Those after a change of settings: an address that is listened at stays, and unusable ones change nothing.
std::optional<PeersConfig> peers_after_reload(const Config& running, const Config& fresh);
// The section [fleet], of a configuration whose settings and peers have been read. Throws ConfigError.
ClusterOptions read_cluster(const nlohmann::json& section, const Config& config);
// Checks a section against the published schema (src/config/*.schema.json); throws ConfigError with the key.
void check_schema(const nlohmann::json& section, const std::string& name);

// A whole file's text, or a ConfigError that names it.
std::string read_file(const std::string& path);
// A TOML file as the JSON document of the same shape.
nlohmann::json read_toml(const std::string& path);

// One member of a list of engines, as the platform words it.
EngineEndpoint read_engine_endpoint(const nlohmann::json& entry, const std::string& path);

}  // namespace rookproxy
