// A client connection of the MySQL frontend. This header is internal to the frontend.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "frontend/mysql_frontend.h"
#include "frontend/prepared_statements.h"
#include "mysql/protocol.h"
#include "net/file_descriptor.h"
#include "net/slot_map.h"

namespace rookproxy {

// Runs a client's session: the login, then one command at a time, each with one response.
class MysqlFrontend::Connection final : public StreamHandler {
 public:
  Connection(MysqlFrontend& frontend, SlotKey key, FileDescriptor fd);
  ~Connection() { frontend_.loop_.cancel(timer_); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  std::size_t on_bytes(std::string_view bytes) override;
  void on_closed(std::string_view) override { frontend_.drop(key_); }
  // Unread commands of a disconnected client are discarded.
  void on_hangup() override { frontend_.client_disconnected(key_); }
  void on_flushed() override;

  // Writes the response to the command that was submitted to the dispatcher. Returns the status sent to the
  // client, which is a failure if the result can't be read.
  ResponseStatus handle_response(Response response);

  [[nodiscard]] bool is_flushed() const { return stream_.queued_bytes() == 0; }
  // Counts the response bytes that the client has not read.
  void update_unread_memory() { unread_memory_.set(stream_.queued_bytes()); }
  [[nodiscard]] bool is_logged_in() const {
    return state_ == State::kReady || state_ == State::kWaitingForTurn || state_ == State::kBusy;
  }
  // Connections that have not logged in are evicted, the oldest first. Keys sort by age.
  [[nodiscard]] bool is_evictable(Time) const { return !is_logged_in(); }
  [[nodiscard]] SlotKey eviction_order() const { return key_; }

  // Closes the connection if it is ready and its client certificate is no longer valid.
  void recheck_certificate();
  // Handles bytes that have arrived but were not read yet. Called before a decision to close the connection,
  // so that commands sent while it was open are served.
  void read_now() { stream_.read_now(); }
  // Stops reading and writing, except for queued output. Connections are closed gracefully unless the client
  // does not read its responses (see MysqlFrontend::drop).
  void close_gracefully();
  // Closes gracefully after the response to an open command or the end of a token check.
  void close_after_responses();
  // Closes the connection immediately.
  void close() { stream_.close(); }
  // Returns the request of the open command and marks it as no longer open. Cancels a pending token check and
  // the wait for a turn.
  std::optional<RequestKey> take_open_request();

 private:
  // The limit for a login or a change of user, from the first packet to the last.
  static constexpr Duration kLoginTimeout = std::chrono::seconds(10);
  // The size of a statement id in bytes.
  static constexpr std::size_t kStatementIdSize = 4;

  // The state of the session.
  enum class State { kLogin, kAuthResponse, kCheckingToken, kReady, kWaitingForTurn, kBusy, kClosing };

  // Reading and writing.
  [[nodiscard]] bool is_waiting() const {
    return state_ == State::kBusy || state_ == State::kCheckingToken || state_ == State::kWaitingForTurn;
  }
  [[nodiscard]] bool needs_turn(std::string_view payload) const;
  void wait_for_turn();
  void end_wait_for_turn(TurnDecision decision);
  [[nodiscard]] bool is_logging_in() const {
    return state_ == State::kLogin || state_ == State::kAuthResponse;
  }
  void handle_message(const mysql::Message& message);
  bool reserve_command_bytes(std::string_view bytes);
  void reply(std::string_view payload) { write(mysql::split_into_packets(payload, sequence_)); }
  void write(std::string packets);
  void ok();
  void error(std::uint16_t code, const std::string& text);
  void fatal(std::uint16_t code, const std::string& text);
  void not_supported(const std::string& what);
  void update_read_pause() { stream_.set_read_paused(is_waiting() || paused_for_unread_responses_); }
  void start_close_timer(Duration timeout);
  [[nodiscard]] static std::string retry_message(std::optional<Duration> retry_after);
  [[nodiscard]] std::string may_have_run_text() const;
  void handle_result(std::string packets);
  [[nodiscard]] ResponseStatus write_response(Response response);
  void store_prepared_statement(std::string& packets);

  // Login.
  void log_in(std::string_view payload);
  void authenticate();
  void begin_tls();
  bool check_charset();
  [[nodiscard]] bool is_encrypted() const { return stream_.channel() != nullptr; }
  [[nodiscard]] bool has_password() const { return frontend_.config_.users.contains(login_.user); }
  [[nodiscard]] bool has_client_certificate() const;
  [[nodiscard]] bool expects_token() const;
  void request_auth_method(std::string_view plugin);
  void handle_auth_response(std::string_view payload);
  void check_password(std::string_view auth_response);
  [[nodiscard]] auth::Authenticator::SourceId source() const;
  void check_token(std::string_view token);
  void finish_token_check(auth::AuthenticationResult authentication);
  void reject_login(const auth::AuthenticationResult& authentication);
  void complete_login(std::shared_ptr<const policy::VerifiedCredential> caller);
  void change_user(std::string_view payload);
  [[nodiscard]] bool revalidate_caller();

  // Commands.
  [[nodiscard]] bool authorize_schema(const std::string& schema);
  [[nodiscard]] bool authorize_statement(const policy::StatementAnalysis& analysis,
                                         const std::string& schema);
  [[nodiscard]] std::shared_ptr<const policy::StatementAnalysis> analyze(const std::string& statement) const;
  void handle_command(std::string_view payload);
  [[nodiscard]] bool rejected_locally(const std::string& statement);
  [[nodiscard]] bool needs_transaction(const sql::StatementFacts& facts);
  [[nodiscard]] bool answered_locally(const std::string& statement);
  void handle_query(std::string statement);
  void use_schema(std::string schema);
  void prepare(std::string statement);
  PreparedStatement* find_statement(mysql::PayloadReader& reader);
  void execute(mysql::PayloadReader& reader);
  void reset_statement(mysql::PayloadReader& reader);
  void refuse_for_memory();
  void submit(Query::Kind kind, std::string statement, const std::string& schema,
              const sql::StatementFacts& facts, std::shared_ptr<Query> query = std::make_shared<Query>());

  MysqlFrontend& frontend_;
  SlotKey key_;
  std::string nonce_;
  State state_ = State::kLogin;
  // The sequence number of the next packet that is written.
  std::uint8_t sequence_ = 0;
  mysql::Login login_;
  std::string schema_;
  // Null without TLS.
  std::unique_ptr<auth::CertificateAuthenticator> certificate_;
  // Null if callers are not identified.
  std::shared_ptr<const policy::VerifiedCredential> caller_;
  std::uint64_t caller_revision_ = 0;
  // The pending token check; 0 if there is none.
  auth::Authenticator::CheckId token_check_ = 0;
  // The client's setting. Autocommit is always on in the engines' sessions.
  bool autocommit_ = true;
  PreparedStatements statements_;
  std::optional<RequestKey> request_;
  // What a large partial command holds.
  policy::MemoryHolding command_memory_;
  // What the client has not read, counted while it is much.
  policy::MemoryHolding unread_memory_;
  // True if no commands are handled until the client has read its responses.
  bool paused_for_unread_responses_ = false;
  // The wait of the command for its turn; 0 if there is none.
  TurnScheduler::WaitId turn_wait_ = 0;
  // Set if the command that is handled next has waited for its turn.
  std::optional<TurnDecision> turn_decision_;
  // When the command that is being handled arrived, if it has waited for its turn.
  std::optional<Time> command_arrived_at_;
  // The pending members describe the open command.
  Query::Kind pending_kind_ = Query::Kind::kStatement;
  bool pending_writes_ = false;
  PreparedStatement pending_statement_;
  std::string pending_schema_;
  // The timer of the login or of the idle timeout.
  TimerId timer_{};
  Stream stream_;
};

}  // namespace rookproxy
