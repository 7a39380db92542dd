// The server side of a MySQL connection, for tests.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "fakes/fake_mysql_engine_state.h"
#include "fakes/statement_behavior.h"
#include "fakes/test_connection.h"
#include "mysql/protocol.h"
#include "net/file_descriptor.h"
#include "net/socket_address.h"
#include "net/sockets.h"

namespace rookproxy::test {

// Serves one connection of a FakeMysqlEngine with blocking calls. Not thread-safe. The engine's state must
// outlive the session.
class FakeMysqlSession {
 public:
  FakeMysqlSession(FileDescriptor fd, FakeMysqlEngineState& engine);

  // Authenticates the client and serves its commands until the connection ends or the engine stops.
  void run();

 private:
  enum class Outcome { kContinue, kCloseConnection };
  enum class RowFormat { kText, kBinary };

  struct PreparedStatement {
    std::string text;
    std::size_t parameter_count;
    std::map<int, std::string> long_data;  // by parameter index
  };

  [[nodiscard]] bool log_in();
  [[nodiscard]] std::optional<mysql::Message> next_message();
  [[nodiscard]] Outcome handle_command(const std::string& payload);
  void change_schema(std::string_view name);
  void prepare(const std::string& text);
  void append_long_data(mysql::PayloadReader& reader);
  [[nodiscard]] Outcome execute_prepared(mysql::PayloadReader& reader);
  [[nodiscard]] static std::optional<std::string> format_execution(PreparedStatement& statement,
                                                                   mysql::PayloadReader& reader);
  [[nodiscard]] Outcome run_statement(const std::string& text, RowFormat format);
  [[nodiscard]] bool sleep_unless_killed(std::chrono::milliseconds run_time);
  void reply_found_session(const std::string& query);
  void reply_rows(const StatementBehavior& behavior, RowFormat format);
  void reply(std::string_view payload);
  void reply_column_definition(const std::string& name);
  void reply_eof();

  TestConnection connection_;
  FakeMysqlEngineState& engine_;
  FakeMysqlEngineState::Registration registration_;
  std::uint8_t sequence_ = 0;
  std::map<std::uint32_t, PreparedStatement> statements_;
  std::uint32_t next_statement_id_ = 100;
};

}  // namespace rookproxy::test
