#include "link/pool.h"

#include <algorithm>

namespace rookproxy {
namespace {
// A connection that has carried so many ids is replaced: what it remembers of them must stay small.
constexpr std::size_t kMostIds = 4096;
}  // namespace

void LinkConnection::open(Fd fd, std::size_t input_limit) {
  stream_ = std::make_unique<Stream>(pool_.loop_, std::move(fd), *this, true, input_limit);
  dial_timer_ = pool_.loop_.at(pool_.loop_.now() + pool_.limits_.dial_timeout,
                               [this] { pool_.drop(key_, "connect: timed out"); });
}

void LinkConnection::on_connected() {
  pool_.loop_.cancel(dial_timer_);
  pool_.rest(*this);
}

void LinkConnection::on_closed(std::string_view why) { pool_.drop(key_, why); }

void LinkConnection::report(AttemptKey attempt, AttemptEnd end) {
  pool_.carried_by_.erase(attempt);
  pool_.events_.attempt_ended(attempt, std::move(end));
}

void LinkConnection::note(AttemptKey attempt, lemonshift::NoteKind kind, double amount) {
  pool_.events_.attempt_noted(attempt, kind, amount);
}

void LinkConnection::probe_answered(Outcome outcome, std::optional<LoadReport> report) {
  if (!probing_) return;  // too late: its time-out was reported
  pool_.probe_over(engine_);
  pool_.events_.probe_ended(engine_, outcome, report);
}

void LinkConnection::break_off(std::string_view why) { pool_.drop(key_, why); }

void LinkConnection::attempt_over() {
  if (open_ > 0) --open_;
  pool_.rest(*this);
}

Pool::Pool(Loop& loop, Log& log, LinkEvents& events, PoolLimits limits)
    : loop_(loop), log_(log), events_(events), limits_(limits) {}

Pool::~Pool() {
  for (const SlotKey key : connections_.keys()) {
    LinkConnection& connection = *find(key);
    loop_.cancel(connection.dial_timer_);
    loop_.cancel(connection.idle_timer_);
    loop_.cancel(connection.silence_timer_);
  }
}

LinkConnection* Pool::find(SlotKey key) {
  auto* found = connections_.find(key);
  return found ? found->get() : nullptr;
}

// A connection with room that never carried this id: attempts of one request share it, and an answer to the
// one must never be taken for the other's.
LinkConnection* Pool::choose(EngineId engine, const Query* query) {
  for (const SlotKey key : engines_[engine].connections) {
    LinkConnection* connection = find(key);
    if (!connection || connection->retired_) continue;
    if (!connection->takes(query)) continue;
    if (query && (connection->open_ >= limits_.per_connection || connection->used_ids_.contains(query->id)))
      continue;
    return connection;
  }
  return nullptr;
}

// At the most connections, an idle one to any engine makes room.
bool Pool::make_room() {
  if (connections_.size() < limits_.most_connections) return true;
  for (const SlotKey key : connections_.keys()) {
    if (const LinkConnection* idle = find(key);
        idle->open_ == 0 && !idle->probing_ && !idle->dial_timer_.second) {
      drop(key, "room for another");
      return true;
    }
  }
  return false;
}

LinkConnection* Pool::dial(EngineId engine) {
  if (!make_room()) return nullptr;
  Fd fd = connect_tcp(engines_[engine].address);
  if (!fd) return nullptr;
  const SlotKey key = connections_.insert(nullptr);
  *connections_.find(key) = make(key, engine);
  engines_[engine].connections.push_back(key);
  LinkConnection* connection = find(key);
  connection->open(std::move(fd), input_limit());
  return connection;
}

void Pool::send(const Order& order) {
  LinkConnection* connection = nullptr;
  if (order.engine < engines_.size()) {
    connection = choose(order.engine, order.query.get());
    if (!connection) connection = dial(order.engine);
  }
  if (!connection) {
    // Refused at once, out of descriptors or out of connections: nothing was sent. Told after this call.
    loop_.defer([this, key = order.key] {
      events_.attempt_ended(key, {Outcome::kNoConnection, std::nullopt, ""});
    });
    return;
  }
  loop_.cancel(connection->idle_timer_);
  ++connection->open_;
  connection->carry(order);
  if (connection->used_ids_.size() >= kMostIds) connection->retired_ = true;
  carried_by_[order.key] = connection->key_;
  connection->start(order);
  if (connection->open_ == 1) watch_silence(connection->key_);
}

bool Pool::withdraw(AttemptKey key) {
  const auto found = carried_by_.find(key);
  if (found == carried_by_.end()) return false;
  LinkConnection* connection = find(found->second);
  carried_by_.erase(found);
  return connection && connection->withdraw(key);
}

void Pool::set_rank(AttemptKey key, int rank) {
  const auto found = carried_by_.find(key);
  if (found == carried_by_.end()) return;
  if (LinkConnection* connection = find(found->second)) connection->set_rank(key, rank);
}

void Pool::probe(EngineId engine) {
  LinkConnection* connection = engine < engines_.size() ? choose(engine, nullptr) : nullptr;
  if (!connection && engine < engines_.size()) connection = dial(engine);
  if (!connection) {
    loop_.defer([this, engine] { events_.probe_ended(engine, Outcome::kNoConnection, std::nullopt); });
    return;
  }
  loop_.cancel(connection->idle_timer_);
  connection->probing_ = true;
  connection->probe();
  loop_.cancel(engines_[engine].probe_timer);
  engines_[engine].probe_timer = loop_.at(loop_.now() + limits_.probe_timeout, [this, engine] {
    probe_over(engine);
    events_.probe_ended(engine, Outcome::kNoAnswer, std::nullopt);
  });
}

void Pool::probe_over(EngineId engine) {
  loop_.cancel(engines_[engine].probe_timer);
  for (const SlotKey key : engines_[engine].connections) {
    LinkConnection* connection = find(key);
    if (connection && std::exchange(connection->probing_, false)) rest(*connection);
  }
}

void Pool::engine_at(EngineId engine, const Endpoint& address) {
  if (engine >= engines_.size()) engines_.resize(engine + 1);
  engines_[engine].address = address;
  // Another process answers there now, or none: what runs on the old connections ends with them.
  for (const SlotKey key : std::vector<SlotKey>(engines_[engine].connections)) {
    if (LinkConnection* connection = find(key)) {
      connection->drop_unsent();
      connection->retired_ = true;
      rest(*connection);
    }
  }
}

void Pool::engine_closed(EngineId engine) {
  if (engine < engines_.size()) engine_at(engine, engines_[engine].address);
}

// Nothing open: a retired connection goes, another after a while of idleness.
void Pool::rest(LinkConnection& connection) {
  loop_.cancel(connection.idle_timer_);
  if (connection.open_ > 0 || connection.probing_) return;
  loop_.cancel(connection.silence_timer_);
  const Duration pause = connection.retired_ ? Duration(0) : limits_.idle;
  connection.idle_timer_ =
      loop_.at(loop_.now() + pause, [this, key = connection.key_] { drop(key, "idle"); });
}

// Notes come every half second while work runs. A connection that says nothing for several of them, with
// attempts out, takes no more: the next attempt dials, and a machine that has vanished is found out at once,
// with proof that nothing ran.
void Pool::watch_silence(SlotKey key) {
  LinkConnection* connection = find(key);
  if (!connection || limits_.silence == Duration(0)) return;
  loop_.cancel(connection->silence_timer_);
  connection->heard_ = false;
  connection->silence_timer_ = loop_.at(loop_.now() + limits_.silence, [this, key] {
    LinkConnection* quiet = find(key);
    if (!quiet) return;
    if (!quiet->heard_ && !std::exchange(quiet->retired_, true)) {
      log_.line(Level::kNotice, "link", "connection fell silent",
                {{"engine", engines_[quiet->engine_].address.text()}});
    }
    watch_silence(key);
  });
}

void Pool::drop(SlotKey key, std::string_view why) {
  LinkConnection* connection = find(key);
  if (!connection) return;
  const EngineId engine = connection->engine_;
  loop_.cancel(connection->dial_timer_);
  loop_.cancel(connection->idle_timer_);
  loop_.cancel(connection->silence_timer_);
  std::erase(engines_[engine].connections, key);
  if (connection->open_ > 0 || connection->probing_) {
    log_.line(Level::kInfo, "link", why,
              {{"engine", engines_[engine].address.text()}, {"open", std::to_string(connection->open_)}});
  }
  const bool probing = std::exchange(connection->probing_, false);
  const bool connected = connection->stream_->is_connected();
  connection->lost(why);
  connection->stream_->close();
  if (probing) {
    loop_.cancel(engines_[engine].probe_timer);
    events_.probe_ended(engine, connected ? Outcome::kConnectionLost : Outcome::kNoConnection, std::nullopt);
  }
  // It may be in the middle of a call of its own: destroyed when this turn's calls are through.
  auto kept = std::make_shared<std::unique_ptr<LinkConnection>>(std::move(*connections_.take(key)));
  loop_.defer([kept] {});
}

}  // namespace rookproxy
