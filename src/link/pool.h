// Connections to engines, whatever they speak: dialling, choosing one for an attempt, silence, idleness,
// budgets.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

#include "core/interfaces.h"
#include "log/log.h"
#include "net/stream.h"

namespace rookproxy {

struct PoolLimits {
  std::size_t most_connections = 256;  // to all engines together
  std::size_t per_connection = 1;      // attempts that one carries at a time
  Duration dial_timeout = std::chrono::milliseconds(250);
  Duration idle = std::chrono::seconds(10);            // closed after this, well before the engine would
  Duration silence = std::chrono::milliseconds(1500);  // with attempts out: it takes no more. 0: never
  Duration probe_timeout = std::chrono::milliseconds(250);
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
  void carry(const Order& order) { used_ids_.insert(order.query->id); }
  void note(AttemptKey attempt, lemonshift::NoteKind kind, double amount);
  void probe_answered(Outcome outcome, std::optional<LoadReport> report);
  void break_off(std::string_view why);
  void attempt_over();  // one less open
  void report(AttemptKey attempt, AttemptEnd end);
  void heard() { heard_ = true; }

  Pool& pool_;
  SlotKey key_;
  EngineId engine_;
  std::unique_ptr<Stream> stream_;
  std::size_t open_ = 0;
  bool retired_ = false;  // takes nothing new; closed once nothing is open
  bool probing_ = false;

 private:
  std::unordered_set<std::string> used_ids_;
  bool heard_ = false;  // since the silence was last looked at
  TimerKey dial_timer_{}, idle_timer_{}, silence_timer_{};
};

class Pool : public EngineLinks {
 public:
  Pool(Loop& loop, Log& log, LinkEvents& events, PoolLimits limits);
  virtual ~Pool();

  void send(const Order& order) override;
  bool withdraw(AttemptKey key) override;
  void set_rank(AttemptKey key, int rank) override;
  void probe(EngineId engine) override;
  void engine_at(EngineId engine, const Endpoint& address) override;
  void engine_closed(EngineId engine) override;

 protected:
  friend class LinkConnection;
  virtual std::unique_ptr<LinkConnection> make(SlotKey key, EngineId engine) = 0;
  virtual std::size_t input_limit() const = 0;
  LinkConnection* dial(EngineId engine);

  Loop& loop_;
  Log& log_;
  LinkEvents& events_;
  PoolLimits limits_;

 private:
  struct Engine {
    Endpoint address;
    std::vector<SlotKey> connections;
    TimerKey probe_timer{};
  };
  LinkConnection* find(SlotKey key);
  LinkConnection* choose(EngineId engine, const Query* query);
  bool make_room();
  void drop(SlotKey key, std::string_view why);
  void watch_silence(SlotKey key);
  void rest(LinkConnection& connection);
  void probe_over(EngineId engine);

  std::vector<Engine> engines_;
  SlotTable<std::unique_ptr<LinkConnection>> connections_;
  std::map<AttemptKey, SlotKey> carried_by_;
};

}  // namespace rookproxy
