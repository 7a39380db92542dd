// One connection to an engine, whatever protocol it speaks.
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

// The state that every connection has; a subclass speaks the protocol. It is owned by the pool, belongs to
// the loop's thread, and is destroyed in a deferred task, since it may be closed in the middle of a call of
// its own.
class EngineConnection : public StreamHandler {
 public:
  EngineConnection(ConnectionPool& pool, SlotKey key, EngineId engine);
  virtual ~EngineConnection() = default;
  EngineConnection(const EngineConnection&) = delete;
  EngineConnection& operator=(const EngineConnection&) = delete;

  // Takes ownership of a socket that connects, and closes the connection if it has not connected in time.
  void open(FileDescriptor socket, std::size_t input_limit);
  // Sends the attempt, or queues it until it can be sent.
  void assign(const AttemptRequest& request);
  // Starts a probe; its result goes to the pool's callbacks.
  void start_probe();
  // True if a probe was running, which is then over.
  [[nodiscard]] bool end_probe();
  // Takes no more attempts from here on, and is closed once none is open.
  void drain() { draining_ = true; }
  // Closes the connection once it has been idle for long enough, or at once if it is draining.
  void schedule_idle_close();
  // Stops all timers: nothing may be called back on a connection that was closed.
  void cancel_timers();
  // Ends everything that is open, and the stream.
  void close(std::string_view reason);

  [[nodiscard]] SlotKey key() const { return key_; }
  [[nodiscard]] EngineId engine() const { return engine_; }
  [[nodiscard]] std::size_t open_attempts() const { return open_attempts_; }
  [[nodiscard]] bool is_draining() const { return draining_; }
  [[nodiscard]] bool is_probing() const { return probing_; }
  [[nodiscard]] bool is_connected() const { return stream_->is_connected(); }
  // Nothing is open on it, and it is not being set up.
  [[nodiscard]] bool is_idle() const { return open_attempts_ == 0 && !probing_ && !connect_timer_.is_set(); }
  // True if it has room for an attempt of this query; none: for a probe.
  [[nodiscard]] bool has_capacity_for(const Query* query) const;
  // How many streams are taken: an attempt that writes counts as all that the pool prefers to share one
  // connection, which keeps others off it while there are more connections to be had.
  [[nodiscard]] std::size_t occupancy() const;
  [[nodiscard]] Time last_activity() const { return responsiveness_.last_activity(); }

  // The attempt is over for the dispatcher, and nothing is reported. True if no byte of it had left.
  [[nodiscard]] virtual bool cancel_attempt(AttemptKey attempt) = 0;
  // True once a byte of it was handed to the kernel.
  [[nodiscard]] virtual bool has_attempt_started(AttemptKey attempt) const = 0;
  // Changes the priority of an open attempt, where the protocol can.
  virtual void set_priority(AttemptKey, int) {}
  // Ends, as not sent, the attempts of which no byte has left.
  virtual void end_never_sent() = 0;

  void on_connected() override;
  void on_closed(std::string_view reason) final;

 protected:
  // Sends the attempt, or queues it.
  virtual void start_attempt(const AttemptRequest& request) = 0;
  // Asks the engine how it is.
  virtual void probe() = 0;
  // The stream is gone: every open attempt ends, by retry_never_sent() or complete_attempt().
  virtual void on_connection_lost(std::string_view reason) = 0;
  // True if the protocol's state allows a further attempt of this query; none: a probe.
  [[nodiscard]] virtual bool can_accept(const Query*) const { return true; }

  // Reports how an attempt ended.
  void complete_attempt(AttemptKey attempt, AttemptResult result);
  // Reports what an engine says of an attempt that runs.
  void report_update(AttemptKey attempt, routing::AttemptUpdateKind kind, double amount);
  // Reports the result of the probe; too late a one is ignored.
  void complete_probe(Outcome outcome, const std::optional<LoadReport>& report);
  // The peer broke the protocol, or the connection is of no more use: closes it.
  void fail_connection(std::string_view reason);
  // No byte of the attempt has left: it goes to another connection, or ends as one that provably never ran.
  void retry_never_sent(const AttemptRequest& request, std::string_view reason);
  // Asked right before an attempt's first byte is handed to the kernel. If not, the attempt is over here,
  // which is reported after this call.
  [[nodiscard]] bool may_start(const AttemptRequest& request);
  // What has come of a response has to be complete by then, or the connection is closed. Time::max(): nothing
  // is expected.
  void set_response_deadline(Time deadline);
  // One attempt less is open.
  void release_attempt();
  // Something was received.
  void record_activity() { responsiveness_.record_activity(); }
  [[nodiscard]] const PoolLimits& limits() const;
  [[nodiscard]] Time current_time() const;
  // Logs a command about a request that is written to an engine that takes no new attempts.
  void log_command(std::string_view command, std::string_view request) const;
  // Counts the attempts that were written to their last byte.
  [[nodiscard]] std::uint64_t* attempts_written_counter() const;
  [[nodiscard]] Stream& stream() { return *stream_; }
  [[nodiscard]] const Stream& stream() const { return *stream_; }

 private:
  void on_unresponsive();

  ConnectionPool& pool_;
  SlotKey key_;
  EngineId engine_;
  std::unique_ptr<Stream> stream_;
  std::size_t open_attempts_ = 0;
  bool carries_write_ = false;  // an attempt that can't be sent again is open
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
