#include "app/app.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <exception>
#include <utility>

#include "app/cluster_settings.h"
#include "app/limits.h"
#include "app/listeners.h"
#include "app/reload.h"
#include "log/log_fields.h"
#include "net/event_loop.h"
#include "upstream/line_protocol_connection.h"
#include "upstream/mysql_pool.h"

namespace rookproxy {
namespace {

// Loop iterations that take at least this long are logged: they delay every response that is due in them.
constexpr Duration kStalledIterationThreshold = std::chrono::milliseconds(100);

// How often a process checks whether another process of the same dispatcher is running.
constexpr Duration kProcessCheckInterval = std::chrono::milliseconds(100);

// Limit on one result from an engine that speaks MySQL.
constexpr std::size_t kMaxMysqlResultBytes = 8U << 20;

std::string process_lock_path(const Config& config) {
  std::string name = config.name;
  std::replace(name.begin(), name.end(), '/', '_');
  return config.shared_folder + "/rookproxy-" + name + ".locks";
}

bool has_passed_listener(const Config& config) {
  return config.passed_socket || (config.mysql && config.mysql->passed_socket);
}

Duration max_request_timeout(const routing::Settings& settings) {
  Duration longest{};
  for (const routing::ClassSettings& request_class : settings.classes) {
    longest = std::max(longest, from_routing_duration(request_class.timeout));
  }
  return longest;
}

// Invalid peers do not end the process: the dispatcher then serves as if it had none.
void log_peers(Logger& log, const Config& config) {
  if (config.peers_error) {
    log.write(LogLevel::kWarning, "config", std::string("no peers: ") + config.peers_error->what(), {});
    return;
  }
  if (!config.peers) return;
  const auto& broadcast = config.peers->broadcast_address;
  log.write(LogLevel::kInfo, "config", "peers known",
            {{"peers", std::to_string(config.peers->peers.size())},
             {"listen", config.peers->listen.to_string()},
             {"all", broadcast ? broadcast->to_string() : "-"}});
}

}  // namespace

App::App(EventLoop& loop, Logger& log, const Config& config)
    : loop_(loop),
      log_(log),
      config_(config),
      dispatcher_(loop, log, metrics_, config.settings, config.zones, dispatcher_limits(config), memory_),
      connection_pool_(make_connection_pool(config)),
      readiness_(
          loop, [this] { return !discovery_ || discovery_->has_endpoint_list(); },
          [this] { serve_clients(); }) {
  dispatcher_.set_transport(*connection_pool_);
  // The watch starts before the files are read, so that no change in between is missed.
  credential_watch_ = watch_credential_files(config);
  if (config.tls) tls_context_ = tls::ServerContext::load(config.tls->server);
  if (config.access) {
    authenticator_ =
        std::make_unique<auth::Authenticator>(loop, log, metrics_.auth, *config.access, config.seed);
  }
  dispatcher_.update_endpoints(config.initial_endpoints, true);
  dispatcher_.process_events();
  configure_discovery();
  log_peers(log, config);
  frontends_ = std::make_unique<Frontends>(loop, log, dispatcher_, config, authenticator_.get(), tls_context_,
                                           memory_);
  open_process_lock_file();
  open_admin_server();
  if (config.cluster) cluster_ = std::make_unique<Cluster>(loop, log, cluster_settings(config), config.seed);
  apply_resource_share();
  if (process_lock_file_) update_process_count();
  readiness_.start();
  observe_loop();
}

std::unique_ptr<ConnectionPool> App::make_connection_pool(const Config& config) {
  const PoolLimits limits = pool_limits(config, 1);
  if (config.engine_protocol != EngineProtocol::kMysql) {
    return std::make_unique<LineProtocolPool>(loop_, log_, dispatcher_, metrics_, limits, memory_);
  }
  const MysqlEnginesConfig& account = config.mysql_engines;
  return std::make_unique<MysqlPool>(loop_, log_, dispatcher_, metrics_, limits,
                                     MysqlAccount{account.user, account.password, account.schema},
                                     kMaxMysqlResultBytes, memory_);
}

void App::open_process_lock_file() {
  if (!has_passed_listener(config_)) return;
  process_lock_file_.emplace(process_lock_path(config_));
  if (process_lock_file_->is_acquired()) return dispatcher_.set_execution_claims(*process_lock_file_);
  log_.write(
      LogLevel::kWarning, "start",
      "cannot lock a file in the shared folder; assuming that no other process of this dispatcher runs",
      {{"folder", config_.shared_folder}});
}

void App::open_admin_server() {
  if (!config_.admin) return;
  AdminServer::Limits limits;
  limits.max_clients = max_admin_connections(config_.sockets);
  admin_server_ = std::make_unique<AdminServer>(loop_, open_listener(*config_.admin, "ops"), *this, limits);
  log_.write(LogLevel::kNotice, "start", "answering operators",
             {{"port", std::to_string(admin_server_->port())}});
}

void App::observe_loop() {
  loop_.on_iteration_end([this] { dispatcher_.process_events(); });
  // The routing of many requests of one client counts as time of its turn.
  loop_.on_full_turn([this] { dispatcher_.process_events(); });
  loop_.on_stalled_iteration(kStalledIterationThreshold, [this](Duration took) {
    log_.write(LogLevel::kWarning, "loop", "event loop iteration stalled",
               {{"ms", milliseconds_field(took)}});
  });
}

std::vector<NamedMetric> App::optional_metrics() const {
  std::vector<NamedMetric> named;
  if (!cluster_) return named;
  for (const auto& [name, value] : cluster_->metrics()) named.push_back({name, value});
  return named;
}

void App::serve_clients() {
  frontends_->start_accepting();
  if (process_lock_file_) process_lock_file_->set_ready(true);
  log_.write(LogLevel::kNotice, "start", "ready to serve", {});
}

void App::update_process_count() {
  const bool another_runs = process_lock_file_->another_is_running();
  if (another_runs != another_process_runs_) {
    another_process_runs_ = another_runs;
    log_.write(LogLevel::kNotice, "start",
               another_runs ? "another process lives: half of every share" : "alone", {});
    apply_resource_share();
  }
  loop_.run_at(loop_.now() + kProcessCheckInterval, [this] { update_process_count(); });
}

// While two processes of one dispatcher run, they share its limits on memory and sockets. Only the parts for
// clients and engines are halved: what a process needs for itself does not shrink.
void App::apply_resource_share() {
  const std::size_t process_count = another_process_runs_ ? 2 : 1;
  memory_->apply_limits(config_.memory_mb << 20U, process_count);
  frontends_->set_resource_limits(config_, process_count);
  dispatcher_.set_process_count(process_count);
  connection_pool_->update_limits(pool_limits(config_, process_count));
}

// Credential files are reloaded when they change, so that a revocation takes effect without a signal.
std::unique_ptr<FileWatcher> App::watch_credential_files(const Config& config) {
  std::vector<std::string> files;
  if (config.access) files = config.access->watched_files();
  if (config.tls) {
    for (std::string& file : config.tls->server.files()) files.push_back(std::move(file));
  }
  if (files.empty()) return nullptr;
  return std::make_unique<FileWatcher>(loop_, std::move(files), config.credential_poll_interval,
                                       [this] { reload_credentials(); });
}

void App::reload_credentials() {
  try {
    apply_credentials(config_);
    ++metrics_.config_reloads;
  } catch (const std::exception& error) {
    ++metrics_.config_reload_errors;
    log_.write(LogLevel::kError, "access", std::string("the former keys stay: ") + error.what(), {});
  }
}

// Applies keys, certificates, revocation lists and permissions. Throws and changes nothing if any of them
// can't be loaded.
void App::apply_credentials(const Config& config) {
  auto fresh = config.tls ? tls::ServerContext::load(config.tls->server, tls_context_.get()) : nullptr;
  if (authenticator_) authenticator_->replace_settings(*config.access);
  tls_context_ = std::move(fresh);
  frontends_->change_credentials(config, tls_context_);
}

void App::configure_discovery() {
  const Config& config = config_;
  if (!config.nameserver) {
    discovery_.reset();
  } else if (discovery_) {
    discovery_->change_server(*config.nameserver, config.service, config.discovery_poll_interval);
  } else {
    discovery_ = std::make_unique<DnsDiscoveryClient>(
        loop_, log_, metrics_.discovery, *config.nameserver, config.service, config.discovery_poll_interval,
        EndpointList{config.initial_endpoints_version, config.initial_endpoints}, config.seed,
        [this](const std::vector<EngineEndpoint>& endpoints) {
          dispatcher_.update_endpoints(endpoints, false, discovery_->list_announced_at());
        });
  }
}

void App::reload(const std::function<Config(const Config& running)>& load) {
  try {
    apply_configuration(load(config_));
    ++metrics_.config_reloads;
  } catch (const std::exception& error) {
    ++metrics_.config_reload_errors;
    log_.write(LogLevel::kError, "config", std::string("the former settings stay: ") + error.what(), {});
  }
}

// Steps that may throw come first, so that a reload applies completely or not at all.
void App::apply_configuration(Config fresh) {
  keep_process_settings(config_, fresh);
  check_reloadable(config_, fresh);
  std::optional<Cluster::PreparedReload> cluster_reload;
  if (cluster_) cluster_reload = cluster_->prepare_reload(cluster_settings(fresh));
  auto watch = watch_credential_files(fresh);
  apply_credentials(fresh);  // The last step that may throw.
  if (cluster_reload) cluster_->apply_reload(std::move(*cluster_reload));
  credential_watch_ = std::move(watch);
  fresh.peers = peers_after_reload(config_, fresh);
  config_ = std::move(fresh);
  configure_log(log_, config_.log);
  log_peers(log_, config_);
  dispatcher_.change_settings(config_.settings, config_.zones, dispatcher_limits(config_));
  configure_discovery();
  // With service discovery, the endpoints in the file may be long out of date.
  if (!discovery_) dispatcher_.update_endpoints(config_.initial_endpoints, false);
  frontends_->reload(config_);
  apply_resource_share();
  log_.write(LogLevel::kNotice, "config", "reread",
             {{"nameserver", config_.nameserver ? config_.nameserver->to_string() : "-"}});
}

void App::drain() {
  if (readiness_.is_stopped()) return;
  readiness_.stop();
  log_.write(LogLevel::kNotice, "stop", "draining",
             {{"open", std::to_string(dispatcher_.open_request_count())}});
  if (process_lock_file_) process_lock_file_->set_ready(false);
  if (cluster_) cluster_->leave();
  frontends_->drain(config_);
  GracefulShutdown::InitialState initial_state;
  initial_state.max_request_timeout = max_request_timeout(config_.settings);
  initial_state.was_ready = readiness_.was_ready();
  initial_state.listener_is_shared = has_passed_listener(config_);
  const ProcessLockFile* process_lock_file = process_lock_file_ ? &*process_lock_file_ : nullptr;
  shutdown_.emplace(loop_, log_, dispatcher_, *frontends_, process_lock_file);
  shutdown_->start(initial_state);
}

}  // namespace rookproxy
