// The connections to engines: which one an attempt goes to, when one is opened or closed, and what becomes of
// attempts that could not be sent.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "dispatcher/engine_endpoint.h"
#include "dispatcher/engine_transport.h"
#include "dispatcher/metrics.h"
#include "dispatcher/request.h"
#include "dispatcher/routing_time.h"
#include "log/log.h"
#include "log/log_rate_limiter.h"
#include "net/event_loop.h"
#include "net/slot_map.h"
#include "net/socket_address.h"
#include "net/timer.h"
#include "upstream/engine_connection.h"
#include "upstream/pool_limits.h"

namespace rookproxy {

// Why a connection could not be opened.
enum class OpenError {
  kRefused,            // at once, by the engine or on the way to it
  kResourcesExhausted  // this process has no descriptor, memory or port for it, or is at its limit
};

// A connection, or why there is none.
struct OpenResult {
  EngineConnection* connection = nullptr;  // owned by the pool
  OpenError error = OpenError::kRefused;   // of no meaning with a connection
};

// Carries attempts over connections of one protocol, which a subclass makes. Belongs to the loop's thread;
// whatever it is constructed with must outlive it.
class ConnectionPool : public EngineTransport {
 public:
  ConnectionPool(EventLoop& loop, Logger& log, EngineTransportCallbacks& callbacks, Metrics& metrics,
                 const PoolLimits& limits);
  virtual ~ConnectionPool();
  ConnectionPool(const ConnectionPool&) = delete;
  ConnectionPool& operator=(const ConnectionPool&) = delete;

  void send(const AttemptRequest& request) override;
  bool cancel(AttemptKey key) override;
  bool cancel_if_unsent(AttemptKey key) override;
  void set_priority(AttemptKey key, int priority) override;
  void probe(EngineId engine) override;
  void set_engine_address(EngineId engine, const SocketAddress& address) override;
  void stop_new_attempts(EngineId engine) override;
  // Replaces the limits; what is open beyond them is left to end.
  void update_limits(const PoolLimits& limits) { limits_ = limits; }
  // How many attempts were sent here and have neither ended nor been cancelled.
  [[nodiscard]] std::size_t attempts_in_flight() const { return assignments_.size(); }

 protected:
  // A connection of the subclass's protocol, not opened.
  virtual std::unique_ptr<EngineConnection> create_connection(SlotKey key, EngineId engine) = 0;
  // The most bytes of a response that a connection buffers.
  [[nodiscard]] virtual std::size_t input_limit() const = 0;
  // Starts to connect to an engine that has an address.
  [[nodiscard]] OpenResult open_connection(EngineId engine);

 private:
  friend class EngineConnection;

  // Where an attempt is.
  struct Assignment {
    SlotKey connection = 0;  // 0: between two connections
    Time submitted_at;       // when the dispatcher sent it
    // Connections that ended before a byte of it had left.
    int failed_connections = 0;
  };
  // An engine that has, or had, an address.
  struct Engine {
    explicit Engine(EventLoop& loop) : probe_timer(loop) {}
    SocketAddress address;
    std::vector<SlotKey> connections;
    Timer probe_timer;
    bool takes_no_attempts = false;  // removed, or near the end of its drain grace period
  };

  // Called by connections.
  void complete_attempt(AttemptKey key, AttemptResult result);
  void report_outcome_later(AttemptKey key, Outcome outcome);
  void retry_never_sent(const EngineConnection& from, const AttemptRequest& request, std::string_view reason);
  void complete_probe(EngineId engine, Outcome outcome, const std::optional<LoadReport>& report);
  void close_connection(SlotKey key, std::string_view reason);
  void log_unresponsive(const EngineConnection& connection);
  void log_command(const EngineConnection& connection, std::string_view command, std::string_view request);
  // The connections to the engine take no more attempts, and end once what runs on them has ended.
  void drain_connections(EngineId engine);

  [[nodiscard]] EngineConnection* find_connection(SlotKey key);
  [[nodiscard]] EngineConnection* find_connection_of(AttemptKey key);
  [[nodiscard]] EngineConnection* select_connection(EngineId engine, const Query* query);
  [[nodiscard]] OpenResult select_or_open(const AttemptRequest& request, const Assignment& assignment);
  [[nodiscard]] bool has_responsive_connection(EngineId engine, const EngineConnection& besides);
  void assign(const AttemptRequest& request, Assignment assignment);
  void wait_for_capacity(const AttemptRequest& request, Assignment assignment);
  void assign_waiting();
  [[nodiscard]] bool close_idle_connection();
  void end_probe(EngineId engine);

  EventLoop& loop_;
  Logger& log_;
  EngineTransportCallbacks& callbacks_;
  Metrics& metrics_;
  PoolLimits limits_;
  std::vector<Engine> engines_;
  SlotMap<std::unique_ptr<EngineConnection>> connections_;
  std::map<AttemptKey, Assignment> assignments_;
  // Attempts that wait until a connection can be opened, each for the connect timeout at most; bounded by the
  // requests that the dispatcher has open.
  std::deque<AttemptRequest> waiting_;
  Timer waiting_timer_;
  static constexpr int kLateCommandLinesPerSecond = 10;
  LogRateLimiter late_command_log_budget_{kLateCommandLinesPerSecond};
};

}  // namespace rookproxy
