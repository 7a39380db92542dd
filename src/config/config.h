// A dispatcher's configuration: its values, their defaults, and the functions that read and check it.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "auth/auth_settings.h"
#include "config/config_error.h"
#include "config/files.h"
#include "dispatcher/engine_endpoint.h"
#include "dispatcher/engine_transport.h"
#include "dispatcher/request.h"
#include "dispatcher/routing_time.h"
#include "log/log.h"
#include "net/socket_address.h"
#include "tls/server_context.h"

namespace rookproxy {

// The protocol of the connections to engines, `link`.
enum class EngineProtocol { kLines, kMysql };

// The frontend for MySQL clients, [mysql].
struct MysqlFrontendConfig {
  SocketAddress listen;
  // Passwords by user name.
  std::map<std::string, std::string> users;
  // The class of statements that are known to only read.
  std::string read_class;
  // The class of all other statements.
  std::string load_class;
  Duration read_timeout{};
  Duration load_timeout{};
  std::size_t max_connections = 100;
  Duration idle_timeout = std::chrono::minutes(5);
  // An inherited descriptor that listens on `listen`.
  std::optional<int> passed_socket;
};

// TLS of the frontends, [tls].
struct TlsConfig {
  // Whether clients of the MySQL frontend can, or must, upgrade to TLS.
  enum class MysqlMode { kOff, kOptional, kRequired };

  tls::ServerSettings server;
  // Whether connections of the platform's frontend use TLS from their first byte.
  bool frames = false;
  MysqlMode mysql = MysqlMode::kOff;
};

// The dispatchers of a deployment as one cluster, [fleet].
struct ClusterOptions {
  // Empty if messages are not authenticated.
  std::string key_file;
  // A second key that is accepted during a key rotation; empty if there is none.
  std::string former_key_file;
  std::uint32_t bytes_per_second = 64 * 1024;
  Duration protocol_period = std::chrono::milliseconds(500);
  Duration lease_duration = std::chrono::seconds(4);
  // This dispatcher's index among the peers.
  std::size_t self_index = 0;
};

// The account for engines that speak MySQL, [mysql_engines].
struct MysqlEnginesConfig {
  std::string user;
  std::string password;
  std::string schema;
};

// The log, [log].
struct LogConfig {
  LogLevel level = LogLevel::kInfo;
  std::optional<SocketAddress> syslog;
  // A syslog facility; 16 is local0.
  int facility = 16;
};

// Applies a configuration to a logger.
void configure_log(Logger& log, const LogConfig& config);

// Another dispatcher of the deployment.
struct PeerConfig {
  // The configured name, or the index in the list.
  std::string name;
  SocketAddress address;
  bool operator==(const PeerConfig&) const = default;
};

// The other dispatchers, and the address at which they reach this one.
struct PeersConfig {
  SocketAddress listen;
  // In the configured order. May include this dispatcher's own address.
  std::vector<PeerConfig> peers;
  // An address that reaches every peer.
  std::optional<SocketAddress> broadcast_address;
  bool operator==(const PeersConfig&) const = default;
};

// A whole configuration, checked and with defaults filled in.
struct Config {
  std::string name = "rookproxy";
  // The address of the platform's frontend.
  std::optional<SocketAddress> listen;
  // The admin address, for operators.
  std::optional<SocketAddress> admin;
  // An inherited descriptor that listens on `listen`.
  std::optional<int> passed_socket;
  // The folder through which processes of one dispatcher find each other.
  std::string shared_folder;
  std::uint64_t seed = 1;
  std::size_t memory_mb = 192;
  std::size_t sockets = 1024;
  // The name server for service discovery; absent if the list of engines is fixed.
  std::optional<SocketAddress> nameserver;
  std::string service = "_app._tcp.cluster.lan";
  Duration discovery_poll_interval = std::chrono::milliseconds(200);
  std::uint64_t initial_endpoints_version = 0;
  std::vector<EngineEndpoint> initial_endpoints;
  routing::Settings settings;
  std::vector<std::string> zones;
  Duration keepalive = std::chrono::seconds(30);
  Duration connect_timeout = std::chrono::milliseconds(250);
  std::size_t streams_per_connection = 32;
  Duration timer_resolution = std::chrono::milliseconds(5);
  Duration rejection_retry_after = std::chrono::seconds(1);
  std::optional<PeersConfig> peers;
  // The error in the peers' keys. It does not abort a start, as a dispatcher can serve without peers; --check
  // reports it.
  std::optional<ConfigError> peers_error;
  EngineProtocol engine_protocol = EngineProtocol::kLines;
  MysqlEnginesConfig mysql_engines;
  std::optional<MysqlFrontendConfig> mysql;
  // Absent if callers are not authenticated.
  std::optional<auth::AuthSettings> access;
  std::optional<TlsConfig> tls;
  // Absent if this dispatcher is not part of a cluster.
  std::optional<ClusterOptions> cluster;
  // How often the files with keys and certificates are checked for changes.
  Duration credential_poll_interval = std::chrono::milliseconds(250);
  LogConfig log;
  // The document that this was read from.
  std::shared_ptr<const nlohmann::json> document;
};

// The environment variables that configure a process; empty if not set.
struct Environment {
  // $NODE_CONFIG: the path of the platform's JSON file.
  std::string config_file;
  // $NODE_OPS: the admin address.
  std::string admin;
  // $NODE_PASSED_SOCKET: an inherited descriptor that listens for clients.
  std::string passed_socket;
  // $TMPDIR: the folder through which processes of one dispatcher find each other.
  std::string shared_folder;
};

[[nodiscard]] Environment read_environment();

// Loads the configuration of a process that starts. `operators_file` is the path of an operator's TOML file;
// it and the path of the platform's file may each be empty. Keys of the operator's file override those of the
// platform's file; the environment overrides both, except for the shared folder. Throws ConfigError.
[[nodiscard]] Config load_config(const Environment& environment, const std::string& operators_file);

// Reloads the configuration of a running process. Also throws ConfigError if a key that `running` has and
// that is not optional is missing.
[[nodiscard]] Config load_config(const Environment& environment, const std::string& operators_file,
                                 const Config& running);

// Reads and checks a whole configuration; its `document` is left empty. Throws ConfigError.
[[nodiscard]] Config read_config(const nlohmann::json& document);

// Reads `peers`, `peers_all` and `peer_listen`; returns nothing if there are none or the settings forbid
// messages. Throws ConfigError, also where messages are forbidden.
[[nodiscard]] std::optional<PeersConfig> read_peers(const nlohmann::json& document);

// The peers after a reload. The listening address does not change, and invalid peers have no effect.
[[nodiscard]] std::optional<PeersConfig> peers_after_reload(const Config& running, const Config& fresh);

// Checks a section against its published schema (src/config/*.schema.json). Throws ConfigError for the key at
// fault.
void check_schema(const nlohmann::json& section, const std::string& name);

// Reads one entry of a list of engines in the platform's format; `path` is the path of the entry. Throws
// ConfigError.
[[nodiscard]] EngineEndpoint read_engine_endpoint(const nlohmann::json& entry, const std::string& path);

}  // namespace rookproxy
