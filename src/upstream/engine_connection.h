// The protocol-independent part of a connection to an engine.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "dispatcher/engine_endpoint.h"
#include "dispatcher/engine_transport.h"
#include "dispatcher/request.h"
#include "dispatcher/routing_time.h"
#include "net/event_loop.h"
#include "net/file_descriptor.h"
#include "net/slot_map.h"
#include "net/stream.h"
#include "net/timer.h"
#include "upstream/pool_limits.h"
#include "upstream/request_id_history.h"
#include "upstream/responsiveness_monitor.h"

namespace rookproxy {

class ConnectionPool;

// Holds the state common to all protocols; a subclass implements the protocol. The pool owns the connection,
// which must be used on the event loop's thread. It is destroyed in a deferred task, because it may be closed
// in the middle of one of its own calls.
class EngineConnection : public StreamHandler {
 public:
  EngineConnection(ConnectionPool& pool, SlotKey key, EngineId engine);
  virtual ~EngineConnection() = default;
  EngineConnection(const EngineConnection&) = delete;
  EngineConnection& operator=(const EngineConnection&) = delete;

  // Takes ownership of a connecting socket. Closes the connection if it is not established within the connect
  // timeout.
  void open(FileDescriptor socket, std::size_t input_limit);
  // Sends the attempt, or queues it until it can be sent.
  void assign(const AttemptRequest& request);
  // Starts a probe. Its result is reported to the pool's callbacks.
  void start_probe();
  // Ends the running probe. Returns false if there was none.
  [[nodiscard]] bool end_probe();
  // Stops taking attempts; the connection is closed once none is open.
  void drain() { draining_ = true; }
  // Closes the connection after the idle timeout, or immediately if it is draining.
  void schedule_idle_close();
  // Stops all timers, so that no callback runs on a closed connection.
  void cancel_timers();
  // Ends all open attempts and closes the stream.
  void close(std::string_view reason);

  [[nodiscard]] SlotKey key() const { return key_; }
  [[nodiscard]] EngineId engine() const { return engine_; }
  [[nodiscard]] std::size_t open_attempts() const { return open_attempts_; }
  [[nodiscard]] bool is_draining() const { return draining_; }
  [[nodiscard]] bool is_probing() const { return probing_; }
  [[nodiscard]] bool is_connected() const { return stream_->is_connected(); }
  // True if no attempt or probe is open and the connection is established.
  [[nodiscard]] bool is_idle() const { return open_attempts_ == 0 && !probing_ && !connect_timer_.is_set(); }
  // Returns true if the connection can take an attempt of `query`, or a probe if `query` is null.
  [[nodiscard]] bool has_capacity_for(const Query* query) const;
  // Returns the number of streams in use. An attempt that writes counts as the preferred number of streams
  // per connection, so that other attempts avoid this connection while more connections can be opened.
  [[nodiscard]] std::size_t occupancy() const;
  [[nodiscard]] Time last_activity() const { return responsiveness_.last_activity(); }

  // Cancels the attempt without reporting an outcome. Returns true if no byte of it was sent.
  [[nodiscard]] virtual bool cancel_attempt(AttemptKey attempt) = 0;
  // Returns true once a byte of the attempt was passed to the kernel.
  [[nodiscard]] virtual bool has_attempt_started(AttemptKey attempt) const = 0;
  // Changes the priority of an open attempt if the protocol supports it.
  virtual void set_priority(AttemptKey, int) {}
  // Ends the attempts of which no byte was sent, with the outcome kNotSent.
  virtual void end_unsent_attempts() = 0;

  void on_connected() override;
  void on_closed(std::string_view reason) final;

 protected:
  // Sends the attempt or queues it.
  virtual void start_attempt(const AttemptRequest& request) = 0;
  // Sends a health check to the engine.
  virtual void probe() = 0;
  // Called when the stream is closed. Must end every open attempt by retry_unsent_attempt() or
  // complete_attempt().
  virtual void on_connection_lost(std::string_view reason) = 0;
  // Returns true if the protocol's state allows another attempt of the query, or a probe if it is null.
  [[nodiscard]] virtual bool can_accept(const Query*) const { return true; }

  // Reports the result of an attempt.
  void complete_attempt(AttemptKey attempt, AttemptResult result);
  // Reports an engine's update about a running attempt.
  void report_update(AttemptKey attempt, routing::AttemptUpdateKind kind, double amount);
  // Reports the result of the probe. A result after the probe's timeout is ignored.
  void complete_probe(Outcome outcome, const std::optional<LoadReport>& report);
  // Closes the connection after a protocol error, or when it can't be used any more.
  void fail_connection(std::string_view reason);
  // Retries an attempt of which no byte was sent on another connection, or ends it as one that can't have
  // run.
  void retry_unsent_attempt(const AttemptRequest& request, std::string_view reason);
  // Must be called immediately before the attempt's first byte is passed to the kernel. If it returns false,
  // the attempt must not be sent; its outcome kNotSent is reported in a deferred task.
  [[nodiscard]] bool may_start(const AttemptRequest& request);
  // Closes the connection if the current response is not complete by `deadline`. Time::max() cancels the
  // deadline.
  void set_response_deadline(Time deadline);
  // Decrements the number of open attempts.
  void release_attempt();
  // Records that data was received.
  void record_activity() { responsiveness_.record_activity(); }
  [[nodiscard]] const PoolLimits& limits() const;
  [[nodiscard]] Time current_time() const;
  // Returns the dispatcher's port of the connection.
  [[nodiscard]] std::uint16_t local_port() const { return local_port_; }
  // Logs a command about a request if it is sent to an engine that takes no new attempts.
  void log_command(std::string_view command, std::string_view request) const;
  // Returns the counter of attempts that were passed to the kernel completely.
  [[nodiscard]] std::uint64_t* attempts_written_counter() const;
  [[nodiscard]] Stream& stream() { return *stream_; }
  [[nodiscard]] const Stream& stream() const { return *stream_; }

 private:
  void on_unresponsive();

  ConnectionPool& pool_;
  SlotKey key_;
  EngineId engine_;
  std::unique_ptr<Stream> stream_;
  std::uint16_t local_port_ = 0;
  std::size_t open_attempts_ = 0;
  // True if an open attempt writes and so can't be repeated.
  bool carries_write_ = false;
  bool draining_ = false;
  bool probing_ = false;
  RequestIdHistory request_ids_;
  Time response_deadline_ = Time::max();
  Timer connect_timer_;
  Timer idle_timer_;
  Timer response_timer_;
  ResponsivenessMonitor responsiveness_;
};

}  // namespace rookproxy
