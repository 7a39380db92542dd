// A test client of the MySQL protocol.
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

// The options of a MySQL log-in.
struct MysqlLoginOptions {
  std::string user = "school";
  std::string schema;  // Empty: no schema is selected.
  std::string token;   // Sent if the server requests a clear text password.
  bool uses_tls = false;
  const Certificate* certificate = nullptr;  // The client certificate for TLS; not owned.
};

// The server's final message of a log-in.
class MysqlLoginResult {
 public:
  explicit MysqlLoginResult(std::optional<mysql::Message> message) : message_(std::move(message)) {}

  [[nodiscard]] bool was_accepted() const { return message_ && message_->payload.starts_with('\0'); }
  [[nodiscard]] bool was_denied() const { return message_ && message_->payload.starts_with('\xff'); }

  // Returns the server's error text, or an empty string if the log-in was not denied.
  [[nodiscard]] std::string error_text() const;

 private:
  std::optional<mysql::Message> message_;
};

// One session with a server. Functions that read fail the test if the response does not arrive within
// kWaitLimit. Not thread-safe.
class MysqlClient {
 public:
  enum class ParameterTypes { kSent, kOmitted };

  explicit MysqlClient(TestConnection connection) : connection_(std::move(connection)) {}

  TestConnection& connection() { return connection_; }

  [[nodiscard]] MysqlLoginResult log_in(const MysqlLoginOptions& options);

  // Sends COM_CHANGE_USER, which drops all prepared statements.
  [[nodiscard]] MysqlLoginResult change_user(const std::string& user, const std::string& token);

  // Sends a command; the payload's first byte is the command code.
  void send_command(std::string_view payload);
  void send_query(const std::string& text);
  void send_prepare(const std::string& text);

  // Executes the statement that was prepared as the N-th, counted from 1. With an empty value it has no
  // parameter; the value "LONG" means that send_long_data() sent the parameter before.
  void send_execute(std::size_t number, const std::string& value, ParameterTypes types);
  void send_long_data(std::size_t number, std::size_t parameter, const std::string& data);

  // Reads the first message of a response, whose packets have to start at sequence number 1.
  [[nodiscard]] mysql::Message read_first_message();

  // Reads the rest of the response that begins with `first`. Returns the number of its messages, `first`
  // included.
  int read_remaining_messages(const mysql::Message& first, mysql::ResponseTracker::Kind kind);

  // Stores the id of a prepared statement for send_execute() and send_long_data().
  void add_statement(std::uint32_t id) { statement_ids_.push_back(id); }

 private:
  [[nodiscard]] std::uint32_t statement_id(std::size_t number) const { return statement_ids_.at(number - 1); }
  void start_tls(std::uint32_t capabilities, const Certificate* certificate, std::uint8_t& sequence);
  [[nodiscard]] MysqlLoginResult finish_login(const std::string& token);

  TestConnection connection_;
  std::vector<std::uint32_t> statement_ids_;  // In the order of preparation.
};

}  // namespace rookproxy::test
