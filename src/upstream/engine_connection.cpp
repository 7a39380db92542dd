#include "upstream/engine_connection.h"

#include <algorithm>
#include <utility>

#include "net/file_descriptor.h"
#include "net/slot_map.h"
#include "net/sockets.h"
#include "upstream/connection_pool.h"

namespace rookproxy {

EngineConnection::EngineConnection(ConnectionPool& pool, SlotKey key, EngineId engine)
    : pool_(pool),
      key_(key),
      engine_(engine),
      connect_timer_(pool.loop_),
      idle_timer_(pool.loop_),
      response_timer_(pool.loop_),
      responsiveness_(pool.loop_, pool.limits_, [this] { on_unresponsive(); }) {}

void EngineConnection::open(FileDescriptor socket, std::size_t input_limit) {
  local_port_ = rookproxy::local_port(socket);
  stream_ = std::make_unique<Stream>(pool_.loop_, std::move(socket), *this, true, input_limit);
  connect_timer_.set(current_time() + limits().connect_timeout,
                     [this] { pool_.close_connection(key_, "connect: timed out"); });
}

void EngineConnection::assign(const AttemptRequest& request) {
  idle_timer_.cancel();
  ++open_attempts_;
  carries_write_ |= request.query->writes;
  request_ids_.add(request.query->id, current_time(), limits().request_id_retention);
  if (request_ids_.is_full()) draining_ = true;
  start_attempt(request);
  if (open_attempts_ == 1) responsiveness_.start();
}

void EngineConnection::start_probe() {
  idle_timer_.cancel();
  probing_ = true;
  probe();
}

bool EngineConnection::end_probe() { return std::exchange(probing_, false); }

void EngineConnection::schedule_idle_close() {
  idle_timer_.cancel();
  if (open_attempts_ > 0 || probing_) return;
  responsiveness_.stop();
  const Duration timeout = draining_ ? Duration(0) : limits().idle_timeout;
  idle_timer_.set(current_time() + timeout, [this] { pool_.close_connection(key_, "idle"); });
}

void EngineConnection::cancel_timers() {
  connect_timer_.cancel();
  idle_timer_.cancel();
  response_timer_.cancel();
  responsiveness_.stop();
}

void EngineConnection::close(std::string_view reason) {
  open_attempts_ = 0;
  on_connection_lost(reason);
  stream_->close();
}

bool EngineConnection::has_capacity_for(const Query* query) const {
  if (draining_ || !can_accept(query)) return false;
  if (!query) return true;
  return open_attempts_ < limits().max_streams_per_connection && !request_ids_.contains(query->id);
}

std::size_t EngineConnection::occupancy() const {
  return carries_write_ ? std::max(open_attempts_, limits().preferred_streams_per_connection)
                        : open_attempts_;
}

void EngineConnection::on_connected() {
  connect_timer_.cancel();
  schedule_idle_close();
}

void EngineConnection::on_closed(std::string_view reason) { pool_.close_connection(key_, reason); }

void EngineConnection::complete_attempt(AttemptKey attempt, AttemptResult result) {
  pool_.complete_attempt(attempt, std::move(result));
}

void EngineConnection::report_update(AttemptKey attempt, routing::AttemptUpdateKind kind, double amount) {
  pool_.callbacks_.on_attempt_update(attempt, kind, amount);
}

void EngineConnection::complete_probe(Outcome outcome, const std::optional<LoadReport>& report) {
  // The probe has already been reported as timed out.
  if (!probing_) return;
  pool_.complete_probe(engine_, outcome, report);
}

void EngineConnection::fail_connection(std::string_view reason) { pool_.close_connection(key_, reason); }

void EngineConnection::retry_unsent_attempt(const AttemptRequest& request, std::string_view reason) {
  pool_.retry_unsent_attempt(*this, request, reason);
}

bool EngineConnection::may_start(const AttemptRequest& request) {
  if (pool_.callbacks_.may_start(request.key)) return true;
  pool_.report_outcome_later(request.key, Outcome::kNotSent);
  return false;
}

// An incomplete response blocks all other responses on its connection.
void EngineConnection::set_response_deadline(Time deadline) {
  if (std::exchange(response_deadline_, deadline) == deadline) return;
  response_timer_.cancel();
  if (deadline == Time::max()) return;
  response_timer_.set(deadline,
                      [this] { pool_.close_connection(key_, "response not complete within its deadline"); });
}

void EngineConnection::release_attempt() {
  if (open_attempts_ > 0 && --open_attempts_ == 0) carries_write_ = false;
  schedule_idle_close();
}

const PoolLimits& EngineConnection::limits() const { return pool_.limits_; }

Time EngineConnection::current_time() const { return pool_.loop_.now(); }

std::uint64_t* EngineConnection::attempts_written_counter() const { return &pool_.metrics_.attempts_written; }

void EngineConnection::log_command(std::string_view command, std::string_view request) const {
  pool_.log_command(*this, command, request);
}

void EngineConnection::on_unresponsive() {
  if (std::exchange(draining_, true)) return;
  pool_.log_unresponsive(*this);
}

}  // namespace rookproxy
