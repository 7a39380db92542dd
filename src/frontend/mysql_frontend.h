// The frontend for clients that speak the MySQL protocol, with prepared statements.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "auth/certificate_authenticator.h"
#include "config/config.h"
#include "dispatcher/dispatcher.h"
#include "frontend/connection_table.h"
#include "net/acceptor.h"
#include "net/event_loop.h"
#include "net/file_descriptor.h"
#include "net/slot_map.h"
#include "net/stream.h"

namespace rookproxy {

/// Serves the MySQL protocol over TCP, with TLS if it is offered. Lives on the event loop's thread; what is
/// passed to the constructor by reference or pointer must outlive it.
class MysqlFrontend final : public ResponseHandler {
 public:
  /// Accepts nothing until set_accepting(true). Without an authenticator callers are known by password alone.
  /// `tls` is offered to clients; with `tls_required` those that don't ask for it are rejected. `seed` is
  /// that of the requests' ids.
  MysqlFrontend(EventLoop& loop, Logger& log, Dispatcher& dispatcher, FileDescriptor listener,
                MysqlFrontendConfig config, std::uint64_t seed, auth::Authenticator* authenticator = nullptr,
                std::shared_ptr<const tls::ServerContext> tls = nullptr, bool tls_required = false);
  ~MysqlFrontend();
  MysqlFrontend(const MysqlFrontend&) = delete;
  MysqlFrontend& operator=(const MysqlFrontend&) = delete;

  ResponseStatus on_response(std::uint64_t correlation_id, Response response) override;
  /// Takes users, classes, timeouts and the limit of connections of a new configuration; the address stays.
  void reload(MysqlFrontendConfig config);
  /// Takes new TLS settings for new connections, and checks the certificates of open ones anew.
  void update_tls_context(std::shared_ptr<const tls::ServerContext> tls);
  void set_accepting(bool accepting);
  /// Closes the listening socket, so that new connections are refused; open ones are served until the process
  /// ends.
  void stop_listening();
  /// Leaves new connections to another process that is ready, and closes each open one behind its next
  /// response, so that the client logs in there.
  void close_after_next_response();
  /// Accepts nobody any more and closes each connection once its open command has its response. A command
  /// that arrives meanwhile is not run. A client that does not close its side within `timeout` is closed.
  void close_all_gracefully(Duration timeout);
  [[nodiscard]] bool has_connections() const { return connections_.size() > 0; }
  /// Changes the limits that depend on how many processes share the dispatcher's resources. The bytes are for
  /// all connections together: large commands that have only partly arrived, and unread responses.
  void set_resource_limits(std::size_t max_connections,
                           std::size_t max_partial_command_bytes = kDefaultByteLimit,
                           std::size_t max_unread_response_bytes = kDefaultByteLimit);
  /// Whether nothing is queued for any client.
  [[nodiscard]] bool is_flushed() const;
  /// Whether a large command is arriving on any connection.
  [[nodiscard]] bool is_receiving_large_command() const { return partial_command_bytes_ > 0; }
  [[nodiscard]] std::uint16_t port() const { return port_; }

 private:
  class Connection;
  static constexpr std::size_t kDefaultByteLimit = 24u << 20;

  void accept(FileDescriptor fd);
  void drop(SlotKey key);
  void client_disconnected(SlotKey key);
  [[nodiscard]] bool evict_if_full();
  std::string new_call_id();

  EventLoop& loop_;
  Logger& log_;
  Dispatcher& dispatcher_;
  MysqlFrontendConfig config_;
  auth::Authenticator* authenticator_;  // null: callers are known by password alone
  std::shared_ptr<const tls::ServerContext> tls_;
  bool tls_required_;
  std::uint64_t call_id_state_;
  std::uint32_t next_thread_id_ = 1;
  std::size_t max_partial_command_bytes_ = kDefaultByteLimit;
  std::size_t max_unread_response_bytes_ = kDefaultByteLimit;
  std::size_t partial_command_bytes_ = 0;  // announced by large commands that have only partly arrived
  ConnectionTable<Connection> connections_;
  std::uint16_t port_;
  bool closing_after_response_ = false;
  bool shutting_down_ = false;
  // For a client to close its side after we have closed ours.
  Duration linger_timeout_ = std::chrono::milliseconds(300);
  std::unique_ptr<Acceptor> acceptor_;  // null once the listening socket is closed
};

}  // namespace rookproxy
