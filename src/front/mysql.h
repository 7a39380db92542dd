// The MySQL front: clients that speak MySQL's protocol, with prepared statements, on the same core.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "access/certificate.h"
#include "config/config.h"
#include "core/dispatcher.h"
#include "mysql/protocol.h"
#include "net/stream.h"
#include "net/sweep.h"

namespace rookproxy {

class MysqlFront final : public Asker {
 public:
  // `gate`: identifies callers. `tls`: offered to clients; with `only_tls` those who don't ask for it are
  // turned away.
  MysqlFront(Loop& loop, Log& log, Dispatcher& core, Fd listener, const MysqlFrontConfig& config,
             std::uint64_t seed, access::Gatekeeper* gate = nullptr,
             std::shared_ptr<const tls::ServerContext> tls = nullptr, bool only_tls = false);
  ~MysqlFront();

  Verdict on_answer(std::uint64_t ticket, Answer answer) override;
  // Users, classes, deadlines, idle time and cap of a new configuration; the address stays.
  void reload(const MysqlFrontConfig& config);
  // Keys, lists or rights have changed, and this is for new connections.
  void credentials_changed(std::shared_ptr<const tls::ServerContext> tls);
  // Accepts nothing until it is told to.
  void accept_clients(bool accepting);
  // Takes no new connections, and those who come are turned away at once; those that are open are served
  // until the program ends.
  void drain();
  // A successor that is ready has the door: who is answered is let go, to log in anew there.
  void leave();
  // The process is about to end: nobody is accepted any more, and every connection ends in order, once the
  // command that is open on it has its answer. A command that comes meanwhile is not run. Clients that don't
  // end their side are closed after `bound`.
  void end_all(Duration bound);
  bool has_connections() const { return connections_.size() > 0; }
  // Other shares of what the dispatcher may hold: connections; bytes, for all of them together, of large
  // commands that have begun, and of answers that are not taken.
  void resize(std::size_t most_connections, std::size_t most_unfinished = 24u << 20,
              std::size_t most_untaken = 24u << 20) {
    config_.most_connections = most_connections;
    most_unfinished_ = most_unfinished;
    most_untaken_ = most_untaken;
  }
  bool is_flushed();
  bool is_receiving_large() const { return unfinished_ > 0; }
  std::uint16_t port() const { return port_; }

 private:
  class Connection;
  void accept(Fd fd);
  void drop(SlotKey key);
  void client_gone(SlotKey key);
  std::size_t untaken();
  bool make_room();
  Connection* find(SlotKey key);
  std::string new_id();

  Loop& loop_;
  Log& log_;
  Dispatcher& core_;
  MysqlFrontConfig config_;
  access::Gatekeeper* gate_;
  std::shared_ptr<const tls::ServerContext> tls_;
  bool only_tls_;
  std::unique_ptr<Sweep> sweep_;
  std::uint64_t id_state_;
  std::uint32_t next_thread_ = 1;
  SlotTable<std::unique_ptr<Connection>> connections_;
  std::size_t most_unfinished_ = 24u << 20, most_untaken_ = 24u << 20;
  std::size_t unfinished_ = 0;  // announced lengths of large commands that have begun
  std::uint16_t port_;
  bool leaving_ = false, ending_ = false;
  Duration linger_ = std::chrono::milliseconds(300);  // for a client to end its side after we have ended ours
  std::unique_ptr<Acceptor> acceptor_;
};

}  // namespace rookproxy
