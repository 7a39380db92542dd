#include "upstream/connection_pool.h"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <string>
#include <utility>

#include "net/event_loop.h"
#include "net/file_descriptor.h"
#include "net/slot_map.h"
#include "net/socket_address.h"
#include "net/sockets.h"
#include "net/system_error_class.h"
#include "upstream/connect_retry.h"

namespace rookproxy {
namespace {

constexpr Duration kResourceRetryInterval = std::chrono::milliseconds(5);

}  // namespace

ConnectionPool::ConnectionPool(EventLoop& loop, Logger& log, EngineTransportCallbacks& callbacks,
                               Metrics& metrics, const PoolLimits& limits)
    : loop_(loop),
      log_(log),
      callbacks_(callbacks),
      metrics_(metrics),
      limits_(limits),
      waiting_timer_(loop) {}

ConnectionPool::~ConnectionPool() = default;

EngineConnection* ConnectionPool::find_connection(SlotKey key) {
  auto* found = connections_.find(key);
  return found ? found->get() : nullptr;
}

EngineConnection* ConnectionPool::find_connection_of(AttemptKey key) {
  const auto found = assignments_.find(key);
  return found == assignments_.end() ? nullptr : find_connection(found->second.connection);
}

// Returns the connection with the lowest occupancy among those that have capacity, or null.
EngineConnection* ConnectionPool::select_connection(EngineId engine, const Query* query) {
  EngineConnection* best = nullptr;
  for (const SlotKey key : engines_[engine].connections) {
    EngineConnection* connection = find_connection(key);
    if (!connection || !connection->has_capacity_for(query)) continue;
    if (!best || connection->occupancy() < best->occupancy()) best = connection;
  }
  return best;
}

// Closes one idle connection of any engine to free its descriptor. Returns false if none is idle.
bool ConnectionPool::close_idle_connection() {
  for (const SlotKey key : connections_.keys()) {
    if (find_connection(key)->is_idle()) {
      close_connection(key, "idle connection closed to make room for a new one");
      return true;
    }
  }
  return false;
}

OpenResult ConnectionPool::open_connection(EngineId engine) {
  if (connections_.size() >= limits_.max_connections && !close_idle_connection()) {
    return {nullptr, OpenError::kResourcesExhausted};
  }
  FileDescriptor socket = connect_tcp(engines_[engine].address);
  while (!socket) {
    // connect() fails with EAGAIN when no local port is free.
    if (!is_resource_exhaustion(errno) && errno != EAGAIN) return {nullptr, OpenError::kRefused};
    if (!close_idle_connection()) return {nullptr, OpenError::kResourcesExhausted};
    socket = connect_tcp(engines_[engine].address);
  }
  const SlotKey key = connections_.insert(nullptr);
  *connections_.find(key) = create_connection(key, engine);
  engines_[engine].connections.push_back(key);
  EngineConnection* connection = find_connection(key);
  connection->open(std::move(socket), input_limit());
  return {connection};
}

void ConnectionPool::send(const AttemptRequest& request) { assign(request, {0, loop_.now(), 0}); }

// All open attempts of a connection fail when it closes, for example after one malformed response. While
// descriptors are available, only a few attempts therefore share a connection, and an attempt that writes
// shares none because it can't be repeated.
OpenResult ConnectionPool::select_or_open(const AttemptRequest& request, const Assignment& assignment) {
  if (request.engine >= engines_.size()) return {};
  EngineConnection* shared = select_connection(request.engine, request.query.get());
  const std::size_t preferred = request.query->writes ? 1 : limits_.preferred_streams_per_connection;
  if (shared && (shared->occupancy() < preferred || assignment.failed_connections > 0)) return {shared};
  const OpenResult opened = open_connection(request.engine);
  return opened.connection ? opened : OpenResult{shared, opened.error};
}

void ConnectionPool::assign(const AttemptRequest& request, Assignment assignment) {
  const OpenResult selected = select_or_open(request, assignment);
  if (selected.connection) {
    assignment.connection = selected.connection->key();
    assignments_[request.key] = assignment;
    selected.connection->assign(request);
    return;
  }
  const bool exhausted = selected.error == OpenError::kResourcesExhausted;
  if (exhausted && loop_.now() - assignment.submitted_at < limits_.connect_timeout) {
    return wait_for_capacity(request, assignment);
  }
  // A refused connection is reported as a failure of the engine; a lack of local resources is not.
  report_outcome_later(request.key, exhausted ? Outcome::kNotSent : Outcome::kConnectFailed);
}

void ConnectionPool::wait_for_capacity(const AttemptRequest& request, Assignment assignment) {
  assignment.connection = 0;
  assignments_[request.key] = assignment;
  waiting_.push_back(request);
  if (!waiting_timer_.is_set()) {
    waiting_timer_.set(loop_.now() + kResourceRetryInterval, [this] { assign_waiting(); });
  }
}

void ConnectionPool::assign_waiting() {
  waiting_timer_.mark_as_run();
  for (const AttemptRequest& request : std::exchange(waiting_, {})) {
    const auto found = assignments_.find(request.key);
    if (found == assignments_.end()) continue;  // The attempt was cancelled while it waited.
    const Assignment assignment = found->second;
    if (callbacks_.may_start(request.key)) {
      assign(request, assignment);
    } else {
      report_outcome_later(request.key, Outcome::kNotSent);
    }
  }
}

void ConnectionPool::complete_attempt(AttemptKey key, AttemptResult result) {
  assignments_.erase(key);
  callbacks_.on_attempt_ended(key, std::move(result));
}

// Reports in a deferred task, because the dispatcher may be in the middle of a call to this pool.
void ConnectionPool::report_outcome_later(AttemptKey key, Outcome outcome) {
  assignments_.erase(key);
  loop_.defer([this, key, outcome] { callbacks_.on_attempt_ended(key, {outcome, std::nullopt, ""}); });
}

bool ConnectionPool::has_responsive_connection(EngineId engine, const EngineConnection& excluded) {
  const std::vector<SlotKey>& keys = engines_[engine].connections;
  return std::any_of(keys.begin(), keys.end(), [&](SlotKey key) {
    const EngineConnection* other = find_connection(key);
    return other != &excluded && !other->is_draining() &&
           loop_.now() - other->last_activity() < limits_.connect_timeout;
  });
}

void ConnectionPool::retry_unsent_attempt(const EngineConnection& from, const AttemptRequest& request,
                                          std::string_view reason) {
  const auto found = assignments_.find(request.key);
  if (found == assignments_.end()) return;
  Assignment assignment = found->second;
  ++assignment.failed_connections;
  const bool was_usable = from.is_connected() && !from.is_draining();
  const bool others_respond = has_responsive_connection(request.engine, from);
  if (!should_retry_connection({assignment.failed_connections, was_usable, others_respond})) {
    return complete_attempt(request.key, {Outcome::kConnectFailed, std::nullopt, std::string(reason)});
  }
  found->second.connection = 0;
  loop_.defer([this, request, assignment] {
    if (!assignments_.contains(request.key)) return;  // The attempt was cancelled in the meantime.
    if (!callbacks_.may_start(request.key)) return report_outcome_later(request.key, Outcome::kNotSent);
    assign(request, assignment);
  });
}

bool ConnectionPool::cancel_if_unsent(AttemptKey key) {
  if (!assignments_.contains(key)) return false;
  const EngineConnection* connection = find_connection_of(key);
  if (connection && connection->has_attempt_started(key)) return false;
  return cancel(key);
}

bool ConnectionPool::cancel(AttemptKey key) {
  const auto found = assignments_.find(key);
  if (found == assignments_.end()) return false;
  const Assignment assignment = found->second;
  EngineConnection* connection = find_connection(assignment.connection);
  assignments_.erase(found);
  // An attempt without a connection has not been sent.
  if (!connection) return assignment.connection == 0;
  // The connection may be broken if it received nothing since the attempt was submitted.
  const bool nothing_received = connection->last_activity() < assignment.submitted_at;
  if (nothing_received && loop_.now() - assignment.submitted_at >= limits_.cancel_unresponsive_timeout) {
    connection->drain();
  }
  return connection->cancel_attempt(key);
}

void ConnectionPool::set_priority(AttemptKey key, int priority) {
  if (EngineConnection* connection = find_connection_of(key)) connection->set_priority(key, priority);
}

void ConnectionPool::probe(EngineId engine) {
  EngineConnection* connection = nullptr;
  if (engine < engines_.size()) {
    connection = select_connection(engine, nullptr);
    if (!connection) connection = open_connection(engine).connection;
  }
  if (!connection) {
    loop_.defer([this, engine] { callbacks_.on_probe_ended(engine, Outcome::kConnectFailed, std::nullopt); });
    return;
  }
  connection->start_probe();
  engines_[engine].probe_timer.set(loop_.now() + limits_.probe_timeout, [this, engine] {
    complete_probe(engine, Outcome::kNoResponse, std::nullopt);
  });
}

void ConnectionPool::complete_probe(EngineId engine, Outcome outcome,
                                    const std::optional<LoadReport>& report) {
  end_probe(engine);
  callbacks_.on_probe_ended(engine, outcome, report);
}

void ConnectionPool::end_probe(EngineId engine) {
  engines_[engine].probe_timer.cancel();
  for (const SlotKey key : engines_[engine].connections) {
    EngineConnection* connection = find_connection(key);
    if (connection && connection->end_probe()) connection->schedule_idle_close();
  }
}

void ConnectionPool::set_engine_address(EngineId engine, const SocketAddress& address) {
  while (engines_.size() <= engine) engines_.emplace_back(loop_);
  engines_[engine].address = address;
  engines_[engine].attempts_stopped = false;
  // The old connections lead to the process at the previous address.
  drain_connections(engine);
}

void ConnectionPool::drain_connections(EngineId engine) {
  for (const SlotKey key : std::vector<SlotKey>(engines_[engine].connections)) {
    if (EngineConnection* connection = find_connection(key)) {
      connection->end_unsent_attempts();
      connection->drain();
      connection->schedule_idle_close();
    }
  }
}

void ConnectionPool::stop_new_attempts(EngineId engine) {
  if (engine >= engines_.size()) return;
  engines_[engine].attempts_stopped = true;
  std::size_t open_attempts = 0;
  for (const SlotKey key : engines_[engine].connections)
    open_attempts += find_connection(key)->open_attempts();
  log_.write(LogLevel::kInfo, "link", "engine takes no new attempts",
             {{"engine", engines_[engine].address.to_string()},
              {"connections", std::to_string(engines_[engine].connections.size())},
              {"open", std::to_string(open_attempts)}});
  drain_connections(engine);
}

// Commands about attempts that still run are sent to an engine even after it stopped taking new attempts;
// they are logged.
void ConnectionPool::log_command(const EngineConnection& connection, std::string_view command,
                                 std::string_view request) {
  const Engine& engine = engines_[connection.engine()];
  if (!engine.attempts_stopped || !late_command_log_limiter_.allow(loop_.now())) return;
  log_.write(LogLevel::kInfo, "link", "command to an engine that takes no new attempts",
             {{"engine", engine.address.to_string()},
              {"command", std::string(command)},
              {"request", std::string(request)}});
}

void ConnectionPool::log_unresponsive(const EngineConnection& connection) {
  log_.write(LogLevel::kNotice, "link",
             "connection with open attempts received nothing within the unresponsive timeout; draining it",
             {{"engine", engines_[connection.engine()].address.to_string()}});
}

void ConnectionPool::close_connection(SlotKey key, std::string_view reason) {
  EngineConnection* connection = find_connection(key);
  if (!connection) return;
  const EngineId engine = connection->engine();
  connection->cancel_timers();
  std::erase(engines_[engine].connections, key);
  if (connection->open_attempts() > 0 || connection->is_probing()) {
    log_.write(LogLevel::kInfo, "link", reason,
               {{"engine", engines_[engine].address.to_string()},
                {"open", std::to_string(connection->open_attempts())}});
  }
  const bool was_probing = connection->end_probe();
  const bool was_connected = connection->is_connected();
  connection->close(reason);
  if (was_probing) {
    engines_[engine].probe_timer.cancel();
    callbacks_.on_probe_ended(engine, was_connected ? Outcome::kConnectionLost : Outcome::kConnectFailed,
                              std::nullopt);
  }
  // The connection may be in the middle of one of its own calls, so it is destroyed in a deferred task.
  auto closed = std::make_shared<std::unique_ptr<EngineConnection>>(std::move(*connections_.take(key)));
  loop_.defer([closed] {});
}

}  // namespace rookproxy
