// The engine side in MySQL's protocol: one statement at a time on a connection, prepared where it is run.
#pragma once

#include <list>
#include <optional>
#include <string>

#include "mysql/protocol.h"
#include "upstream/pool.h"

namespace rookproxy {

struct MysqlAccount {
  std::string user, password, schema;
};

class MysqlPool;

class MysqlConnection final : public EngineConnection {
 public:
  MysqlConnection(MysqlPool& pool, SlotKey key, EngineId engine);
  void start_attempt(const AttemptRequest& order) override;
  bool cancel_attempt(AttemptKey attempt) override;
  bool has_attempt_started(AttemptKey attempt) const override;
  void probe() override;
  void end_never_sent() override;
  void on_connection_lost(std::string_view why) override;
  void on_connected() override {}  // it is up once it is logged in
  bool can_accept(const Query* query) const override;
  std::size_t on_bytes(std::string_view bytes) override;
  // Instead of serving: stops what that thread of the engine runs, and is closed.
  void kill_thread(std::uint32_t thread) { thread_to_kill_ = thread; }

 private:
  enum class State { kGreeting, kLogin, kReady, kSelectSchema, kPrepare, kExecute, kPing, kKill };
  struct PreparedStatement {
    std::string text;
    std::uint32_t id;
  };

  void send_command(State next, std::uint8_t code, std::string_view rest);
  Stream::WriteId send_payload(std::string_view payload, std::uint64_t* written = nullptr);
  void handle_login_packet(std::string_view payload);
  void prove(std::string_view plugin, std::string_view nonce);
  bool confirm_start();  // else the order is over
  void advance();        // the next step of what is ordered, or of a probe
  void execute_prepared(std::uint32_t id);
  void end_result_too_large();
  void on_response_complete();
  void on_execution_complete();
  void end_attempt(Outcome outcome, std::string body = "");
  void close_prepared(const std::string& text);

  MysqlPool& mysql_pool_;
  State state_ = State::kGreeting;
  std::uint8_t sequence_ = 0;
  std::uint32_t thread_id_ = 0;
  std::string nonce_, schema_;
  std::optional<std::uint32_t> thread_to_kill_;
  std::optional<AttemptRequest> attempt_;
  bool cancelled_ = false;  // nobody waits for what runs; its answer is read and dropped
  std::optional<Stream::WriteId> execute_write_;  // the command that makes it run
  bool ping_pending_ = false;
  std::list<PreparedStatement> prepared_statements_;  // last used first
  mysql::ResponseTracker tracker_;
  std::string response_, first_payload_;
};

class MysqlPool final : public ConnectionPool {
 public:
  MysqlPool(EventLoop& loop, Logger& log, EngineTransportCallbacks& events, Metrics& figures,
            PoolLimits limits, MysqlAccount account, std::size_t most_result, std::size_t most_results)
      : ConnectionPool(loop, log, events, figures, limits),
        account_(std::move(account)),
        max_result_bytes_(most_result),
        max_total_result_bytes_(most_results) {}

 private:
  friend class MysqlConnection;
  std::unique_ptr<EngineConnection> create_connection(SlotKey key, EngineId engine) override {
    return std::make_unique<MysqlConnection>(*this, key, engine);
  }
  std::size_t input_limit() const override { return mysql::kMaxPayloadSize + 64 * 1024; }
  void kill_thread(EngineId engine, std::uint32_t thread);

  MysqlAccount account_;
  std::size_t max_result_bytes_, max_total_result_bytes_;  // bytes of one result; of all that are coming in
  std::size_t buffered_result_bytes_ = 0;
};

}  // namespace rookproxy
