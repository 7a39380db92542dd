#include "link/pool.h"

#include <algorithm>
#include <cerrno>

namespace rookproxy {
namespace {
// A connection that has lately carried so many ids is replaced: what it remembers of them must stay small.
constexpr std::size_t kMostIds = 4096;
// So many connections may end under an order that has not begun to leave, before it is told as 'no
// connection'.
constexpr int kMostTries = 3;
constexpr Duration kRoomPause = std::chrono::milliseconds(5);

// What says that we lack something, as opposed to a word of the peer's or of the way to it.
bool is_our_lack(int fault) {
  return fault == EMFILE || fault == ENFILE || fault == ENOBUFS || fault == ENOMEM ||
         fault == EADDRNOTAVAIL || fault == EAGAIN;
}
}  // namespace

void LinkConnection::open(Fd fd, std::size_t input_limit) {
  stream_ = std::make_unique<Stream>(pool_.loop_, std::move(fd), *this, true, input_limit);
  dial_timer_ = pool_.loop_.at(pool_.loop_.now() + pool_.limits_.dial_timeout,
                               [this] { pool_.drop(key_, "connect: timed out"); });
}

// Ids are forgotten once no request can be sent again that long after: connections live for hours.
void LinkConnection::carry(const Order& order) {
  const Time now = pool_.loop_.now();
  while (!ids_by_age_.empty() && now - ids_by_age_.front().first > pool_.limits_.ids_kept) {
    used_ids_.erase(ids_by_age_.front().second);
    ids_by_age_.pop_front();
  }
  if (used_ids_.insert(order.query->id).second) ids_by_age_.emplace_back(now, order.query->id);
  if (used_ids_.size() >= kMostIds) retired_ = true;
}

const PoolLimits& LinkConnection::limits() const { return pool_.limits_; }
Time LinkConnection::pool_now() const { return pool_.loop_.now(); }
std::uint64_t* LinkConnection::attempts_written() const { return &pool_.figures_.attempts_written; }

std::size_t LinkConnection::load() const { return writes_ ? std::max(open_, limits().spread) : open_; }

void LinkConnection::heard() { heard_at_ = pool_.loop_.now(); }

void LinkConnection::unsent(const Order& order, std::string_view why) { pool_.unsent(*this, order, why); }

bool LinkConnection::may_begin(const Order& order) {
  if (pool_.events_.may_begin(order.key)) return true;
  pool_.not_sent_later(order.key, Outcome::kNotSent);
  return false;
}

// An answer that stops halfway leaves all others on its connection waiting behind it.
void LinkConnection::due_at(Time at) {
  if (std::exchange(due_at_, at) == at) return;
  pool_.loop_.cancel(due_timer_);
  if (at == Time::max()) return;
  due_timer_ = pool_.loop_.at(at, [this] { pool_.drop(key_, "an answer that stopped halfway"); });
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
  if (open_ > 0 && --open_ == 0) writes_ = false;
  pool_.rest(*this);
}

Pool::Pool(Loop& loop, Log& log, LinkEvents& events, Figures& figures, PoolLimits limits)
    : loop_(loop), log_(log), events_(events), figures_(figures), limits_(limits) {}

Pool::~Pool() {
  for (const SlotKey key : connections_.keys()) {
    LinkConnection& connection = *find(key);
    loop_.cancel(connection.dial_timer_);
    loop_.cancel(connection.idle_timer_);
    loop_.cancel(connection.silence_timer_);
    loop_.cancel(connection.due_timer_);
  }
  loop_.cancel(held_timer_);
}

LinkConnection* Pool::find(SlotKey key) {
  auto* found = connections_.find(key);
  return found ? found->get() : nullptr;
}

// The connection with the least on it, of those that have room and never carried this id: attempts of one
// request share it, and an answer to the one must never be taken for the other's.
LinkConnection* Pool::choose(EngineId engine, const Query* query) {
  LinkConnection* best = nullptr;
  for (const SlotKey key : engines_[engine].connections) {
    LinkConnection* connection = find(key);
    if (!connection || connection->retired_) continue;
    if (!connection->takes(query)) continue;
    if (query && (connection->open_ >= limits_.per_connection || connection->used_ids_.contains(query->id)))
      continue;
    if (!best || connection->load() < best->load()) best = connection;
  }
  return best;
}

// An idle one to any engine makes room for another.
bool Pool::drop_idle() {
  for (const SlotKey key : connections_.keys()) {
    if (const LinkConnection* idle = find(key);
        idle->open_ == 0 && !idle->probing_ && !idle->dial_timer_.second) {
      drop(key, "room for another");
      return true;
    }
  }
  return false;
}

LinkConnection* Pool::dial(EngineId engine, bool* no_room) {
  Fd fd;
  bool lack = connections_.size() >= limits_.most_connections && !drop_idle();
  while (!lack && !fd) {
    fd = connect_tcp(engines_[engine].address);
    if (fd) break;
    if (!is_our_lack(errno)) return nullptr;
    lack = !drop_idle();
  }
  if (lack) {
    if (no_room) *no_room = true;
    return nullptr;
  }
  const SlotKey key = connections_.insert(nullptr);
  *connections_.find(key) = make(key, engine);
  engines_[engine].connections.push_back(key);
  LinkConnection* connection = find(key);
  connection->open(std::move(fd), input_limit());
  return connection;
}

void Pool::send(const Order& order) { place(order, {0, loop_.now(), 0}); }

// What is open on a connection ends with it: one spoilt answer must not cost many requests. So few share one,
// and none a load's, which can't be sent again, as far as there are descriptors.
void Pool::place(const Order& order, Carried carried) {
  LinkConnection* connection = nullptr;
  bool no_room = false;
  if (order.engine < engines_.size()) {
    connection = choose(order.engine, order.query.get());
    const std::size_t most = order.query->writes ? 1 : limits_.spread;
    if (!connection || (connection->load() >= most && carried.tries == 0)) {
      if (LinkConnection* fresh = dial(order.engine, &no_room)) connection = fresh;
    }
  }
  if (!connection && no_room && loop_.now() - carried.since < limits_.dial_timeout) {
    carried.connection = 0;
    carried_by_[order.key] = carried;
    held_.push_back(order);
    if (held_timer_.second == 0) held_timer_ = loop_.at(loop_.now() + kRoomPause, [this] { place_held(); });
    return;
  }
  // Refused at once is the engine's word. That we have no room is none.
  if (!connection) return not_sent_later(order.key, no_room ? Outcome::kNotSent : Outcome::kNoConnection);
  loop_.cancel(connection->idle_timer_);
  ++connection->open_;
  connection->writes_ |= order.query->writes;
  connection->carry(order);
  carried.connection = connection->key_;
  carried_by_[order.key] = carried;
  connection->start(order);
  if (connection->open_ == 1) watch_silence(connection->key_);
}

// No byte of it has left. Told after this call, which may be the core's own.
void Pool::not_sent_later(AttemptKey key, Outcome outcome) {
  carried_by_.erase(key);
  loop_.defer([this, key, outcome] { events_.attempt_ended(key, {outcome, std::nullopt, ""}); });
}

void Pool::place_held() {
  held_timer_ = {};
  for (const Order& order : std::exchange(held_, {})) {
    const auto found = carried_by_.find(order.key);
    if (found == carried_by_.end()) continue;  // called off meanwhile
    const Carried carried = found->second;
    if (events_.may_begin(order.key)) {
      place(order, carried);
    } else {
      not_sent_later(order.key, Outcome::kNotSent);
    }
  }
}

// A connection that was reset while it was new or idle is no word against its engine, and one more that an
// engine won't take is none either while others to it work. Only what fails anew, or was refused with nothing
// else at work there, is told.
void Pool::unsent(LinkConnection& from, const Order& order, std::string_view why) {
  const auto found = carried_by_.find(order.key);
  if (found == carried_by_.end()) return;
  Carried carried = found->second;
  const auto& keys = engines_[order.engine].connections;
  const bool others_work = std::any_of(keys.begin(), keys.end(), [&](SlotKey key) {
    const LinkConnection* other = find(key);
    return other != &from && !other->retired_ && loop_.now() - other->heard_at_ < limits_.dial_timeout;
  });
  const bool was_up = from.stream_->is_connected() && !from.retired_;
  if (++carried.tries >= kMostTries || !(was_up || others_work)) {
    return from.report(order.key, {Outcome::kNoConnection, std::nullopt, std::string(why)});
  }
  found->second.connection = 0;
  loop_.defer([this, again = order, carried] {
    if (!carried_by_.contains(again.key)) return;  // called off meanwhile
    if (!events_.may_begin(again.key)) return not_sent_later(again.key, Outcome::kNotSent);
    place(again, carried);
  });
}

bool Pool::take_back(AttemptKey key) {
  const auto found = carried_by_.find(key);
  if (found == carried_by_.end()) return false;
  const LinkConnection* connection = find(found->second.connection);
  if (connection && connection->has_begun(key)) return false;
  return withdraw(key);
}

bool Pool::withdraw(AttemptKey key) {
  const auto found = carried_by_.find(key);
  if (found == carried_by_.end()) return false;
  const Carried carried = found->second;
  LinkConnection* connection = find(carried.connection);
  carried_by_.erase(found);
  if (!connection) return carried.connection == 0;  // between two connections: no byte has left
  // An answer that was lost on its way may have taken the connection with it.
  if (connection->heard_at_ < carried.since && loop_.now() - carried.since >= limits_.doubt) {
    connection->retired_ = true;
  }
  return connection->withdraw(key);
}

void Pool::set_rank(AttemptKey key, int rank) {
  const auto found = carried_by_.find(key);
  if (found == carried_by_.end()) return;
  if (LinkConnection* connection = find(found->second.connection)) connection->set_rank(key, rank);
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
  if (engine >= engines_.size()) return;
  engine_at(engine, engines_[engine].address);
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
  connection->silence_timer_ = loop_.at(loop_.now() + limits_.silence, [this, key, from = loop_.now()] {
    LinkConnection* quiet = find(key);
    if (!quiet) return;
    if (quiet->heard_at_ < from && !std::exchange(quiet->retired_, true)) {
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
  loop_.cancel(connection->due_timer_);
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
