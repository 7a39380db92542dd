#include "app/app.h"

#include "policy/descriptor_budget.h"
#include "policy/drain.h"
#include "policy/poll_schedule.h"

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace rookproxy {
namespace {

// What the process itself may open can be less than what it is told.
policy::DescriptorBudget descriptor_shares_of(std::size_t sockets) {
  return policy::descriptor_budget(std::min(sockets, descriptor_limit()));
}
std::size_t client_descriptors(std::size_t sockets) { return descriptor_shares_of(sockets).clients; }
std::size_t engine_descriptors(std::size_t sockets) { return descriptor_shares_of(sockets).engines; }
std::size_t admin_descriptors(std::size_t sockets) { return descriptor_shares_of(sockets).admin; }
// Statements and results may take this part of the memory; buffers, tables and the module have the rest.
std::size_t buffer_budget_bytes(std::size_t memory_mb) { return (memory_mb << 20) / 4; }

// A turn of the loop that takes this long is told: every answer that was due in it is late by as much.
constexpr Duration kStalledIteration = std::chrono::milliseconds(100);

constexpr std::size_t kMaxMysqlResultBytes = 8u
                                             << 20;  // bytes of one result from an engine that speaks MySQL

PoolLimits pool_limits(const Config& config) {
  PoolLimits limits;
  limits.max_connections = engine_descriptors(config.sockets);
  limits.max_streams_per_connection = config.streams_per_connection;
  // Few share a spoilt connection's end; one for each request was measured to cost engines more than it
  // saved.
  limits.preferred_streams_per_connection = std::min<std::size_t>(6, config.streams_per_connection);
  limits.connect_timeout = limits.probe_timeout = config.connect_timeout;
  limits.idle_timeout = config.keepalive / 3;
  limits.response_timeout = limits.cancel_unresponsive_timeout = config.connect_timeout;
  limits.page_timeout = 3 * config.connect_timeout;
  for (const auto& cls : config.settings.classes) {
    limits.request_id_retention = std::max(limits.request_id_retention, from_routing_duration(cls.timeout));
  }
  const auto notes = config.settings.progress_interval;
  limits.unresponsive_timeout = notes ? 3 * from_routing_duration(*notes) : Duration(0);
  if (config.engine_protocol == EngineProtocol::kMysql) {
    limits.max_streams_per_connection = 1;      // a session runs one statement at a time
    limits.unresponsive_timeout = Duration(0);  // and says nothing until it has an answer
  }
  return limits;
}

DispatcherLimits core_limits(const Config& config) {
  DispatcherLimits limits;
  limits.max_buffered_bytes = buffer_budget_bytes(config.memory_mb);
  limits.default_retry_after = config.rejection_retry_after;
  limits.cancel_report_delay = config.timer_resolution;
  limits.drain_margin = policy::drain_margin(
      config.nameserver ? policy::PollSchedule(config.discovery_poll_interval).max_pause() : Duration(0));
  return limits;
}

}  // namespace

ClusterSettings cluster_settings(const Config& config) {
  ClusterSettings settings;
  settings.peers.listen_address = config.peers->listen;
  for (const auto& [name, at] : config.peers->peers) settings.peers.members.push_back(at);
  settings.peers.self = static_cast<cluster::MemberId>(config.cluster->self_index);
  settings.peers.broadcast_address = config.peers->broadcast_address;
  settings.peers.bytes_per_second = config.cluster->bytes_per_second;
  const std::pair<const char*, const std::string&> files[] = {
      {"fleet.key", config.cluster->key_file}, {"fleet.former_key", config.cluster->former_key_file}};
  for (const auto& [key, file] : files) {
    try {
      if (!file.empty()) settings.peers.keys.push_back(cluster::transport::read_peer_key(file));
    } catch (const cluster::transport::KeyError& fault) {
      throw ConfigError(key, fault.what());
    }
  }
  settings.probe_interval = config.cluster->protocol_period;
  settings.lease_duration = config.cluster->lease_duration;
  settings.zones = config.zones;
  make_membership_settings(settings);  // says what is wrong
  return settings;
}

namespace {

// A starting process waits so long for the directory; what it was told at its start has to do then.
constexpr Duration kDiscoveryWait = std::chrono::milliseconds(500);
constexpr Duration kProcessCheckInterval = std::chrono::milliseconds(100);
constexpr Duration kShutdownCheckInterval = std::chrono::milliseconds(20);

std::string process_lease_file(const Config& config) {
  std::string name = config.name;
  std::replace(name.begin(), name.end(), '/', '_');
  return config.shared_folder + "/rookproxy-" + name + ".locks";
}

FileDescriptor open_listener(const SocketAddress& at, const char* key) {
  FileDescriptor fd = listen_tcp(at);
  if (!fd) throw ConfigError(key, "can't listen on " + at.to_string() + ": " + std::strerror(errno));
  return fd;
}

FileDescriptor open_client_listener(const SocketAddress& at, const std::optional<int>& passed,
                                    const std::string& table) {
  if (!passed) return open_listener(at, (table + "listen").c_str());
  FileDescriptor fd = adopt_listener(*passed);
  if (!fd) {
    throw ConfigError(table + "passed_socket", "descriptor " + std::to_string(*passed) +
                                                   " is no TCP socket that listens: " + std::strerror(errno));
  }
  return fd;
}

// Without usable ones a dispatcher serves as if it were alone.
void log_peers(Logger& log, const Config& config) {
  if (!config.peers_error.empty()) {
    log.write(LogLevel::kWarning, "config", "no peers: " + config.peers_error, {});
  } else if (config.peers) {
    log.write(
        LogLevel::kInfo, "config", "peers known",
        {{"peers", std::to_string(config.peers->peers.size())},
         {"listen", config.peers->listen.to_string()},
         {"all", config.peers->broadcast_address ? config.peers->broadcast_address->to_string() : "-"}});
  }
}

}  // namespace

App::App(EventLoop& loop, Logger& log, const Config& config)
    : loop_(loop),
      log_(log),
      config_(config),
      dispatcher_(loop, log, metrics_, config.settings, config.zones, core_limits(config)) {
  const PoolLimits limits = pool_limits(config);
  if (config.engine_protocol == EngineProtocol::kMysql) {
    const auto& account = config.mysql_engines;
    connection_pool_ =
        std::make_unique<MysqlPool>(loop, log, dispatcher_, metrics_, limits,
                                    MysqlAccount{account.user, account.password, account.schema},
                                    MysqlResultLimits{kMaxMysqlResultBytes, buffer_budget_bytes(config.memory_mb)});
  } else {
    connection_pool_ = std::make_unique<LineProtocolPool>(loop, log, dispatcher_, metrics_, limits);
  }
  dispatcher_.set_transport(*connection_pool_);
  credential_watch_ =
      watch_credential_files(config);  // before they are read, so that no change falls in between
  if (config.tls) tls_context_ = tls::ServerContext::load(config.tls->server);
  if (config.access) {
    authenticator_ =
        std::make_unique<auth::Authenticator>(loop, log, metrics_.auth, *config.access, config.seed);
  }
  dispatcher_.update_endpoints(config.initial_endpoints, true);
  dispatcher_.process_events();
  configure_discovery(config);
  log_peers(log, config);
  if (config.listen) {
    platform_frontend_ = std::make_unique<FramesFrontend>(
        loop, log, dispatcher_, open_client_listener(*config.listen, config.passed_socket, ""),
        FramesFrontend::Limits(), authenticator_.get(),
        config.tls && config.tls->frames ? tls_context_ : nullptr);
    log.write(LogLevel::kNotice, "start", "serving frames",
              {{"port", std::to_string(platform_frontend_->port())},
               {"engines", std::to_string(config.initial_endpoints.size())}});
  }
  if (config.mysql) {
    mysql_frontend_ = std::make_unique<MysqlFrontend>(
        loop, log, dispatcher_,
        open_client_listener(config.mysql->listen, config.mysql->passed_socket, "mysql."), *config.mysql,
        config.seed, authenticator_.get(),
        config.tls && config.tls->mysql != TlsConfig::MysqlMode::kOff ? tls_context_ : nullptr,
        config.tls && config.tls->mysql == TlsConfig::MysqlMode::kRequired);
    log.write(LogLevel::kNotice, "start", "serving mysql",
              {{"port", std::to_string(mysql_frontend_->port())}});
  }
  if (config.passed_socket || (config.mysql && config.mysql->passed_socket))
    process_lease_.emplace(process_lease_file(config));
  if (process_lease_ && !process_lease_->is_acquired()) {
    log.write(LogLevel::kWarning, "start", "no lock in the shared folder: taken to be alone",
              {{"folder", config.shared_folder}});
  }
  if (config.admin) {
    AdminServer::Limits callers;
    callers.max_clients = admin_descriptors(config.sockets);
    admin_server_ = std::make_unique<AdminServer>(loop, open_listener(*config.admin, "ops"), *this, callers);
    log.write(LogLevel::kNotice, "start", "answering operators",
              {{"port", std::to_string(admin_server_->port())}});
  }
  if (config.cluster) cluster_ = std::make_unique<Cluster>(loop, log, cluster_settings(config), config.seed);
  apply_resource_share();
  if (process_lease_) update_resource_share();
  // From the loop: a signal to end that has waited for it comes first.
  loop.run_at(loop.now(), [this, until = loop.now() + kDiscoveryWait] { start_accepting(until); });
  loop.on_iteration_end([this] { dispatcher_.process_events(); });
  loop.on_stalled_iteration(kStalledIteration, [this](Duration took) {
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(took).count();
    log_.write(LogLevel::kWarning, "loop", "stood still", {{"ms", std::to_string(ms)}});
  });
}

std::string App::not_ready_reason() const { return draining_ ? "draining" : ready_ ? "" : "starting"; }

// Nothing is accepted until the directory has been heard: what waits at the socket is not lost meanwhile.
// Told to end before that, it never opens: clients would come to a process that is about to leave.
void App::start_accepting(Time at_the_latest) {
  if (draining_) return;
  if (discovery_ && !discovery_->has_endpoint_list() && loop_.now() < at_the_latest) {
    loop_.run_at(loop_.now() + std::chrono::milliseconds(5),
                 [this, at_the_latest] { start_accepting(at_the_latest); });
    return;
  }
  ready_ = true;
  if (platform_frontend_) platform_frontend_->set_accepting(true);
  if (mysql_frontend_) mysql_frontend_->set_accepting(true);
  if (process_lease_) process_lease_->set_ready(true);
  log_.write(LogLevel::kNotice, "start", "ready to serve", {});
}

void App::update_resource_share() {
  const bool shared = process_lease_->another_is_running();
  if (shared != resources_shared_) {
    resources_shared_ = shared;
    log_.write(LogLevel::kNotice, "start",
               resources_shared_ ? "another process lives: half of every share" : "alone", {});
    apply_resource_share();
  }
  loop_.run_at(loop_.now() + kProcessCheckInterval, [this] { update_resource_share(); });
}

// Two processes of one dispatcher have one limit on memory and sockets together. The shares are halved and
// not the limit: what a process itself holds is no smaller for another beside it.
void App::apply_resource_share() {
  const std::size_t parts = resources_shared_ ? 2 : 1;
  const std::size_t bytes = (config_.memory_mb << 20) / parts;
  if (platform_frontend_)
    platform_frontend_->set_resource_limits(client_descriptors(config_.sockets) / parts, bytes / 8,
                                            bytes / 8);
  if (mysql_frontend_)
    mysql_frontend_->set_resource_limits(std::max<std::size_t>(1, config_.mysql->max_connections / parts),
                                         bytes / 8, bytes / 8);
  dispatcher_.set_process_count(parts);
  PoolLimits limits = pool_limits(config_);
  limits.max_connections = engine_descriptors(config_.sockets) / parts;
  connection_pool_->update_limits(limits);
}

// What its files say is taken as they change, without a signal: a credential that was taken back must not
// wait for one.
std::unique_ptr<FileWatcher> App::watch_credential_files(const Config& config) {
  std::vector<std::string> files;
  if (config.access) files = config.access->watched_files();
  if (config.tls) {
    for (auto& file : config.tls->server.files()) files.push_back(std::move(file));
  }
  if (files.empty()) return nullptr;
  return std::make_unique<FileWatcher>(loop_, std::move(files), config.credential_poll_interval, [this] {
    try {
      apply_credentials(config_);
      ++metrics_.config_reloads;
    } catch (const std::exception& fault) {
      ++metrics_.config_reload_errors;
      log_.write(LogLevel::kError, "access", std::string("the former keys stay: ") + fault.what(), {});
    }
  });
}

// Keys, certificates, lists and rights: all of them, or it throws and none is taken.
void App::apply_credentials(const Config& config) {
  auto fresh = config.tls ? tls::ServerContext::load(config.tls->server, tls_context_.get()) : nullptr;
  if (authenticator_) authenticator_->replace_settings(*config.access);
  tls_context_ = std::move(fresh);
  if (platform_frontend_)
    platform_frontend_->credentials_changed(config.tls && config.tls->frames ? tls_context_ : nullptr);
  if (mysql_frontend_)
    mysql_frontend_->credentials_changed(
        config.tls && config.tls->mysql != TlsConfig::MysqlMode::kOff ? tls_context_ : nullptr);
}

void App::configure_discovery(const Config& config) {
  if (!config.nameserver) {
    discovery_.reset();
  } else if (discovery_) {
    discovery_->change_server(*config.nameserver, config.service, config.discovery_poll_interval);
  } else {
    discovery_ = std::make_unique<DnsDiscoveryClient>(
        loop_, log_, *config.nameserver, config.service, config.discovery_poll_interval,
        config.initial_endpoints_version, config.seed, [this](const std::vector<EngineEndpoint>& members) {
          dispatcher_.update_endpoints(members, false, discovery_->list_effective_since());
        });
  }
}

void App::reload(const std::function<Config(const Config& running)>& load) {
  try {
    apply_configuration(load(config_));
    ++metrics_.config_reloads;
  } catch (const std::exception& fault) {
    ++metrics_.config_reload_errors;
    log_.write(LogLevel::kError, "config", std::string("the former settings stay: ") + fault.what(), {});
  }
}

// Everything was read and checked before; but for the files of [access], [tls] and [fleet] nothing can be
// turned down here.
void App::apply_configuration(Config fresh) {
  // The process keeps what it was started with; so do its shares.
  fresh.listen = config_.listen;
  fresh.admin = config_.admin;
  fresh.passed_socket = config_.passed_socket;
  fresh.engine_protocol = config_.engine_protocol;
  // Whether callers are identified is not changed in service: it would let in or shut out everybody at once.
  if (fresh.access.has_value() != config_.access.has_value())
    throw ConfigError("access",
                      fresh.access ? "needs a restart to begin" : "missing, and it was there before");
  const auto in_tls = [](const Config& config) {
    return config.tls ? std::pair(config.tls->frames, config.tls->mysql)
                      : std::pair(false, TlsConfig::MysqlMode::kOff);
  };
  if (in_tls(fresh) != in_tls(config_))
    throw ConfigError("tls", "which fronts have it is not changed in service");
  if (fresh.cluster.has_value() != config_.cluster.has_value())
    throw ConfigError("fleet",
                      fresh.cluster ? "needs a restart to begin" : "missing, and it was there before");
  std::optional<Cluster::PreparedReload> of_fleet;
  if (cluster_) of_fleet = cluster_->prepare_reload(cluster_settings(fresh));
  auto watch = watch_credential_files(fresh);
  apply_credentials(fresh);  // the last that may be turned down
  if (of_fleet) cluster_->apply_reload(std::move(*of_fleet));
  credential_watch_ = std::move(watch);
  if (!mysql_frontend_) fresh.mysql.reset();
  if (mysql_frontend_) fresh.mysql->passed_socket = config_.mysql->passed_socket;
  fresh.sockets = config_.sockets;
  fresh.memory_mb = config_.memory_mb;
  fresh.peers = peers_after_reload(config_, fresh);
  config_ = std::move(fresh);
  const Config& config = config_;
  configure_log(log_, config.log);
  log_peers(log_, config);
  dispatcher_.change_settings(config.settings, config.zones, core_limits(config));
  configure_discovery(config);
  // With a directory the file's list is that of some start, perhaps long ago: the directory knows better.
  if (!discovery_) dispatcher_.update_endpoints(config.initial_endpoints, false);
  if (mysql_frontend_) mysql_frontend_->reload(*config.mysql);
  apply_resource_share();
  log_.write(LogLevel::kNotice, "config", "reread",
             {{"nameserver", config.nameserver ? config.nameserver->to_string() : "-"}});
}

void App::drain() {
  if (std::exchange(draining_, true)) return;
  log_.write(LogLevel::kNotice, "stop", "draining",
             {{"open", std::to_string(dispatcher_.open_request_count())}});
  if (process_lease_) process_lease_->set_ready(false);
  if (cluster_) cluster_->leave();
  if (platform_frontend_) platform_frontend_->drain();
  if (mysql_frontend_ && !config_.mysql->passed_socket) mysql_frontend_->stop_listening();
  drain_started_ = last_request_open_ = loop_.now();
  Duration longest{};
  for (const auto& cls : config_.settings.classes)
    longest = std::max(longest, from_routing_duration(cls.timeout));
  shutdown_times_ = policy::shutdown_times(longest);
  advance_shutdown();
}

bool App::is_receiving_requests() const {
  return (platform_frontend_ && (platform_frontend_->is_receiving() || !platform_frontend_->is_flushed())) ||
         (mysql_frontend_ && !mysql_frontend_->is_flushed());
}

void App::advance_shutdown() {
  policy::ShutdownState state;
  state.elapsed = loop_.now() - drain_started_;
  state.was_ready = ready_;
  state.listener_is_shared =
      config_.passed_socket.has_value() || (config_.mysql && config_.mysql->passed_socket);
  state.successor_ready = process_lease_ && process_lease_->another_is_ready();
  state.closing_clients = closing_clients_;
  state.is_receiving = !closing_clients_ && is_receiving_requests();
  state.input_drained = std::exchange(observes_iteration_, false) && loop_.is_idle();
  state.has_connections = (platform_frontend_ && platform_frontend_->has_connections()) ||
                          (mysql_frontend_ && mysql_frontend_->has_connections());
  state.open_requests = dispatcher_.open_request_count();
  if (state.open_requests > 0) last_request_open_ = loop_.now();
  state.idle_for = loop_.now() - last_request_open_;
  const policy::ShutdownAction order = policy::next_shutdown_step(shutdown_times_, state);
  if (order.step == policy::ShutdownStep::kExit) {
    log_.write(LogLevel::kNotice, "stop", "idle, so done", {});
    return loop_.stop();
  }
  if (order.step == policy::ShutdownStep::kCloseClients) {
    closing_clients_ = true;
    log_.write(LogLevel::kInfo, "stop", "ending clients", {{"open", std::to_string(state.open_requests)}});
  }
  if (closing_clients_) {  // also those let in since
    const Duration bound = policy::client_close_timeout(shutdown_times_, state.elapsed);
    if (platform_frontend_) platform_frontend_->close_all_gracefully(bound);
    if (mysql_frontend_) mysql_frontend_->close_all_gracefully(bound);
  }
  if (platform_frontend_) platform_frontend_->set_accepting(order.accept_clients);
  if (mysql_frontend_ && state.successor_ready) mysql_frontend_->close_after_next_response();
  observes_iteration_ = order.step == policy::ShutdownStep::kDrainInput;
  loop_.run_at(loop_.now() + (observes_iteration_ ? Duration(0) : kShutdownCheckInterval),
               [this] { advance_shutdown(); });
}

}  // namespace rookproxy
