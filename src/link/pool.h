// Connections to engines, whatever they speak: dialling, choosing one for an attempt, silence, idleness,
// budgets.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

#include "core/figures.h"
#include "core/interfaces.h"
#include "log/log.h"
#include "net/stream.h"

namespace rookproxy {

struct PoolLimits {
  std::size_t most_connections = 256;  // to all engines together
  std::size_t per_connection = 1;      // attempts that one carries at a time ...
  std::size_t spread = 1;              // ... and while there is room for more connections
  Duration dial_timeout = std::chrono::milliseconds(250);
  Duration idle = std::chrono::seconds(10);            // closed after this, well before the engine would
  Duration silence = std::chrono::milliseconds(1500);  // with attempts out: it takes no more. 0: never
  Duration probe_timeout = std::chrono::milliseconds(250);
  // An answer that has begun is whole after this, or its connection is spoilt. Of pages, the next that its
  // attempt still lacks is there after this.
  Duration answer_time = std::chrono::milliseconds(250), page_time = std::chrono::milliseconds(750);
  // Called off after this without a word on its connection: nobody can tell if that still works.
  Duration doubt = std::chrono::milliseconds(250);
  Duration ids_kept = std::chrono::seconds(30);  // the longest that a request may be sent again
};

class Pool;

// One connection. What it speaks is the subclass's matter; what it carries is known here.
class LinkConnection : public StreamUser {
 public:
  LinkConnection(Pool& pool, SlotKey key, EngineId engine) : pool_(pool), key_(key), engine_(engine) {}
  virtual ~LinkConnection() = default;
  void open(Fd fd, std::size_t input_limit);

  virtual void start(const Order& order) = 0;
  virtual bool withdraw(AttemptKey attempt) = 0;  // true: no byte of it had left
  virtual bool has_begun(AttemptKey attempt) const = 0;
  virtual void set_rank(AttemptKey, int) {}
  virtual void probe() = 0;
  // Ends, as never run, what has not begun to leave.
  virtual void drop_unsent() = 0;
  // The stream is gone: whatever is out ends.
  virtual void lost(std::string_view why) = 0;
  virtual bool takes(const Query*) const { return true; }  // none: a probe

  void on_connected() override;
  void on_closed(std::string_view why) final;

 protected:
  friend class Pool;
  void carry(const Order& order);
  void note(AttemptKey attempt, lemonshift::NoteKind kind, double amount);
  void probe_answered(Outcome outcome, std::optional<LoadReport> report);
  void break_off(std::string_view why);
  // No byte of it has left: it goes over another connection, or provably never ran.
  void unsent(const Order& order, std::string_view why);
  // Asked right before its first byte is handed to the kernel. If not, it is over here, and told after this
  // call.
  bool may_begin(const Order& order);
  // What has come of an answer must be whole by then, or the connection is given up. Time::max(): nothing is
  // due.
  void due_at(Time at);
  void attempt_over();  // one less open
  void report(AttemptKey attempt, AttemptEnd end);
  void heard();
  // How much of its room is taken: a load keeps others off while there are other connections.
  std::size_t load() const;
  const PoolLimits& limits() const;
  Time pool_now() const;
  // Counts up when an attempt has been written to its last byte.
  std::uint64_t* attempts_written() const;

  Pool& pool_;
  SlotKey key_;
  EngineId engine_;
  std::unique_ptr<Stream> stream_;
  std::size_t open_ = 0;
  bool writes_ = false;   // something that can't be sent again is open
  bool retired_ = false;  // takes nothing new; closed once nothing is open
  bool probing_ = false;

 private:
  std::unordered_set<std::string> used_ids_;
  std::deque<std::pair<Time, std::string>> ids_by_age_;
  Time heard_at_{};
  Time due_at_ = Time::max();
  TimerKey dial_timer_{}, idle_timer_{}, silence_timer_{}, due_timer_{};
};

class Pool : public EngineLinks {
 public:
  Pool(Loop& loop, Log& log, LinkEvents& events, Figures& figures, PoolLimits limits);
  virtual ~Pool();

  void send(const Order& order) override;
  bool withdraw(AttemptKey key) override;
  bool take_back(AttemptKey key) override;
  void set_rank(AttemptKey key, int rank) override;
  void probe(EngineId engine) override;
  void engine_at(EngineId engine, const Endpoint& address) override;
  void engine_closed(EngineId engine) override;
  // Other limits from now on; what is open beyond them is left to end.
  void change(const PoolLimits& limits) { limits_ = limits; }
  // What was handed over and has neither ended nor been taken back.
  std::size_t attempts_carried() const { return carried_by_.size(); }

 protected:
  friend class LinkConnection;
  virtual std::unique_ptr<LinkConnection> make(SlotKey key, EngineId engine) = 0;
  virtual std::size_t input_limit() const = 0;
  // None: refused at once, or there is no room for it, which is told in `no_room`.
  LinkConnection* dial(EngineId engine, bool* no_room = nullptr);

  Loop& loop_;
  Log& log_;
  LinkEvents& events_;
  Figures& figures_;
  PoolLimits limits_;

 private:
  struct Carried {
    SlotKey connection = 0;
    Time since;     // handed over by the core
    int tries = 0;  // connections that ended before a byte of it had left
  };
  struct Engine {
    Endpoint address;
    std::vector<SlotKey> connections;
    TimerKey probe_timer{};
  };
  LinkConnection* find(SlotKey key);
  LinkConnection* choose(EngineId engine, const Query* query);
  void place(const Order& order, Carried carried);
  void unsent(LinkConnection& from, const Order& order, std::string_view why);
  void not_sent_later(AttemptKey key, Outcome outcome);
  void place_held();
  bool drop_idle();
  void drop(SlotKey key, std::string_view why);
  void watch_silence(SlotKey key);
  void rest(LinkConnection& connection);
  void probe_over(EngineId engine);

  std::vector<Engine> engines_;
  SlotTable<std::unique_ptr<LinkConnection>> connections_;
  std::map<AttemptKey, Carried> carried_by_;
  // Wait for room for a connection, each for a dial's time; bounded by the requests that the core has open.
  std::deque<Order> held_;
  TimerKey held_timer_{};
};

}  // namespace rookproxy
