// A connection to an engine that uses the MySQL protocol.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mysql/protocol.h"
#include "net/slot_map.h"
#include "policy/engine_session.h"
#include "policy/execution_evidence.h"
#include "upstream/engine_connection.h"
#include "upstream/engine_statement_cache.h"
#include "upstream/mysql_session_id.h"
#include "upstream/response_buffer.h"

namespace rookproxy {

class MysqlPool;

// Runs one statement at a time. A prepared statement is prepared on the connection that executes it.
class MysqlConnection final : public EngineConnection {
 public:
  MysqlConnection(MysqlPool& pool, SlotKey key, EngineId engine);

  bool cancel_attempt(AttemptKey attempt) override;
  bool has_attempt_started(AttemptKey attempt) const override;
  void end_unsent_attempts() override;
  // Does nothing: the connection is usable only after the login.
  void on_connected() override {}
  std::size_t on_bytes(std::string_view bytes) override;
  // Dedicates this connection to killing the query that runs on the given connection of the engine. It is
  // closed afterwards and serves no attempts.
  void set_kill_target(const MysqlSessionId& session);

 private:
  // The progress of the login.
  enum class LoginState { kGreeting, kAuthentication, kComplete };

  void start_attempt(const AttemptRequest& request) override;
  void probe() override;
  void on_connection_lost(std::string_view reason) override;
  bool can_accept(const Query* query) const override;

  // What follows a command's code: a few bytes, and bytes of the attempt's query, which may be many.
  struct CommandArguments {
    std::string_view prefix;
    std::string_view query_bytes;
  };

  void send_command(policy::SessionCommand command, std::uint8_t code, const CommandArguments& arguments);
  void send_without_response(std::uint8_t code, const CommandArguments& arguments);
  Stream::WriteId write_command(std::uint8_t code, const CommandArguments& arguments,
                                std::uint64_t* completed_counter);
  Stream::WriteId send_payload(std::string_view payload, std::uint64_t* completed_counter = nullptr);

  void handle_login_packet(std::string_view payload);
  void handle_login_error(std::string_view payload);
  void respond_to_greeting(std::string_view payload);
  void switch_auth_method(std::string_view payload);
  void send_password(std::string_view public_key);

  void send_next_command();
  void send_attempt_command(policy::SessionCommand command, std::optional<std::uint32_t> prepared_id);
  void send_execution(std::optional<std::uint32_t> prepared_id);
  [[nodiscard]] bool check_start_allowed();
  void close_statements(const std::vector<std::uint32_t>& ids);

  [[nodiscard]] std::size_t read_packet_part(std::string_view bytes);
  [[nodiscard]] std::size_t read_rest_of_packet(std::string_view bytes);
  [[nodiscard]] std::optional<std::size_t> begin_packet(std::string_view header);
  [[nodiscard]] bool keep_if_awaited(std::string_view bytes);
  void end_packet(std::string_view payload_start, std::size_t payload_size);
  [[nodiscard]] bool is_response_kept() const;
  void reject_large_result();
  void on_response_complete();
  void on_prepared(bool belongs_to_attempt);
  void on_kill_target_searched();
  void on_executed(bool belongs_to_attempt);
  void complete_from_response(policy::AttemptProgress progress);
  [[nodiscard]] Outcome handle_statement_error(std::uint16_t code, policy::AttemptProgress progress);
  void end_attempt(Outcome outcome, std::string body = "");
  void end_session_attempt();

  [[nodiscard]] const std::string& required_schema(const Query& query) const;
  [[nodiscard]] StatementKey statement_key(const Query& query) const;
  [[nodiscard]] const std::string& session_schema(const Query& query) const;
  [[nodiscard]] policy::SessionAttempt session_attempt(const Query& query) const;

  MysqlPool& mysql_pool_;
  LoginState login_state_ = LoginState::kGreeting;
  policy::EngineSession session_;
  std::uint8_t sequence_ = 0;
  std::uint32_t engine_connection_id_ = 0;
  std::string nonce_;
  MysqlSessionId kill_target_;
  // The attempt that the session has; the two are set and ended together.
  std::optional<AttemptRequest> attempt_;
  // The write of the command that runs the attempt's statement.
  std::optional<Stream::WriteId> execute_write_;
  EngineStatementCache prepared_statements_;
  // The packet that is being received.
  struct IncomingPacket {
    std::size_t size = 0;
    std::size_t missing_bytes = 0;
    // The first bytes of its payload.
    std::string start;
  };
  std::optional<IncomingPacket> packet_;
  mysql::ResponseTracker tracker_;
  // The response, if an attempt waits for it. Other responses are read without being kept.
  ResponseBuffer response_;
  // The first payload of the response, truncated.
  std::string first_payload_;
};

}  // namespace rookproxy
