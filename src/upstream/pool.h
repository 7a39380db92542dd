// Connections to engines, whatever they speak: dialling, choosing one for an attempt, silence, idleness,
// budgets.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

#include "dispatcher/figures.h"
#include "dispatcher/interfaces.h"
#include "log/log.h"
#include "net/sockets.h"
#include "net/stream.h"

namespace rookproxy {

struct PoolLimits {
  std::size_t max_connections = 256;                 // to all engines together
  std::size_t max_streams_per_connection = 1;        // attempts that one carries at a time ...
  std::size_t preferred_streams_per_connection = 1;  // ... and while there is room for more connections
  Duration connect_timeout = std::chrono::milliseconds(250);
  Duration idle_timeout = std::chrono::seconds(10);  // closed after this, well before the engine would
  Duration unresponsive_timeout =
      std::chrono::milliseconds(1500);  // with attempts out: it takes no more. 0: never
  Duration probe_timeout = std::chrono::milliseconds(250);
  // An answer that has begun is whole after this, or its connection is spoilt. Of pages, the next that its
  // attempt still lacks is there after this.
  Duration response_timeout = std::chrono::milliseconds(250), page_timeout = std::chrono::milliseconds(750);
  // Called off after this without a word on its connection: nobody can tell if that still works.
  Duration cancel_unresponsive_timeout = std::chrono::milliseconds(250);
  Duration request_id_retention = std::chrono::seconds(30);  // the longest that a request may be sent again
};

class ConnectionPool;

// One connection. What it speaks is the subclass's matter; what it carries is known here.
class EngineConnection : public StreamHandler {
 public:
  EngineConnection(ConnectionPool& pool, SlotKey key, EngineId engine)
      : pool_(pool), key_(key), engine_(engine) {}
  virtual ~EngineConnection() = default;
  void open(FileDescriptor fd, std::size_t input_limit);

  virtual void start_attempt(const AttemptRequest& order) = 0;
  virtual bool cancel_attempt(AttemptKey attempt) = 0;  // true: no byte of it had left
  virtual bool has_attempt_started(AttemptKey attempt) const = 0;
  virtual void set_priority(AttemptKey, int) {}
  virtual void probe() = 0;
  // Ends, as never run, what has not begun to leave.
  virtual void end_never_sent() = 0;
  // The stream is gone: whatever is out ends.
  virtual void on_connection_lost(std::string_view why) = 0;
  virtual bool can_accept(const Query*) const { return true; }  // none: a probe

  void on_connected() override;
  void on_closed(std::string_view why) final;

 protected:
  friend class ConnectionPool;
  void remember_request_id(const AttemptRequest& order);
  void report_progress(AttemptKey attempt, routing::AttemptUpdateKind kind, double amount);
  void complete_probe(Outcome outcome, std::optional<LoadReport> report);
  void fail_connection(std::string_view why);
  // No byte of it has left: it goes over another connection, or provably never ran.
  void on_never_sent(const AttemptRequest& order, std::string_view why);
  // Asked right before its first byte is handed to the kernel. If not, it is over here, and told after this
  // call.
  bool may_start(const AttemptRequest& order);
  // What has come of an answer must be whole by then, or the connection is given up. Time::max(): nothing is
  // due.
  void set_response_deadline(Time at);
  void release_attempt();  // one less open
  void report_attempt_end(AttemptKey attempt, AttemptResult end);
  void record_activity();
  // How much of its room is taken: a load keeps others off while there are other connections.
  std::size_t occupancy() const;
  const PoolLimits& limits() const;
  Time current_time() const;
  // Counts up when an attempt has been written to its last byte.
  std::uint64_t* attempts_written_counter() const;

  ConnectionPool& pool_;
  SlotKey key_;
  EngineId engine_;
  std::unique_ptr<Stream> stream_;
  std::size_t open_attempts_ = 0;
  bool carries_write_ = false;  // something that can't be sent again is open
  bool draining_ = false;       // takes nothing new; closed once nothing is open
  bool probing_ = false;

 private:
  std::unordered_set<std::string> used_request_ids_;
  std::deque<std::pair<Time, std::string>> request_ids_by_age_;
  Time last_activity_{};
  Time response_deadline_ = Time::max();
  TimerId connect_timer_{}, idle_timer_{}, unresponsive_timer_{}, response_timer_{};
};

class ConnectionPool : public EngineTransport {
 public:
  ConnectionPool(EventLoop& loop, Logger& log, EngineTransportCallbacks& events, Metrics& figures,
                 PoolLimits limits);
  virtual ~ConnectionPool();

  void send(const AttemptRequest& order) override;
  bool cancel(AttemptKey key) override;
  bool cancel_if_unsent(AttemptKey key) override;
  void set_priority(AttemptKey key, int rank) override;
  void probe(EngineId engine) override;
  void set_engine_address(EngineId engine, const SocketAddress& address) override;
  void stop_new_attempts(EngineId engine) override;
  // Other limits from now on; what is open beyond them is left to end.
  void update_limits(const PoolLimits& limits) { limits_ = limits; }
  // What was handed over and has neither ended nor been taken back.
  std::size_t attempts_in_flight() const { return assignments_.size(); }

 protected:
  friend class EngineConnection;
  virtual std::unique_ptr<EngineConnection> create_connection(SlotKey key, EngineId engine) = 0;
  virtual std::size_t input_limit() const = 0;
  // None: refused at once, or there is no room for it, which is told in `no_room`.
  EngineConnection* open_connection(EngineId engine, bool* no_room = nullptr);

  EventLoop& loop_;
  Logger& log_;
  EngineTransportCallbacks& events_;
  Metrics& metrics_;
  PoolLimits limits_;

 private:
  struct Assignment {
    SlotKey connection = 0;
    Time submitted_at;           // handed over by the core
    int failed_connections = 0;  // connections that ended before a byte of it had left
  };
  struct Engine {
    SocketAddress address;
    std::vector<SlotKey> connections;
    TimerId probe_timer{};
  };
  EngineConnection* find_connection(SlotKey key);
  EngineConnection* select_connection(EngineId engine, const Query* query);
  void assign(const AttemptRequest& order, Assignment carried);
  void retry_never_sent(EngineConnection& from, const AttemptRequest& order, std::string_view why);
  void report_outcome_later(AttemptKey key, Outcome outcome);
  void assign_waiting();
  bool close_idle_connection();
  void close_connection(SlotKey key, std::string_view why);
  void watch_responsiveness(SlotKey key);
  void schedule_idle_close(EngineConnection& connection);
  void end_probe(EngineId engine);

  std::vector<Engine> engines_;
  SlotMap<std::unique_ptr<EngineConnection>> connections_;
  std::map<AttemptKey, Assignment> assignments_;
  // Wait for room for a connection, each for a dial's time; bounded by the requests that the core has open.
  std::deque<AttemptRequest> waiting_;
  TimerId waiting_timer_{};
};

}  // namespace rookproxy
