#include "app/app.h"

#include <algorithm>
#include <cerrno>
#include <cstring>

#include "app/options.h"

namespace rookproxy {
namespace {

// Clients hold at most a third of the descriptors; a little more is let in for connections on their way out.
std::size_t client_share(std::size_t sockets) { return sockets * 2 / 5; }
std::size_t engine_share(std::size_t sockets) { return sockets * 2 / 5; }
// Set aside for operators' calls, which neither clients nor engines may take.
std::size_t ops_share(std::size_t sockets) { return std::clamp<std::size_t>(sockets / 16, 2, 32); }
// Statements and results may take this part of the memory; buffers, tables and the module have the rest.
std::size_t held_share(std::size_t memory_mb) { return (memory_mb << 20) / 4; }

constexpr std::size_t kMostResult = 8u << 20;  // bytes of one result from an engine that speaks MySQL

// After SIGTERM new connections come for 0.4 s and requests on open ones for 0.2 s: with room to spare.
constexpr Duration kStragglers = std::chrono::milliseconds(1000);

PoolLimits pool_limits(const Config& config) {
  PoolLimits limits;
  limits.most_connections = engine_share(config.sockets);
  limits.per_connection = config.multiplex;
  // Few share a spoilt connection's end; one for each request was measured to cost engines more than it
  // saved.
  limits.spread = 6;
  limits.dial_timeout = limits.probe_timeout = config.dial_timeout;
  limits.idle = config.keepalive / 3;
  limits.answer_time = limits.doubt = config.dial_timeout;
  limits.page_time = 3 * config.dial_timeout;
  for (const auto& cls : config.settings.classes) {
    limits.ids_kept = std::max(limits.ids_kept, span_from_module(cls.deadline));
  }
  const auto notes = config.settings.note_interval;
  limits.silence = notes ? 3 * span_from_module(*notes) : Duration(0);
  return limits;
}

CoreLimits core_limits(const Config& config) {
  CoreLimits limits;
  limits.held_bytes = held_share(config.memory_mb);
  limits.refusal_pause = config.refusal_pause;
  limits.tick = config.tick;
  return limits;
}

Fd listener_at(const Endpoint& at, const char* key) {
  Fd fd = listen_tcp(at);
  if (!fd) throw ConfigError(key, "can't listen on " + at.text() + ": " + std::strerror(errno));
  return fd;
}

}  // namespace

App::App(Loop& loop, Log& log, const Config& config)
    : loop_(loop), log_(log), core_(loop, log, figures_, config.settings, config.zones, core_limits(config)) {
  PoolLimits limits = pool_limits(config);
  if (config.link == LinkKind::kMysql) {
    limits.per_connection = 1;     // a session runs one statement at a time
    limits.silence = Duration(0);  // and says nothing until it has an answer
    const auto& account = config.mysql_link;
    links_ = std::make_unique<MysqlPool>(loop, log, core_, figures_, limits,
                                         MysqlAccount{account.user, account.password, account.schema},
                                         kMostResult, held_share(config.memory_mb));
  } else {
    links_ = std::make_unique<LinesPool>(loop, log, core_, figures_, limits);
  }
  core_.use(*links_);
  core_.learn_members(config.known, true);
  core_.settle();
  find_engines(config);
  if (config.listen) {
    FramesFront::Limits clients;
    clients.most_connections = client_share(config.sockets);
    clients.most_unfinished = clients.most_untaken = (config.memory_mb << 20) / 8;
    frames_ = std::make_unique<FramesFront>(loop, log, core_, listener_at(*config.listen, "listen"), clients);
    log.line(Level::kNotice, "start", "serving frames",
             {{"port", std::to_string(frames_->port())}, {"engines", std::to_string(config.known.size())}});
  }
  if (config.mysql) {
    mysql_ = std::make_unique<MysqlFront>(loop, log, core_, listener_at(config.mysql->listen, "mysql.listen"),
                                          *config.mysql, config.seed);
    log.line(Level::kNotice, "start", "serving mysql", {{"port", std::to_string(mysql_->port())}});
  }
  if (config.ops) {
    OpsServer::Limits callers;
    callers.most_callers = ops_share(config.sockets);
    ops_ = std::make_unique<OpsServer>(loop, listener_at(*config.ops, "ops"), *this, callers);
    log.line(Level::kNotice, "start", "answering operators", {{"port", std::to_string(ops_->port())}});
  }
  loop.each_turn([this] { core_.settle(); });
}

void App::find_engines(const Config& config) {
  if (!config.nameserver) {
    directory_.reset();
  } else if (directory_) {
    directory_->move_to(*config.nameserver, config.service, config.directory_poll);
  } else {
    directory_ = std::make_unique<DnsDirectory>(
        loop_, log_, *config.nameserver, config.service, config.directory_poll, config.known_offset,
        config.seed, [this](const std::vector<Member>& members) { core_.learn_members(members, false); });
  }
}

void App::reload(const std::function<Config()>& load) {
  try {
    take_over(load());
    ++figures_.loads;
  } catch (const std::exception& fault) {
    ++figures_.load_errors;
    log_.line(Level::kError, "config", std::string("the former settings stay: ") + fault.what(), {});
  }
}

void App::take_over(const Config& config) {
  configure_log(log_, config.log);
  find_engines(config);
  // With a directory the file's list is that of some start, perhaps long ago: the directory knows better.
  if (!directory_) core_.learn_members(config.known, false);
  if (mysql_ && config.mysql) mysql_->reload(*config.mysql);
  log_.line(Level::kNotice, "config", "reread",
            {{"nameserver", config.nameserver ? config.nameserver->text() : "-"}});
}

void App::drain() {
  if (std::exchange(draining_, true)) return;
  log_.line(Level::kNotice, "stop", "draining", {{"open", std::to_string(core_.open_requests())}});
  if (frames_) frames_->drain();
  if (mysql_) mysql_->drain();
  stop_from_ = loop_.now() + kStragglers;
  stop_when_idle();
}

void App::stop_when_idle() {
  const bool idle =
      core_.open_requests() == 0 && (!frames_ || frames_->is_flushed()) && (!mysql_ || mysql_->is_flushed());
  if (idle && loop_.now() >= stop_from_) {
    log_.line(Level::kNotice, "stop", "idle, so done", {});
    return loop_.stop();
  }
  loop_.at(loop_.now() + std::chrono::milliseconds(20), [this] { stop_when_idle(); });
}

}  // namespace rookproxy
