// The frontends of a dispatcher, for those who treat them alike.
#pragma once

#include <cstddef>
#include <memory>

#include "auth/authenticator.h"
#include "config/config.h"
#include "dispatcher/dispatcher.h"
#include "frontend/frames_frontend.h"
#include "frontend/mysql_frontend.h"
#include "net/event_loop.h"

namespace rookproxy {

// Owns the frontends that a configuration asks for; each function goes to those that are there. They accept
// nobody until they are told to. Used on the event loop's thread.
class Frontends {
 public:
  // Opens the listeners. `authenticator` and `tls` may be null and have to outlive the frontends. Throws
  // ConfigError.
  Frontends(EventLoop& loop, Logger& log, Dispatcher& dispatcher, const Config& config,
            auth::Authenticator* authenticator, const std::shared_ptr<const tls::ServerContext>& tls);

  [[nodiscard]] bool has_mysql() const { return mysql_ != nullptr; }

  // Opens all of them to clients.
  void start_accepting();

  // Opens the platform's frontend to clients, or closes it to new ones. The MySQL frontend stays as it is.
  void set_platform_accepting(bool accepting);

  // New connections use the TLS context from now on, and the identities of open ones are checked again.
  void change_credentials(const Config& config, const std::shared_ptr<const tls::ServerContext>& tls);

  // Takes over what a running MySQL frontend can change.
  void reload(const Config& config);

  // Bounds them to the resources of a dispatcher that so many processes stand in for.
  void set_resource_limits(const Config& config, std::size_t process_count);

  // Tells clients to go elsewhere; what still comes is served. The MySQL frontend stops listening unless a
  // successor has its socket.
  void drain(const Config& config);

  // A successor accepts: MySQL clients are closed after their next response, to log in there.
  void leave_mysql_clients_to_successor();

  // Closes every connection once its open requests have responses; clients have `timeout` to close their
  // side.
  void close_all_gracefully(Duration timeout);

  // Whether a request is being received, or a response has not been taken by its client.
  [[nodiscard]] bool is_active() const;

  [[nodiscard]] bool has_connections() const;

 private:
  std::unique_ptr<FramesFrontend> platform_;
  std::unique_ptr<MysqlFrontend> mysql_;
};

}  // namespace rookproxy
