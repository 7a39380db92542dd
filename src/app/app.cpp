#include "app/app.h"

#include "decide/descriptor_shares.h"
#include "decide/drains.h"
#include "decide/poll_schedule.h"

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace rookproxy {
namespace {

// What the process itself may open can be less than what it is told.
decide::DescriptorShares shares(std::size_t sockets) {
  return decide::descriptor_shares(std::min(sockets, descriptor_limit()));
}
std::size_t client_share(std::size_t sockets) { return shares(sockets).clients; }
std::size_t engine_share(std::size_t sockets) { return shares(sockets).engines; }
std::size_t ops_share(std::size_t sockets) { return shares(sockets).operators; }
// Statements and results may take this part of the memory; buffers, tables and the module have the rest.
std::size_t held_share(std::size_t memory_mb) { return (memory_mb << 20) / 4; }

// A turn of the loop that takes this long is told: every answer that was due in it is late by as much.
constexpr Duration kLongTurn = std::chrono::milliseconds(100);

constexpr std::size_t kMostResult = 8u << 20;  // bytes of one result from an engine that speaks MySQL

PoolLimits pool_limits(const Config& config) {
  PoolLimits limits;
  limits.most_connections = engine_share(config.sockets);
  limits.per_connection = config.multiplex;
  // Few share a spoilt connection's end; one for each request was measured to cost engines more than it
  // saved.
  limits.spread = std::min<std::size_t>(6, config.multiplex);
  limits.dial_timeout = limits.probe_timeout = config.dial_timeout;
  limits.idle = config.keepalive / 3;
  limits.answer_time = limits.doubt = config.dial_timeout;
  limits.page_time = 3 * config.dial_timeout;
  for (const auto& cls : config.settings.classes) {
    limits.ids_kept = std::max(limits.ids_kept, span_from_module(cls.deadline));
  }
  const auto notes = config.settings.note_interval;
  limits.silence = notes ? 3 * span_from_module(*notes) : Duration(0);
  if (config.link == LinkKind::kMysql) {
    limits.per_connection = 1;     // a session runs one statement at a time
    limits.silence = Duration(0);  // and says nothing until it has an answer
  }
  return limits;
}

CoreLimits core_limits(const Config& config) {
  CoreLimits limits;
  limits.held_bytes = held_share(config.memory_mb);
  limits.refusal_pause = config.refusal_pause;
  limits.tick = config.tick;
  limits.drain_margin = decide::drain_margin(
      config.nameserver ? decide::PollSchedule(config.directory_poll).longest_pause() : Duration(0));
  return limits;
}

}  // namespace

FleetSettings fleet_settings(const Config& config) {
  FleetSettings settings;
  settings.peers.peer_listen = config.peers->listen;
  for (const auto& [name, at] : config.peers->peers) settings.peers.peers.push_back(at);
  settings.peers.self = static_cast<decide::fleet::MemberId>(config.fleet->self);
  settings.peers.peers_all = config.peers->all;
  settings.peers.bytes_per_second = config.fleet->bytes_per_second;
  const std::pair<const char*, const std::string&> files[] = {{"fleet.key", config.fleet->key},
                                                              {"fleet.former_key", config.fleet->former_key}};
  for (const auto& [key, file] : files) {
    try {
      if (!file.empty()) settings.peers.keys.push_back(peers::read_peer_key(file));
    } catch (const peers::KeyError& fault) {
      throw ConfigError(key, fault.what());
    }
  }
  settings.period = config.fleet->period;
  settings.lease = config.fleet->lease;
  settings.zones = config.zones;
  membership_of(settings);  // says what is wrong
  return settings;
}

namespace {

// A starting process waits so long for the directory; what it was told at its start has to do then.
constexpr Duration kDirectoryWait = std::chrono::milliseconds(500);
constexpr Duration kLookForOtherProcess = std::chrono::milliseconds(100);
constexpr Duration kLookAtShutdown = std::chrono::milliseconds(20);

std::string hot_restart_file(const Config& config) {
  std::string name = config.name;
  std::replace(name.begin(), name.end(), '/', '_');
  return config.shared_folder + "/rookproxy-" + name + ".locks";
}

Fd listener_at(const Endpoint& at, const char* key) {
  Fd fd = listen_tcp(at);
  if (!fd) throw ConfigError(key, "can't listen on " + at.text() + ": " + std::strerror(errno));
  return fd;
}

Fd clients_listener(const Endpoint& at, const std::optional<int>& passed, const std::string& table) {
  if (!passed) return listener_at(at, (table + "listen").c_str());
  Fd fd = adopt_listener(*passed);
  if (!fd) {
    throw ConfigError(table + "passed_socket", "descriptor " + std::to_string(*passed) +
                                                   " is no TCP socket that listens: " + std::strerror(errno));
  }
  return fd;
}

// Without usable ones a dispatcher serves as if it were alone.
void log_peers(Log& log, const Config& config) {
  if (!config.peers_fault.empty()) {
    log.line(Level::kWarning, "config", "no peers: " + config.peers_fault, {});
  } else if (config.peers) {
    log.line(Level::kInfo, "config", "peers known",
             {{"peers", std::to_string(config.peers->peers.size())},
              {"listen", config.peers->listen.text()},
              {"all", config.peers->all ? config.peers->all->text() : "-"}});
  }
}

}  // namespace

App::App(Loop& loop, Log& log, const Config& config)
    : loop_(loop),
      log_(log),
      config_(config),
      core_(loop, log, figures_, config.settings, config.zones, core_limits(config)) {
  const PoolLimits limits = pool_limits(config);
  if (config.link == LinkKind::kMysql) {
    const auto& account = config.mysql_link;
    links_ = std::make_unique<MysqlPool>(loop, log, core_, figures_, limits,
                                         MysqlAccount{account.user, account.password, account.schema},
                                         kMostResult, held_share(config.memory_mb));
  } else {
    links_ = std::make_unique<LinesPool>(loop, log, core_, figures_, limits);
  }
  core_.use(*links_);
  watch_ = watch_files(config);  // before they are read, so that no change falls in between
  if (config.tls) tls_ = tls::ServerContext::load(config.tls->server);
  if (config.access) {
    gate_ = std::make_unique<access::Gatekeeper>(loop, log, figures_.access, *config.access, config.seed);
  }
  core_.learn_members(config.known, true);
  core_.settle();
  find_engines(config);
  log_peers(log, config);
  if (config.listen) {
    frames_ = std::make_unique<FramesFront>(
        loop, log, core_, clients_listener(*config.listen, config.passed_socket, ""), FramesFront::Limits(),
        gate_.get(), config.tls && config.tls->frames ? tls_ : nullptr);
    log.line(Level::kNotice, "start", "serving frames",
             {{"port", std::to_string(frames_->port())}, {"engines", std::to_string(config.known.size())}});
  }
  if (config.mysql) {
    mysql_ = std::make_unique<MysqlFront>(
        loop, log, core_, clients_listener(config.mysql->listen, config.mysql->passed_socket, "mysql."),
        *config.mysql, config.seed, gate_.get(),
        config.tls && config.tls->mysql != TlsConfig::Mysql::kOff ? tls_ : nullptr,
        config.tls && config.tls->mysql == TlsConfig::Mysql::kRequired);
    log.line(Level::kNotice, "start", "serving mysql", {{"port", std::to_string(mysql_->port())}});
  }
  if (config.passed_socket || (config.mysql && config.mysql->passed_socket))
    hot_restart_.emplace(hot_restart_file(config));
  if (hot_restart_ && !hot_restart_->has_seat()) {
    log.line(Level::kWarning, "start", "no lock in the shared folder: taken to be alone",
             {{"folder", config.shared_folder}});
  }
  if (config.ops) {
    OpsServer::Limits callers;
    callers.most_callers = ops_share(config.sockets);
    ops_ = std::make_unique<OpsServer>(loop, listener_at(*config.ops, "ops"), *this, callers);
    log.line(Level::kNotice, "start", "answering operators", {{"port", std::to_string(ops_->port())}});
  }
  if (config.fleet) fleet_ = std::make_unique<Fleet>(loop, log, fleet_settings(config), config.seed);
  resize();
  if (hot_restart_) share_with_other_process();
  // From the loop: a signal to end that has waited for it comes first.
  loop.at(loop.now(), [this, until = loop.now() + kDirectoryWait] { become_ready(until); });
  loop.each_turn([this] { core_.settle(); });
  loop.on_long_turn(kLongTurn, [this](Duration took) {
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(took).count();
    log_.line(Level::kWarning, "loop", "stood still", {{"ms", std::to_string(ms)}});
  });
}

std::string App::why_not_ready() const { return draining_ ? "draining" : ready_ ? "" : "starting"; }

// Nothing is accepted until the directory has been heard: what waits at the socket is not lost meanwhile.
// Told to end before that, it never opens: clients would come to a process that is about to leave.
void App::become_ready(Time at_the_latest) {
  if (draining_) return;
  if (directory_ && !directory_->has_answered() && loop_.now() < at_the_latest) {
    loop_.at(loop_.now() + std::chrono::milliseconds(5),
             [this, at_the_latest] { become_ready(at_the_latest); });
    return;
  }
  ready_ = true;
  if (frames_) frames_->accept_clients(true);
  if (mysql_) mysql_->accept_clients(true);
  if (hot_restart_) hot_restart_->say_ready(true);
  log_.line(Level::kNotice, "start", "ready to serve", {});
}

void App::share_with_other_process() {
  const bool shared = hot_restart_->another_lives();
  if (shared != shared_) {
    shared_ = shared;
    log_.line(Level::kNotice, "start", shared_ ? "another process lives: half of every share" : "alone", {});
    resize();
  }
  loop_.at(loop_.now() + kLookForOtherProcess, [this] { share_with_other_process(); });
}

// Two processes of one dispatcher have one limit on memory and sockets together. The shares are halved and
// not the limit: what a process itself holds is no smaller for another beside it.
void App::resize() {
  const std::size_t parts = shared_ ? 2 : 1;
  const std::size_t bytes = (config_.memory_mb << 20) / parts;
  if (frames_) frames_->resize(client_share(config_.sockets) / parts, bytes / 8, bytes / 8);
  if (mysql_)
    mysql_->resize(std::max<std::size_t>(1, config_.mysql->most_connections / parts), bytes / 8, bytes / 8);
  core_.share(parts);
  PoolLimits limits = pool_limits(config_);
  limits.most_connections = engine_share(config_.sockets) / parts;
  links_->change(limits);
}

// What its files say is taken as they change, without a signal: a credential that was taken back must not
// wait for one.
std::unique_ptr<FileWatch> App::watch_files(const Config& config) {
  std::vector<std::string> files;
  if (config.access) files = config.access->files();
  if (config.tls) {
    for (auto& file : config.tls->server.files()) files.push_back(std::move(file));
  }
  if (files.empty()) return nullptr;
  return std::make_unique<FileWatch>(loop_, std::move(files), config.access_poll, [this] {
    try {
      take_credentials(config_);
      ++figures_.loads;
    } catch (const std::exception& fault) {
      ++figures_.load_errors;
      log_.line(Level::kError, "access", std::string("the former keys stay: ") + fault.what(), {});
    }
  });
}

// Keys, certificates, lists and rights: all of them, or it throws and none is taken.
void App::take_credentials(const Config& config) {
  auto fresh = config.tls ? tls::ServerContext::load(config.tls->server, tls_.get()) : nullptr;
  if (gate_) gate_->take(*config.access);
  tls_ = std::move(fresh);
  if (frames_) frames_->credentials_changed(config.tls && config.tls->frames ? tls_ : nullptr);
  if (mysql_)
    mysql_->credentials_changed(config.tls && config.tls->mysql != TlsConfig::Mysql::kOff ? tls_ : nullptr);
}

void App::find_engines(const Config& config) {
  if (!config.nameserver) {
    directory_.reset();
  } else if (directory_) {
    directory_->move_to(*config.nameserver, config.service, config.directory_poll);
  } else {
    directory_ = std::make_unique<DnsDirectory>(
        loop_, log_, *config.nameserver, config.service, config.directory_poll, config.known_offset,
        config.seed, [this](const std::vector<Member>& members) {
          core_.learn_members(members, false, directory_->told_since());
        });
  }
}

void App::reload(const std::function<Config(const Config& running)>& load) {
  try {
    take_over(load(config_));
    ++figures_.loads;
  } catch (const std::exception& fault) {
    ++figures_.load_errors;
    log_.line(Level::kError, "config", std::string("the former settings stay: ") + fault.what(), {});
  }
}

// Everything was read and checked before; but for the files of [access], [tls] and [fleet] nothing can be
// turned down here.
void App::take_over(Config fresh) {
  // The process keeps what it was started with; so do its shares.
  fresh.listen = config_.listen;
  fresh.ops = config_.ops;
  fresh.passed_socket = config_.passed_socket;
  fresh.link = config_.link;
  // Whether callers are identified is not changed in service: it would let in or shut out everybody at once.
  if (fresh.access.has_value() != config_.access.has_value())
    throw ConfigError("access",
                      fresh.access ? "needs a restart to begin" : "missing, and it was there before");
  const auto in_tls = [](const Config& config) {
    return config.tls ? std::pair(config.tls->frames, config.tls->mysql)
                      : std::pair(false, TlsConfig::Mysql::kOff);
  };
  if (in_tls(fresh) != in_tls(config_))
    throw ConfigError("tls", "which fronts have it is not changed in service");
  if (fresh.fleet.has_value() != config_.fleet.has_value())
    throw ConfigError("fleet", fresh.fleet ? "needs a restart to begin" : "missing, and it was there before");
  std::optional<Fleet::Change> of_fleet;
  if (fleet_) of_fleet = fleet_->prepare(fleet_settings(fresh));
  auto watch = watch_files(fresh);
  take_credentials(fresh);  // the last that may be turned down
  if (of_fleet) fleet_->take(std::move(*of_fleet));
  watch_ = std::move(watch);
  if (!mysql_) fresh.mysql.reset();
  if (mysql_) fresh.mysql->passed_socket = config_.mysql->passed_socket;
  fresh.sockets = config_.sockets;
  fresh.memory_mb = config_.memory_mb;
  fresh.peers = peers_after(config_, fresh);
  config_ = std::move(fresh);
  const Config& config = config_;
  configure_log(log_, config.log);
  log_peers(log_, config);
  core_.change(config.settings, config.zones, core_limits(config));
  find_engines(config);
  // With a directory the file's list is that of some start, perhaps long ago: the directory knows better.
  if (!directory_) core_.learn_members(config.known, false);
  if (mysql_) mysql_->reload(*config.mysql);
  resize();
  log_.line(Level::kNotice, "config", "reread",
            {{"nameserver", config.nameserver ? config.nameserver->text() : "-"}});
}

void App::drain() {
  if (std::exchange(draining_, true)) return;
  log_.line(Level::kNotice, "stop", "draining", {{"open", std::to_string(core_.open_requests())}});
  if (hot_restart_) hot_restart_->say_ready(false);
  if (fleet_) fleet_->leave();
  if (frames_) frames_->drain();
  if (mysql_ && !config_.mysql->passed_socket) mysql_->drain();
  drained_at_ = last_open_ = loop_.now();
  Duration longest{};
  for (const auto& cls : config_.settings.classes)
    longest = std::max(longest, span_from_module(cls.deadline));
  shutdown_times_ = decide::shutdown_times(longest);
  shut_down();
}

bool App::is_taking_in() const {
  return (frames_ && (frames_->is_receiving() || !frames_->is_flushed())) ||
         (mysql_ && !mysql_->is_flushed());
}

void App::shut_down() {
  decide::ShutdownState state;
  state.since = loop_.now() - drained_at_;
  state.opened = ready_;
  state.door_is_shared = config_.passed_socket.has_value() || (config_.mysql && config_.mysql->passed_socket);
  state.successor_ready = hot_restart_ && hot_restart_->another_is_ready();
  state.ending = ending_;
  state.taking_in = !ending_ && is_taking_in();
  state.seen_all = std::exchange(looks_, false) && loop_.is_quiet();
  state.has_connections = (frames_ && frames_->has_connections()) || (mysql_ && mysql_->has_connections());
  state.open_requests = core_.open_requests();
  if (state.open_requests > 0) last_open_ = loop_.now();
  state.none_open_for = loop_.now() - last_open_;
  const decide::ShutdownOrder order = decide::next_shutdown_step(shutdown_times_, state);
  if (order.step == decide::ShutdownStep::kExit) {
    log_.line(Level::kNotice, "stop", "idle, so done", {});
    return loop_.stop();
  }
  if (order.step == decide::ShutdownStep::kEndClients) {
    ending_ = true;
    log_.line(Level::kInfo, "stop", "ending clients", {{"open", std::to_string(state.open_requests)}});
  }
  if (ending_) {  // also those let in since
    const Duration bound = decide::end_bound(shutdown_times_, state.since);
    if (frames_) frames_->end_all(bound);
    if (mysql_) mysql_->end_all(bound);
  }
  if (frames_) frames_->accept_clients(order.let_in);
  if (mysql_ && state.successor_ready) mysql_->leave();
  looks_ = order.step == decide::ShutdownStep::kLook;
  loop_.at(loop_.now() + (looks_ ? Duration(0) : kLookAtShutdown), [this] { shut_down(); });
}

}  // namespace rookproxy
