/// A test client of the MySQL protocol.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fakes/certificate_authority.h"
#include "fakes/test_connection.h"
#include "mysql/protocol.h"

namespace rookproxy::test {

/// How a MySQL client logs in.
struct MysqlLoginOptions {
  std::string user = "school";
  std::string schema;  // or empty
  std::string token;   // the answer where the server asks for a password in clear text
  bool uses_tls = false;
  const Certificate* certificate = nullptr;  // for TLS; not owned
};

/// What a server says at the end of a log-in.
class MysqlLoginResult {
 public:
  explicit MysqlLoginResult(std::optional<mysql::Message> message) : message_(std::move(message)) {}

  [[nodiscard]] bool was_accepted() const { return message_ && message_->payload.starts_with('\0'); }
  [[nodiscard]] bool was_denied() const { return message_ && message_->payload.starts_with('\xff'); }

  /// The server's reason for a denial, or empty.
  [[nodiscard]] std::string error_text() const;

 private:
  std::optional<mysql::Message> message_;
};

/// One session with a server; every answer is waited for up to kWaitLimit, and a missing one fails the test.
/// For one thread.
class MysqlClient {
 public:
  enum class ParameterTypes { kSent, kOmitted };

  explicit MysqlClient(TestConnection connection) : connection_(std::move(connection)) {}

  TestConnection& connection() { return connection_; }

  [[nodiscard]] MysqlLoginResult log_in(const MysqlLoginOptions& options);

  /// COM_CHANGE_USER, which forgets all prepared statements.
  [[nodiscard]] MysqlLoginResult change_user(const std::string& user, const std::string& token);

  /// Sends a command as it is, its first byte included.
  void send_command(std::string_view payload);
  void send_query(const std::string& text);
  void send_prepare(const std::string& text);

  /// Executes the statement that was prepared as the N-th, from 1; without a value it has no parameter, and
  /// the value "LONG" stands for data that was sent ahead.
  void send_execute(std::size_t number, const std::string& value, ParameterTypes types);
  void send_long_data(std::size_t number, std::size_t parameter, const std::string& data);

  /// The first message of an answer, whose packets have to start at sequence number 1.
  [[nodiscard]] mysql::Message read_first_message();

  /// Reads the rest of the answer that begins with `first`; returns how many messages it has in all.
  int read_remaining_messages(const mysql::Message& first, mysql::ResponseTracker::Kind kind);

  /// Keeps the id of a statement that was prepared.
  void add_statement(std::uint32_t id) { statement_ids_.push_back(id); }

 private:
  [[nodiscard]] std::uint32_t statement_id(std::size_t number) const { return statement_ids_.at(number - 1); }
  void start_tls(std::uint32_t capabilities, const Certificate* certificate, std::uint8_t& sequence);
  [[nodiscard]] MysqlLoginResult finish_login(const std::string& token);

  TestConnection connection_;
  std::vector<std::uint32_t> statement_ids_;  // in the order in which they were prepared
};

}  // namespace rookproxy::test
