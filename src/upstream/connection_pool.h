// Manages the connections to engines: selects a connection for each attempt, opens and closes connections,
// and handles attempts that could not be sent.
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

// The reason why a connection could not be opened.
enum class OpenError {
  // The engine or the network refused the connection immediately.
  kRefused,
  // This process has no free descriptor, memory or port, or has reached its connection limit.
  kResourcesExhausted
};

// The result of opening a connection: the connection, or the error.
struct OpenResult {
  // The pool owns the connection. Null if none could be opened.
  EngineConnection* connection = nullptr;
  // Meaningful only if `connection` is null.
  OpenError error = OpenError::kRefused;
};

// Sends attempts over connections of one protocol; a subclass creates the connections. Must be used on the
// event loop's thread. Everything passed to the constructor by reference must outlive the pool.
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
  // Replaces the limits. Connections and attempts that exceed the new limits are left to end.
  void update_limits(const PoolLimits& limits) { limits_ = limits; }
  // Returns the number of attempts that were submitted and have neither ended nor been cancelled.
  [[nodiscard]] std::size_t attempts_in_flight() const { return assignments_.size(); }

 protected:
  // Creates a connection of the subclass's protocol without opening it.
  virtual std::unique_ptr<EngineConnection> create_connection(SlotKey key, EngineId engine) = 0;
  // Returns the maximum number of response bytes that a connection buffers.
  [[nodiscard]] virtual std::size_t input_limit() const = 0;
  // Starts to connect to an engine whose address is known.
  [[nodiscard]] OpenResult open_connection(EngineId engine);

 private:
  friend class EngineConnection;

  // Records which connection carries an attempt.
  struct Assignment {
    // 0 while the attempt waits for a connection.
    SlotKey connection = 0;
    // When the dispatcher submitted the attempt.
    Time submitted_at;
    // The number of connections that closed before any byte of the attempt was sent.
    int failed_connections = 0;
  };
  // The state of an engine whose address is or was known.
  struct Engine {
    explicit Engine(EventLoop& loop) : probe_timer(loop) {}
    SocketAddress address;
    std::vector<SlotKey> connections;
    Timer probe_timer;
    // True if the engine was removed or its drain grace period is about to end.
    bool attempts_stopped = false;
  };

  // These functions are called by the connections.
  void complete_attempt(AttemptKey key, AttemptResult result);
  void report_outcome_later(AttemptKey key, Outcome outcome);
  void retry_unsent_attempt(const EngineConnection& from, const AttemptRequest& request,
                            std::string_view reason);
  void complete_probe(EngineId engine, Outcome outcome, const std::optional<LoadReport>& report);
  void close_connection(SlotKey key, std::string_view reason);
  void log_unresponsive(const EngineConnection& connection);
  void log_command(const EngineConnection& connection, std::string_view command, std::string_view request);
  // Drains all connections to the engine: they take no new attempts and close once their open attempts end.
  void drain_connections(EngineId engine);

  [[nodiscard]] EngineConnection* find_connection(SlotKey key);
  [[nodiscard]] EngineConnection* find_connection_of(AttemptKey key);
  [[nodiscard]] EngineConnection* select_connection(EngineId engine, const Query* query);
  [[nodiscard]] OpenResult select_or_open(const AttemptRequest& request, const Assignment& assignment);
  [[nodiscard]] bool has_responsive_connection(EngineId engine, const EngineConnection& excluded);
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
  // Attempts that wait until a connection can be opened, each for at most the connect timeout. Their number
  // is bounded by the dispatcher's open requests.
  std::deque<AttemptRequest> waiting_;
  Timer waiting_timer_;
  static constexpr int kLateCommandLinesPerSecond = 10;
  LogRateLimiter late_command_log_limiter_{kLateCommandLinesPerSecond};
};

}  // namespace rookproxy
