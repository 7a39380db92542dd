// The frontend for clients that use the MySQL protocol, including prepared statements.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "auth/certificate_authenticator.h"
#include "config/config.h"
#include "dispatcher/dispatcher.h"
#include "frontend/connection_table.h"
#include "frontend/turn_scheduler.h"
#include "net/acceptor.h"
#include "net/event_loop.h"
#include "net/file_descriptor.h"
#include "net/slot_map.h"
#include "net/stream.h"
#include "policy/memory_ledger.h"

namespace rookproxy {

// Serves the MySQL protocol over TCP, optionally with TLS. Must be used on the event loop's thread.
// Everything passed to the constructor by reference or pointer must outlive it.
class MysqlFrontend final : public ResponseHandler {
 public:
  // Accepts no connections until set_accepting(true) is called. Without an authenticator callers are
  // identified by password only. `tls` is offered to clients; with `tls_required`, clients that don't use it
  // are rejected. `seed` initializes the generator of request ids. `memory` limits what connections hold;
  // if it is null, they have no limit.
  MysqlFrontend(EventLoop& loop, Logger& log, Dispatcher& dispatcher, TurnScheduler& turns,
                FileDescriptor listener, MysqlFrontendConfig config, std::uint64_t seed,
                auth::Authenticator* authenticator = nullptr,
                std::shared_ptr<const tls::ServerContext> tls = nullptr, bool tls_required = false,
                std::shared_ptr<policy::MemoryLedger> memory = nullptr);
  ~MysqlFrontend();
  MysqlFrontend(const MysqlFrontend&) = delete;
  MysqlFrontend& operator=(const MysqlFrontend&) = delete;

  ResponseStatus on_response(std::uint64_t correlation_id, Response response) override;
  // Applies the users, classes, timeouts and connection limit of a new configuration, but not its address.
  void reload(MysqlFrontendConfig config);
  // Applies new TLS settings to new connections and checks the certificates of open connections again.
  void update_tls_context(std::shared_ptr<const tls::ServerContext> tls);
  void set_accepting(bool accepting);
  // Closes the listening socket, so that new connections are refused. Open connections are served until the
  // process ends.
  void stop_listening();
  // Leaves new connections to another process that is ready, and closes each open connection after its next
  // response, so that its client logs in to that process.
  void close_after_next_response();
  // Stops accepting connections and closes each connection once its open command has its response. Commands
  // that arrive afterwards are not run. A connection whose client does not close its side within `timeout` is
  // closed.
  void close_all_gracefully(Duration timeout);
  [[nodiscard]] bool has_connections() const { return connections_.size() > 0; }
  void set_max_connections(std::size_t max_connections) { config_.max_connections = max_connections; }
  // Returns true if no bytes are queued for any client.
  [[nodiscard]] bool is_flushed() const;
  [[nodiscard]] std::uint16_t port() const { return port_; }

 private:
  class Connection;

  void accept(FileDescriptor fd);
  void drop(SlotKey key);
  void client_disconnected(SlotKey key);
  [[nodiscard]] bool ensure_capacity();
  [[nodiscard]] bool has_too_many_unread_bytes() const;
  std::string new_call_id();

  EventLoop& loop_;
  Logger& log_;
  Dispatcher& dispatcher_;
  TurnScheduler& turns_;
  MysqlFrontendConfig config_;
  // Null if callers are identified by password only.
  auth::Authenticator* authenticator_;
  std::shared_ptr<const tls::ServerContext> tls_;
  bool tls_required_;
  std::shared_ptr<policy::MemoryLedger> memory_;
  std::uint64_t call_id_state_;
  std::uint32_t next_thread_id_ = 1;
  ConnectionTable<Connection> connections_;
  std::uint16_t port_;
  bool closing_after_response_ = false;
  bool shutting_down_ = false;
  // How long a client may take to close its side after the dispatcher's side was shut down.
  Duration linger_timeout_ = std::chrono::milliseconds(300);
  // Null once the listening socket is closed.
  std::unique_ptr<Acceptor> acceptor_;
};

}  // namespace rookproxy
