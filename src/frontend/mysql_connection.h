// One client connection of the MySQL frontend. Only for the frontend's own sources.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "frontend/byte_reservation.h"
#include "frontend/mysql_frontend.h"
#include "frontend/prepared_statements.h"
#include "mysql/protocol.h"
#include "net/file_descriptor.h"
#include "net/slot_map.h"

namespace rookproxy {

/// Runs one client's session: the log-in, then one command at a time, each with one response.
class MysqlFrontend::Connection final : public StreamHandler {
 public:
  Connection(MysqlFrontend& frontend, SlotKey key, FileDescriptor fd);
  ~Connection() { frontend_.loop_.cancel(timer_); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  std::size_t on_bytes(std::string_view bytes) override;
  void on_closed(std::string_view) override { frontend_.drop(key_); }
  // Nothing of a client that has gone is sent on, not even what it sent before.
  void on_hangup() override { frontend_.client_disconnected(key_); }

  /// Writes the response to the command that was submitted to the dispatcher.
  void handle_response(Response response);

  [[nodiscard]] bool is_flushed() const { return stream_.queued_bytes() == 0; }
  [[nodiscard]] std::size_t unread_response_bytes() const { return stream_.queued_bytes(); }
  [[nodiscard]] bool is_logged_in() const { return state_ == State::kReady || state_ == State::kBusy; }
  /// Clients that have not logged in are evicted, the oldest first: keys sort by age.
  [[nodiscard]] bool is_evictable(Time) const { return !is_logged_in(); }
  [[nodiscard]] SlotKey eviction_order() const { return key_; }

  /// Closes a ready connection whose client showed a certificate that has lost its validity.
  void recheck_certificate();
  /// Handles what has arrived but was not read yet. Called before a decision to close: it was sent to a
  /// connection that was open.
  void read_now() { stream_.read_now(); }
  /// Reads and writes nothing more, but for what is queued. All closes are graceful, except where a client
  /// does not read its responses (MysqlFrontend::drop).
  void close_gracefully();
  /// Closes gracefully, behind the response to an open command; a token check is waited for, too.
  void close_when_answered();
  /// Closes at once.
  void close() { stream_.close(); }
  /// The open command's request, which is not open any more. A token check is cancelled.
  std::optional<RequestKey> take_open_request();

 private:
  // For a log-in or a change of user, from its first packet to its last.
  static constexpr Duration kLoginTimeout = std::chrono::seconds(10);
  static constexpr std::size_t kStatementIdSize = 4;  // bytes

  /// What the session waits for, or that it ends.
  enum class State { kLogin, kAuthResponse, kCheckingToken, kReady, kBusy, kClosing };

  // Reading and writing.
  [[nodiscard]] bool is_waiting() const { return state_ == State::kBusy || state_ == State::kCheckingToken; }
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
  void close_after(Duration timeout);
  [[nodiscard]] static std::string retry_message(std::optional<Duration> retry_after);
  [[nodiscard]] std::string may_have_run() const;
  void handle_result(std::string packets);
  void keep_prepared_statement(std::string& packets);

  // Log-in.
  void log_in(std::string_view payload);
  void authenticate();
  void begin_tls();
  bool check_charset();
  [[nodiscard]] bool is_secret() const { return stream_.channel() != nullptr; }
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
  [[nodiscard]] bool authorize(Query::Kind kind, const std::string& statement);
  [[nodiscard]] bool authorize_schema(const std::string& schema);
  [[nodiscard]] bool authorize_statement(const std::string& statement);
  void handle_command(std::string_view payload);
  [[nodiscard]] bool rejected_locally(const std::string& statement);
  [[nodiscard]] bool needs_transaction(const std::string& statement);
  [[nodiscard]] bool answered_locally(const std::string& statement);
  void handle_query(std::string statement);
  void use_schema(std::string schema);
  void prepare(std::string statement);
  PreparedStatement* find_statement(mysql::PayloadReader& reader);
  void execute(mysql::PayloadReader& reader);
  void reset_statement(mysql::PayloadReader& reader);
  void submit(Query::Kind kind, std::string statement,
              std::shared_ptr<Query> query = std::make_shared<Query>());

  MysqlFrontend& frontend_;
  SlotKey key_;
  std::string nonce_;
  State state_ = State::kLogin;
  std::uint8_t sequence_ = 0;  // of the next packet that is written
  mysql::Login login_;
  std::string schema_;
  std::unique_ptr<auth::CertificateAuthenticator> certificate_;  // null without TLS
  std::shared_ptr<const policy::VerifiedCredential> caller_;     // null where callers are not identified
  std::uint64_t caller_revision_ = 0;
  auth::Authenticator::CheckId token_check_ = 0;  // 0: none
  bool autocommit_ = true;                        // as the client set it; every engine's session has it on
  PreparedStatements statements_;
  std::optional<RequestKey> request_;
  ByteReservation reserved_bytes_;                      // of the budget for large partial commands
  Query::Kind pending_kind_ = Query::Kind::kStatement;  // of the open command
  bool pending_writes_ = false;
  PreparedStatement pending_statement_;
  std::string pending_schema_;
  TimerId timer_{};  // of the log-in, or of idleness
  Stream stream_;
};

}  // namespace rookproxy
