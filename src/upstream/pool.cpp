#include "upstream/pool.h"

#include <algorithm>
#include <cerrno>

namespace rookproxy {
namespace {
// A connection that has lately carried so many ids is replaced: what it remembers of them must stay small.
constexpr std::size_t kMaxRequestIds = 4096;
// So many connections may end under an order that has not begun to leave, before it is told as 'no
// connection'.
constexpr int kMaxFailedConnections = 3;
constexpr Duration kCapacityRetryInterval = std::chrono::milliseconds(5);

// What says that we lack something, as opposed to a word of the peer's or of the way to it.
bool is_resource_exhaustion(int fault) {
  return fault == EMFILE || fault == ENFILE || fault == ENOBUFS || fault == ENOMEM ||
         fault == EADDRNOTAVAIL || fault == EAGAIN;
}
}  // namespace

void EngineConnection::open(FileDescriptor fd, std::size_t input_limit) {
  stream_ = std::make_unique<Stream>(pool_.loop_, std::move(fd), *this, true, input_limit);
  connect_timer_ = pool_.loop_.run_at(pool_.loop_.now() + pool_.limits_.connect_timeout,
                                      [this] { pool_.close_connection(key_, "connect: timed out"); });
}

// Ids are forgotten once no request can be sent again that long after: connections live for hours.
void EngineConnection::remember_request_id(const AttemptRequest& order) {
  const Time now = pool_.loop_.now();
  while (!request_ids_by_age_.empty() &&
         now - request_ids_by_age_.front().first > pool_.limits_.request_id_retention) {
    used_request_ids_.erase(request_ids_by_age_.front().second);
    request_ids_by_age_.pop_front();
  }
  if (used_request_ids_.insert(order.query->id).second)
    request_ids_by_age_.emplace_back(now, order.query->id);
  if (used_request_ids_.size() >= kMaxRequestIds) draining_ = true;
}

const PoolLimits& EngineConnection::limits() const { return pool_.limits_; }
Time EngineConnection::current_time() const { return pool_.loop_.now(); }
std::uint64_t* EngineConnection::attempts_written_counter() const { return &pool_.metrics_.attempts_written; }

std::size_t EngineConnection::occupancy() const {
  return carries_write_ ? std::max(open_attempts_, limits().preferred_streams_per_connection)
                        : open_attempts_;
}

void EngineConnection::record_activity() { last_activity_ = pool_.loop_.now(); }

void EngineConnection::on_never_sent(const AttemptRequest& order, std::string_view why) {
  pool_.retry_never_sent(*this, order, why);
}

bool EngineConnection::may_start(const AttemptRequest& order) {
  if (pool_.events_.may_start(order.key)) return true;
  pool_.report_outcome_later(order.key, Outcome::kNotSent);
  return false;
}

// An answer that stops halfway leaves all others on its connection waiting behind it.
void EngineConnection::set_response_deadline(Time at) {
  if (std::exchange(response_deadline_, at) == at) return;
  pool_.loop_.cancel(response_timer_);
  if (at == Time::max()) return;
  response_timer_ =
      pool_.loop_.run_at(at, [this] { pool_.close_connection(key_, "an answer that stopped halfway"); });
}

void EngineConnection::on_connected() {
  pool_.loop_.cancel(connect_timer_);
  pool_.schedule_idle_close(*this);
}

void EngineConnection::on_closed(std::string_view why) { pool_.close_connection(key_, why); }

void EngineConnection::report_attempt_end(AttemptKey attempt, AttemptResult end) {
  pool_.assignments_.erase(attempt);
  pool_.events_.on_attempt_ended(attempt, std::move(end));
}

void EngineConnection::report_progress(AttemptKey attempt, routing::AttemptUpdateKind kind, double amount) {
  pool_.events_.on_attempt_note(attempt, kind, amount);
}

void EngineConnection::complete_probe(Outcome outcome, std::optional<LoadReport> report) {
  if (!probing_) return;  // too late: its time-out was reported
  pool_.end_probe(engine_);
  pool_.events_.on_probe_ended(engine_, outcome, report);
}

void EngineConnection::fail_connection(std::string_view why) { pool_.close_connection(key_, why); }

void EngineConnection::release_attempt() {
  if (open_attempts_ > 0 && --open_attempts_ == 0) carries_write_ = false;
  pool_.schedule_idle_close(*this);
}

ConnectionPool::ConnectionPool(EventLoop& loop, Logger& log, EngineTransportCallbacks& events,
                               Metrics& figures, PoolLimits limits)
    : loop_(loop), log_(log), events_(events), metrics_(figures), limits_(limits) {}

ConnectionPool::~ConnectionPool() {
  for (const SlotKey key : connections_.keys()) {
    EngineConnection& connection = *find_connection(key);
    loop_.cancel(connection.connect_timer_);
    loop_.cancel(connection.idle_timer_);
    loop_.cancel(connection.unresponsive_timer_);
    loop_.cancel(connection.response_timer_);
  }
  loop_.cancel(waiting_timer_);
}

EngineConnection* ConnectionPool::find_connection(SlotKey key) {
  auto* found = connections_.find(key);
  return found ? found->get() : nullptr;
}

// The connection with the least on it, of those that have room and never carried this id: attempts of one
// request share it, and an answer to the one must never be taken for the other's.
EngineConnection* ConnectionPool::select_connection(EngineId engine, const Query* query) {
  EngineConnection* best = nullptr;
  for (const SlotKey key : engines_[engine].connections) {
    EngineConnection* connection = find_connection(key);
    if (!connection || connection->draining_) continue;
    if (!connection->can_accept(query)) continue;
    if (query && (connection->open_attempts_ >= limits_.max_streams_per_connection ||
                  connection->used_request_ids_.contains(query->id)))
      continue;
    if (!best || connection->occupancy() < best->occupancy()) best = connection;
  }
  return best;
}

// An idle one to any engine makes room for another.
bool ConnectionPool::close_idle_connection() {
  for (const SlotKey key : connections_.keys()) {
    if (const EngineConnection* idle = find_connection(key);
        idle->open_attempts_ == 0 && !idle->probing_ && !idle->connect_timer_.is_set()) {
      close_connection(key, "room for another");
      return true;
    }
  }
  return false;
}

EngineConnection* ConnectionPool::open_connection(EngineId engine, bool* no_room) {
  FileDescriptor fd;
  bool lack = connections_.size() >= limits_.max_connections && !close_idle_connection();
  while (!lack && !fd) {
    fd = connect_tcp(engines_[engine].address);
    if (fd) break;
    if (!is_resource_exhaustion(errno)) return nullptr;
    lack = !close_idle_connection();
  }
  if (lack) {
    if (no_room) *no_room = true;
    return nullptr;
  }
  const SlotKey key = connections_.insert(nullptr);
  *connections_.find(key) = create_connection(key, engine);
  engines_[engine].connections.push_back(key);
  EngineConnection* connection = find_connection(key);
  connection->open(std::move(fd), input_limit());
  return connection;
}

void ConnectionPool::send(const AttemptRequest& order) { assign(order, {0, loop_.now(), 0}); }

// What is open on a connection ends with it: one spoilt answer must not cost many requests. So few share one,
// and none a load's, which can't be sent again, as far as there are descriptors.
void ConnectionPool::assign(const AttemptRequest& order, Assignment carried) {
  EngineConnection* connection = nullptr;
  bool no_room = false;
  if (order.engine < engines_.size()) {
    connection = select_connection(order.engine, order.query.get());
    const std::size_t most = order.query->writes ? 1 : limits_.preferred_streams_per_connection;
    if (!connection || (connection->occupancy() >= most && carried.failed_connections == 0)) {
      if (EngineConnection* fresh = open_connection(order.engine, &no_room)) connection = fresh;
    }
  }
  if (!connection && no_room && loop_.now() - carried.submitted_at < limits_.connect_timeout) {
    carried.connection = 0;
    assignments_[order.key] = carried;
    waiting_.push_back(order);
    if (!waiting_timer_.is_set())
      waiting_timer_ = loop_.run_at(loop_.now() + kCapacityRetryInterval, [this] { assign_waiting(); });
    return;
  }
  // Refused at once is the engine's word. That we have no room is none.
  if (!connection)
    return report_outcome_later(order.key, no_room ? Outcome::kNotSent : Outcome::kConnectFailed);
  loop_.cancel(connection->idle_timer_);
  ++connection->open_attempts_;
  connection->carries_write_ |= order.query->writes;
  connection->remember_request_id(order);
  carried.connection = connection->key_;
  assignments_[order.key] = carried;
  connection->start_attempt(order);
  if (connection->open_attempts_ == 1) watch_responsiveness(connection->key_);
}

// No byte of it has left. Told after this call, which may be the core's own.
void ConnectionPool::report_outcome_later(AttemptKey key, Outcome outcome) {
  assignments_.erase(key);
  loop_.defer([this, key, outcome] { events_.on_attempt_ended(key, {outcome, std::nullopt, ""}); });
}

void ConnectionPool::assign_waiting() {
  waiting_timer_ = {};
  for (const AttemptRequest& order : std::exchange(waiting_, {})) {
    const auto found = assignments_.find(order.key);
    if (found == assignments_.end()) continue;  // called off meanwhile
    const Assignment carried = found->second;
    if (events_.may_start(order.key)) {
      assign(order, carried);
    } else {
      report_outcome_later(order.key, Outcome::kNotSent);
    }
  }
}

// A connection that was reset while it was new or idle is no word against its engine, and one more that an
// engine won't take is none either while others to it work. Only what fails anew, or was refused with nothing
// else at work there, is told.
void ConnectionPool::retry_never_sent(EngineConnection& from, const AttemptRequest& order,
                                      std::string_view why) {
  const auto found = assignments_.find(order.key);
  if (found == assignments_.end()) return;
  Assignment carried = found->second;
  const auto& keys = engines_[order.engine].connections;
  const bool others_work = std::any_of(keys.begin(), keys.end(), [&](SlotKey key) {
    const EngineConnection* other = find_connection(key);
    return other != &from && !other->draining_ &&
           loop_.now() - other->last_activity_ < limits_.connect_timeout;
  });
  const bool was_up = from.stream_->is_connected() && !from.draining_;
  if (++carried.failed_connections >= kMaxFailedConnections || !(was_up || others_work)) {
    return from.report_attempt_end(order.key, {Outcome::kConnectFailed, std::nullopt, std::string(why)});
  }
  found->second.connection = 0;
  loop_.defer([this, again = order, carried] {
    if (!assignments_.contains(again.key)) return;  // called off meanwhile
    if (!events_.may_start(again.key)) return report_outcome_later(again.key, Outcome::kNotSent);
    assign(again, carried);
  });
}

bool ConnectionPool::cancel_if_unsent(AttemptKey key) {
  const auto found = assignments_.find(key);
  if (found == assignments_.end()) return false;
  const EngineConnection* connection = find_connection(found->second.connection);
  if (connection && connection->has_attempt_started(key)) return false;
  return cancel(key);
}

bool ConnectionPool::cancel(AttemptKey key) {
  const auto found = assignments_.find(key);
  if (found == assignments_.end()) return false;
  const Assignment carried = found->second;
  EngineConnection* connection = find_connection(carried.connection);
  assignments_.erase(found);
  if (!connection) return carried.connection == 0;  // between two connections: no byte has left
  // An answer that was lost on its way may have taken the connection with it.
  if (connection->last_activity_ < carried.submitted_at &&
      loop_.now() - carried.submitted_at >= limits_.cancel_unresponsive_timeout) {
    connection->draining_ = true;
  }
  return connection->cancel_attempt(key);
}

void ConnectionPool::set_priority(AttemptKey key, int rank) {
  const auto found = assignments_.find(key);
  if (found == assignments_.end()) return;
  if (EngineConnection* connection = find_connection(found->second.connection))
    connection->set_priority(key, rank);
}

void ConnectionPool::probe(EngineId engine) {
  EngineConnection* connection = engine < engines_.size() ? select_connection(engine, nullptr) : nullptr;
  if (!connection && engine < engines_.size()) connection = open_connection(engine);
  if (!connection) {
    loop_.defer([this, engine] { events_.on_probe_ended(engine, Outcome::kConnectFailed, std::nullopt); });
    return;
  }
  loop_.cancel(connection->idle_timer_);
  connection->probing_ = true;
  connection->probe();
  loop_.cancel(engines_[engine].probe_timer);
  engines_[engine].probe_timer = loop_.run_at(loop_.now() + limits_.probe_timeout, [this, engine] {
    end_probe(engine);
    events_.on_probe_ended(engine, Outcome::kNoResponse, std::nullopt);
  });
}

void ConnectionPool::end_probe(EngineId engine) {
  loop_.cancel(engines_[engine].probe_timer);
  for (const SlotKey key : engines_[engine].connections) {
    EngineConnection* connection = find_connection(key);
    if (connection && std::exchange(connection->probing_, false)) schedule_idle_close(*connection);
  }
}

void ConnectionPool::set_engine_address(EngineId engine, const SocketAddress& address) {
  if (engine >= engines_.size()) engines_.resize(engine + 1);
  engines_[engine].address = address;
  // Another process answers there now, or none: what runs on the old connections ends with them.
  for (const SlotKey key : std::vector<SlotKey>(engines_[engine].connections)) {
    if (EngineConnection* connection = find_connection(key)) {
      connection->end_never_sent();
      connection->draining_ = true;
      schedule_idle_close(*connection);
    }
  }
}

void ConnectionPool::stop_new_attempts(EngineId engine) {
  if (engine >= engines_.size()) return;
  set_engine_address(engine, engines_[engine].address);
}

// Nothing open: a retired connection goes, another after a while of idleness.
void ConnectionPool::schedule_idle_close(EngineConnection& connection) {
  loop_.cancel(connection.idle_timer_);
  if (connection.open_attempts_ > 0 || connection.probing_) return;
  loop_.cancel(connection.unresponsive_timer_);
  const Duration pause = connection.draining_ ? Duration(0) : limits_.idle_timeout;
  connection.idle_timer_ =
      loop_.run_at(loop_.now() + pause, [this, key = connection.key_] { close_connection(key, "idle"); });
}

// Notes come every half second while work runs. A connection that says nothing for several of them, with
// attempts out, takes no more: the next attempt dials, and a machine that has vanished is found out at once,
// with proof that nothing ran.
void ConnectionPool::watch_responsiveness(SlotKey key) {
  EngineConnection* connection = find_connection(key);
  if (!connection || limits_.unresponsive_timeout == Duration(0)) return;
  loop_.cancel(connection->unresponsive_timer_);
  connection->unresponsive_timer_ =
      loop_.run_at(loop_.now() + limits_.unresponsive_timeout, [this, key, from = loop_.now()] {
        EngineConnection* quiet = find_connection(key);
        if (!quiet) return;
        if (quiet->last_activity_ < from && !std::exchange(quiet->draining_, true)) {
          log_.write(LogLevel::kNotice, "link", "connection fell silent",
                     {{"engine", engines_[quiet->engine_].address.to_string()}});
        }
        watch_responsiveness(key);
      });
}

void ConnectionPool::close_connection(SlotKey key, std::string_view why) {
  EngineConnection* connection = find_connection(key);
  if (!connection) return;
  const EngineId engine = connection->engine_;
  loop_.cancel(connection->connect_timer_);
  loop_.cancel(connection->idle_timer_);
  loop_.cancel(connection->unresponsive_timer_);
  loop_.cancel(connection->response_timer_);
  std::erase(engines_[engine].connections, key);
  if (connection->open_attempts_ > 0 || connection->probing_) {
    log_.write(LogLevel::kInfo, "link", why,
               {{"engine", engines_[engine].address.to_string()},
                {"open", std::to_string(connection->open_attempts_)}});
  }
  const bool probing = std::exchange(connection->probing_, false);
  const bool connected = connection->stream_->is_connected();
  connection->on_connection_lost(why);
  connection->stream_->close();
  if (probing) {
    loop_.cancel(engines_[engine].probe_timer);
    events_.on_probe_ended(engine, connected ? Outcome::kConnectionLost : Outcome::kConnectFailed,
                           std::nullopt);
  }
  // It may be in the middle of a call of its own: destroyed when this turn's calls are through.
  auto kept = std::make_shared<std::unique_ptr<EngineConnection>>(std::move(*connections_.take(key)));
  loop_.defer([kept] {});
}

}  // namespace rookproxy
