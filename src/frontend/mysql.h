// The MySQL front: clients that speak MySQL's protocol, with prepared statements, on the same core.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "auth/certificate_authenticator.h"
#include "config/config.h"
#include "dispatcher/dispatcher.h"
#include "mysql/protocol.h"
#include "net/acceptor.h"
#include "net/incremental_scan.h"
#include "net/stream.h"

namespace rookproxy {

class MysqlFrontend final : public ResponseHandler {
 public:
  // `gate`: identifies callers. `tls`: offered to clients; with `only_tls` those who don't ask for it are
  // turned away.
  MysqlFrontend(EventLoop& loop, Logger& log, Dispatcher& core, FileDescriptor listener,
                const MysqlFrontConfig& config, std::uint64_t seed, auth::Authenticator* gate = nullptr,
                std::shared_ptr<const tls::ServerContext> tls = nullptr, bool only_tls = false);
  ~MysqlFrontend();

  ResponseStatus on_response(std::uint64_t ticket, Response answer) override;
  // Users, classes, deadlines, idle time and cap of a new configuration; the address stays.
  void reload(const MysqlFrontConfig& config);
  // Keys, lists or rights have changed, and this is for new connections.
  void credentials_changed(std::shared_ptr<const tls::ServerContext> tls);
  // Accepts nothing until it is told to.
  void set_accepting(bool accepting);
  // Takes no new connections, and those who come are turned away at once; those that are open are served
  // until the program ends.
  void stop_listening();
  // A successor that is ready has the door: who is answered is let go, to log in anew there.
  void close_after_next_response();
  // The process is about to end: nobody is accepted any more, and every connection ends in order, once the
  // command that is open on it has its answer. A command that comes meanwhile is not run. Clients that don't
  // end their side are closed after `bound`.
  void close_all_gracefully(Duration bound);
  bool has_connections() const { return connections_.size() > 0; }
  // Other shares of what the dispatcher may hold: connections; bytes, for all of them together, of large
  // commands that have begun, and of answers that are not taken.
  void set_resource_limits(std::size_t most_connections, std::size_t most_unfinished = 24u << 20,
                           std::size_t most_untaken = 24u << 20) {
    config_.max_connections = most_connections;
    max_partial_command_bytes_ = most_unfinished;
    max_unread_response_bytes_ = most_untaken;
  }
  bool is_flushed();
  bool is_receiving_large_command() const { return partial_command_bytes_ > 0; }
  std::uint16_t port() const { return port_; }

 private:
  class Connection;
  void accept(FileDescriptor fd);
  void drop(SlotKey key);
  void client_disconnected(SlotKey key);
  std::size_t unread_response_bytes();
  bool evict_if_full();
  Connection* find(SlotKey key);
  std::string new_call_id();

  EventLoop& loop_;
  Logger& log_;
  Dispatcher& dispatcher_;
  MysqlFrontConfig config_;
  auth::Authenticator* authenticator_;
  std::shared_ptr<const tls::ServerContext> tls_;
  bool tls_required_;
  std::unique_ptr<IncrementalScan> certificate_scan_;
  std::uint64_t call_id_state_;
  std::uint32_t next_thread_id_ = 1;
  SlotMap<std::unique_ptr<Connection>> connections_;
  std::size_t max_partial_command_bytes_ = 24u << 20, max_unread_response_bytes_ = 24u << 20;
  std::size_t partial_command_bytes_ = 0;  // announced lengths of large commands that have begun
  std::uint16_t port_;
  bool closing_after_response_ = false, shutting_down_ = false;
  Duration linger_timeout_ =
      std::chrono::milliseconds(300);  // for a client to end its side after we have ended ours
  std::unique_ptr<Acceptor> acceptor_;
};

}  // namespace rookproxy
