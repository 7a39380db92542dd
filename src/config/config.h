// A dispatcher's configuration: the one place where it is read, checked and given defaults.
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

// What engines speak, `link`.
enum class EngineProtocol { kLines, kMysql };

// The frontend for clients that speak MySQL, [mysql].
struct MysqlFrontendConfig {
  SocketAddress listen;
  std::map<std::string, std::string> users;  // name to password
  std::string read_class;                    // of statements known to only read
  std::string load_class;                    // of all others
  Duration read_timeout{};
  Duration load_timeout{};
  std::size_t max_connections = 100;
  Duration idle_timeout = std::chrono::minutes(5);
  std::optional<int> passed_socket;  // an inherited descriptor that listens for `listen`
};

// TLS in front of the frontends, [tls].
struct TlsConfig {
  // Whether clients of the MySQL frontend may or have to upgrade to TLS.
  enum class MysqlMode { kOff, kOptional, kRequired };

  tls::ServerSettings server;
  bool frames = false;  // whether every connection of the platform's frontend is TLS from its first byte
  MysqlMode mysql = MysqlMode::kOff;
};

// The dispatchers as one cluster, [fleet].
struct ClusterOptions {
  std::string key_file;         // empty: messages are not authenticated
  std::string former_key_file;  // accepted besides, while keys are replaced; empty: none
  std::uint32_t bytes_per_second = 64 * 1024;
  Duration protocol_period = std::chrono::milliseconds(500);
  Duration lease_duration = std::chrono::seconds(4);
  std::size_t self_index = 0;  // this dispatcher's place among the peers
};

// How the dispatcher logs in at engines that speak MySQL, [mysql_engines].
struct MysqlEnginesConfig {
  std::string user;
  std::string password;
  std::string schema;
};

// [log].
struct LogConfig {
  LogLevel level = LogLevel::kInfo;
  std::optional<SocketAddress> syslog;
  int facility = 16;  // local0
};

// Applies a configuration to the log of a process.
void configure_log(Logger& log, const LogConfig& config);

// Another dispatcher of the deployment.
struct PeerConfig {
  std::string name;  // its own, or its place in the list
  SocketAddress address;
  bool operator==(const PeerConfig&) const = default;
};

// The other dispatchers and where they reach this one, where the settings allow messages between them.
struct PeersConfig {
  SocketAddress listen;
  std::vector<PeerConfig> peers;                   // as given; may hold this dispatcher's own address
  std::optional<SocketAddress> broadcast_address;  // reaches every one of them
  bool operator==(const PeersConfig&) const = default;
};

// Everything that is configured, checked and with its defaults.
struct Config {
  std::string name = "rookproxy";
  std::optional<SocketAddress> listen;  // the platform's frontend
  std::optional<SocketAddress> admin;   // where operators connect
  std::optional<int> passed_socket;     // an inherited descriptor that listens for `listen`
  std::string shared_folder;            // where processes of one dispatcher find each other
  std::uint64_t seed = 1;
  std::size_t memory_mb = 192;
  std::size_t sockets = 1024;
  std::optional<SocketAddress> nameserver;  // for service discovery; absent: the engines are fixed
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
  // What is wrong with them. A dispatcher serves without peers, so this ends no start; --check reports it.
  std::optional<ConfigError> peers_error;
  EngineProtocol engine_protocol = EngineProtocol::kLines;
  MysqlEnginesConfig mysql_engines;
  std::optional<MysqlFrontendConfig> mysql;
  std::optional<auth::AuthSettings> access;  // absent: callers are not identified
  std::optional<TlsConfig> tls;
  std::optional<ClusterOptions> cluster;  // absent: each dispatcher decides for itself
  Duration credential_poll_interval = std::chrono::milliseconds(250);  // how often its files are checked
  LogConfig log;
  std::shared_ptr<const nlohmann::json> document;  // as it was read
};

// What the environment says of this process; empty where it says nothing.
struct Environment {
  std::string config_file;    // $NODE_CONFIG: the path of the platform's JSON file
  std::string admin;          // $NODE_OPS: the address for operators
  std::string passed_socket;  // $NODE_PASSED_SOCKET: an inherited descriptor that listens for clients
  std::string shared_folder;  // $TMPDIR: where processes of one dispatcher find each other
};

[[nodiscard]] Environment read_environment();

// Loads the configuration of a process that starts. `operators_file` is the path of an operator's TOML file;
// this and the platform's file may each be empty. Where both name a key, the operator's file wins; the
// environment wins over both, except for the shared folder. Throws ConfigError.
[[nodiscard]] Config load_config(const Environment& environment, const std::string& operators_file);

// Loads the configuration anew for a process that runs. Throws ConfigError as well if something is missing
// that `running` was given and that is not optional.
[[nodiscard]] Config load_config(const Environment& environment, const std::string& operators_file,
                                 const Config& running);

// Reads and checks a whole configuration, whose `document` stays empty. Throws ConfigError.
[[nodiscard]] Config read_config(const nlohmann::json& document);

// Reads `peers`, `peers_all` and `peer_listen`; returns nothing if there are none or the settings forbid
// messages. Throws ConfigError, also where messages are forbidden.
[[nodiscard]] std::optional<PeersConfig> read_peers(const nlohmann::json& document);

// The peers after a reload: the address that is listened at stays, and unusable ones change nothing.
[[nodiscard]] std::optional<PeersConfig> peers_after_reload(const Config& running, const Config& fresh);

// Checks a section against its published schema (src/config/*.schema.json). Throws ConfigError with the key.
void check_schema(const nlohmann::json& section, const std::string& name);

// Reads one engine of a list, as the platform writes it; `path` is that of the entry. Throws ConfigError.
[[nodiscard]] EngineEndpoint read_engine_endpoint(const nlohmann::json& entry, const std::string& path);

}  // namespace rookproxy
