// The engine side in MySQL's protocol: one statement at a time on a connection, prepared where it is run.
#pragma once

#include <list>
#include <optional>
#include <string>

#include "link/pool.h"
#include "mysql/protocol.h"

namespace rookproxy {

struct MysqlAccount {
  std::string user, password, schema;
};

class MysqlPool;

class MysqlConnection final : public LinkConnection {
 public:
  MysqlConnection(MysqlPool& pool, SlotKey key, EngineId engine);
  void start(const Order& order) override;
  bool withdraw(AttemptKey attempt) override;
  bool has_begun(AttemptKey attempt) const override;
  void probe() override;
  void drop_unsent() override;
  void lost(std::string_view why) override;
  void on_connected() override {}  // it is up once it is logged in
  bool takes(const Query* query) const override;
  std::size_t on_bytes(std::string_view bytes) override;
  // Instead of serving: stops what that thread of the engine runs, and is closed.
  void stop_thread(std::uint32_t thread) { thread_to_stop_ = thread; }

 private:
  enum class State { kGreeting, kLogin, kReady, kUse, kPrepare, kRun, kPing, kStop };
  struct Prepared {
    std::string text;
    std::uint32_t id;
  };

  void command(State next, std::uint8_t code, std::string_view rest);
  Stream::Ticket send(std::string_view payload, std::uint64_t* written = nullptr);
  void take_login(std::string_view payload);
  void prove(std::string_view plugin, std::string_view nonce);
  bool may_run();  // else the order is over
  void go_on();    // the next step of what is ordered, or of a probe
  void execute(std::uint32_t id);
  void too_large();
  void response_over();
  void run_over();
  void end(Outcome outcome, std::string body = "");
  void forget(const std::string& text);

  MysqlPool& mysql_;
  State state_ = State::kGreeting;
  std::uint8_t sequence_ = 0;
  std::uint32_t thread_ = 0;
  std::string nonce_, schema_;
  std::optional<std::uint32_t> thread_to_stop_;
  std::optional<Order> order_;
  bool withdrawn_ = false;               // nobody waits for what runs; its answer is read and dropped
  std::optional<Stream::Ticket> begun_;  // the command that makes it run
  bool ping_wanted_ = false;
  std::list<Prepared> prepared_;  // last used first
  mysql::ResponseTracker tracker_;
  std::string response_, first_payload_;
};

class MysqlPool final : public Pool {
 public:
  MysqlPool(Loop& loop, Log& log, LinkEvents& events, Figures& figures, PoolLimits limits,
            MysqlAccount account, std::size_t most_result, std::size_t most_results)
      : Pool(loop, log, events, figures, limits),
        account_(std::move(account)),
        most_result_(most_result),
        most_results_(most_results) {}

 private:
  friend class MysqlConnection;
  std::unique_ptr<LinkConnection> make(SlotKey key, EngineId engine) override {
    return std::make_unique<MysqlConnection>(*this, key, engine);
  }
  std::size_t input_limit() const override { return mysql::kMostPayload + 64 * 1024; }
  void stop_thread(EngineId engine, std::uint32_t thread);

  MysqlAccount account_;
  std::size_t most_result_, most_results_;  // bytes of one result; of all that are coming in
  std::size_t results_ = 0;
};

}  // namespace rookproxy
