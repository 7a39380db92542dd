#include "app/frontends.h"

#include <algorithm>
#include <string>

#include "app/limits.h"
#include "app/listeners.h"
#include "net/event_loop.h"

namespace rookproxy {
namespace {

using TlsContext = std::shared_ptr<const tls::ServerContext>;

// The TLS context of the platform's frontend; null if it has no TLS.
TlsContext platform_tls(const Config& config, const TlsContext& context) {
  return config.tls && config.tls->frames ? context : nullptr;
}

// The TLS context of the MySQL frontend; null if it has no TLS.
TlsContext mysql_tls(const Config& config, const TlsContext& context) {
  return config.tls && config.tls->mysql != TlsConfig::MysqlMode::kOff ? context : nullptr;
}

}  // namespace

Frontends::Frontends(EventLoop& loop, Logger& log, Dispatcher& dispatcher, const Config& config,
                     auth::Authenticator* authenticator, const TlsContext& tls,
                     const std::shared_ptr<policy::MemoryLedger>& memory)
    : turns_(loop) {
  if (config.listen) {
    platform_ = std::make_unique<FramesFrontend>(
        loop, log, dispatcher, turns_, open_client_listener(*config.listen, config.passed_socket, ""),
        FramesFrontend::Limits(), authenticator, platform_tls(config, tls), memory);
    log.write(LogLevel::kNotice, "start", "serving frames",
              {{"port", std::to_string(platform_->port())},
               {"engines", std::to_string(config.initial_endpoints.size())}});
  }
  if (config.mysql) {
    const bool tls_required = config.tls && config.tls->mysql == TlsConfig::MysqlMode::kRequired;
    mysql_ = std::make_unique<MysqlFrontend>(
        loop, log, dispatcher, turns_,
        open_client_listener(config.mysql->listen, config.mysql->passed_socket, "mysql."), *config.mysql,
        config.seed, authenticator, mysql_tls(config, tls), tls_required, memory);
    log.write(LogLevel::kNotice, "start", "serving mysql", {{"port", std::to_string(mysql_->port())}});
  }
}

void Frontends::start_accepting() {
  if (platform_) platform_->set_accepting(true);
  if (mysql_) mysql_->set_accepting(true);
}

void Frontends::set_platform_accepting(bool accepting) {
  if (platform_) platform_->set_accepting(accepting);
}

void Frontends::change_credentials(const Config& config, const TlsContext& tls) {
  if (platform_) platform_->update_tls_context(platform_tls(config, tls));
  if (mysql_) mysql_->update_tls_context(mysql_tls(config, tls));
}

void Frontends::reload(const Config& config) {
  if (mysql_) mysql_->reload(*config.mysql);
}

void Frontends::set_resource_limits(const Config& config, std::size_t process_count) {
  if (platform_) platform_->set_max_connections(max_client_connections(config.sockets) / process_count);
  if (mysql_) {
    const std::size_t connections = config.mysql->max_connections / process_count;
    mysql_->set_max_connections(std::max<std::size_t>(1, connections));
  }
}

void Frontends::drain(const Config& config) {
  if (platform_) platform_->drain();
  if (mysql_ && !config.mysql->passed_socket) mysql_->stop_listening();
}

void Frontends::hand_over_mysql_clients() {
  if (mysql_) mysql_->close_after_next_response();
}

void Frontends::close_all_gracefully(Duration timeout) {
  if (platform_) platform_->close_all_gracefully(timeout);
  if (mysql_) mysql_->close_all_gracefully(timeout);
}

bool Frontends::is_active() const {
  if (platform_ && (platform_->is_receiving() || !platform_->is_flushed())) return true;
  return mysql_ && (!mysql_->is_flushed() || turns_.has_waiting_commands());
}

bool Frontends::has_connections() const {
  return (platform_ && platform_->has_connections()) || (mysql_ && mysql_->has_connections());
}

}  // namespace rookproxy
