// The frontends of a dispatcher behind one interface.
#pragma once

#include <cstddef>
#include <memory>

#include "auth/authenticator.h"
#include "config/config.h"
#include "dispatcher/dispatcher.h"
#include "frontend/frames_frontend.h"
#include "frontend/mysql_frontend.h"
#include "frontend/turn_scheduler.h"
#include "net/event_loop.h"

namespace rookproxy {

// Owns the frontends that the configuration enables; each function applies to those that exist. They accept
// no clients before start_accepting(). Used on the event loop's thread.
class Frontends {
 public:
  // Opens the listeners. `memory` accounts for what clients make this process hold. `authenticator` and `tls`
  // may be null; `authenticator` must outlive the frontends. Throws ConfigError.
  Frontends(EventLoop& loop, Logger& log, Dispatcher& dispatcher, const Config& config,
            auth::Authenticator* authenticator, const std::shared_ptr<const tls::ServerContext>& tls,
            const std::shared_ptr<policy::MemoryLedger>& memory);

  [[nodiscard]] bool has_mysql() const { return mysql_ != nullptr; }

  // Accepts clients at all frontends.
  void start_accepting();

  // Starts or stops accepting clients at the platform's frontend. The MySQL frontend is not affected.
  void set_platform_accepting(bool accepting);

  // Uses the TLS context for new connections and checks the identities of open ones again.
  void change_credentials(const Config& config, const std::shared_ptr<const tls::ServerContext>& tls);

  // Applies the part of the configuration that a running MySQL frontend can change.
  void reload(const Config& config);

  // Limits the frontends to this process's share of the resources of a dispatcher with `process_count`
  // processes.
  void set_resource_limits(const Config& config, std::size_t process_count);

  // Announces the drain to clients; requests that still arrive are served. The MySQL frontend stops listening
  // unless its socket is shared with a successor.
  void drain(const Config& config);

  // Closes each MySQL connection after its next response, so that the client connects to the successor.
  void hand_over_mysql_clients();

  // Closes every connection once its open requests have responses; clients have `timeout` to close their
  // side.
  void close_all_gracefully(Duration timeout);

  // Whether a request is being received or a response has not been fully sent.
  [[nodiscard]] bool is_active() const;

  [[nodiscard]] bool has_connections() const;

 private:
  TurnScheduler turns_;
  std::unique_ptr<FramesFrontend> platform_;
  std::unique_ptr<MysqlFrontend> mysql_;
};

}  // namespace rookproxy
