#include "fakes/fake_mysql_session.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <thread>

#include "fakes/sockets.h"
#include "net/file_descriptor.h"

namespace rookproxy::test {
namespace {

using namespace std::chrono_literals;

// The account that the engine accepts.
constexpr const char* kUser = "rookproxy";
constexpr const char* kPassword = "engine-secret";

constexpr const char* kServerVersion = "8.0.0-stand-in";
constexpr const char* kUnknownSchema = "nowhere";
constexpr int kUnknownDatabase = 1049;
constexpr int kSyntaxError = 1064;
constexpr auto kStopCheckInterval = 20ms;
constexpr auto kSleepStep = 10ms;
constexpr std::uint64_t kVarStringType = 0xfd;
constexpr std::uint64_t kColumnLength = 255;
constexpr std::size_t kBinaryRowHeaderSize = 2;  // a zero byte and the null bitmap of one column

// The start of the query by which a client looks for a session of its own.
constexpr const char* kFindSession = "SELECT ID FROM information_schema.PROCESSLIST WHERE ID = ";

std::uint16_t peer_port(const FileDescriptor& fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getpeername(fd.get(), reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

}  // namespace

FakeMysqlSession::FakeMysqlSession(FileDescriptor fd, FakeMysqlEngineState& engine)
    : connection_(std::move(fd)),
      engine_(engine),
      registration_(engine.register_connection(peer_port(connection_.fd()))) {}

void FakeMysqlSession::run() {
  if (!log_in()) return;
  while (const auto message = next_message()) {
    sequence_ = message->next_sequence;
    if (handle_command(message->payload) == Outcome::kCloseConnection) return;
  }
}

bool FakeMysqlSession::log_in() {
  mysql::Greeting greeting;
  greeting.connection_id = registration_.connection_id;
  greeting.capabilities = mysql::kCapabilities;
  greeting.nonce = mysql::generate_nonce();
  greeting.plugin = mysql::kNativePassword;
  greeting.version = kServerVersion;
  reply(mysql::greeting_payload(greeting));
  const auto message = next_message();
  if (!message) return false;
  const auto login = mysql::parse_login(message->payload);
  sequence_ = message->next_sequence;
  if (login.user != kUser ||
      login.auth_response != mysql::make_auth_response(login.plugin, kPassword, greeting.nonce)) {
    reply(mysql::error_payload(mysql::kAccessDenied, "Access denied"));
    return false;
  }
  reply(mysql::ok_payload());
  return true;
}

std::optional<mysql::Message> FakeMysqlSession::next_message() {
  while (!engine_.is_stop_requested() && connection_.buffer().empty()) {
    const bool is_readable = wait_until_readable(connection_.fd(), kStopCheckInterval);
    if (is_readable && !connection_.read_more()) return std::nullopt;
  }
  if (engine_.is_stop_requested()) return std::nullopt;
  return read_mysql_message(connection_);
}

FakeMysqlSession::Outcome FakeMysqlSession::handle_command(const std::string& payload) {
  mysql::PayloadReader reader(std::string_view(payload).substr(1));
  switch (payload[0]) {
    case mysql::kPing:
      reply(mysql::ok_payload());
      break;
    case mysql::kInitDb:
      change_schema(reader.take_remaining());
      break;
    case mysql::kQuery:
      return run_statement(std::string(reader.take_remaining()), RowFormat::kText);
    case mysql::kStmtPrepare:
      prepare(std::string(reader.take_remaining()));
      break;
    case mysql::kStmtSendLongData:
      append_long_data(reader);
      break;
    case mysql::kStmtClose:
      statements_.erase(static_cast<std::uint32_t>(reader.integer(4)));
      break;
    case mysql::kStmtExecute:
      return execute_prepared(reader);
    default:
      reply(mysql::error_payload(mysql::kUnknownCommand, "Unknown command"));
  }
  return Outcome::kContinue;
}

void FakeMysqlSession::change_schema(std::string_view name) {
  if (name == kUnknownSchema) {
    reply(mysql::error_payload(kUnknownDatabase, "Unknown database"));
  } else {
    reply(mysql::ok_payload());
  }
}

void FakeMysqlSession::prepare(const std::string& text) {
  if (StatementBehavior::parse(text).preparation_is_rejected) {
    return reply(mysql::error_payload(mysql::kTooManyConnections, "Too many connections"));
  }
  const auto parameter_count = static_cast<std::size_t>(std::count(text.begin(), text.end(), '?'));
  const std::uint32_t id = next_statement_id_++;
  statements_[id] = {text, parameter_count, {}};
  engine_.record_prepared(text);
  std::string ok(1, '\0');
  mysql::append_integer(ok, id, 4);
  mysql::append_integer(ok, 0, 2);  // columns
  mysql::append_integer(ok, parameter_count, 2);
  ok.append(3, '\0');  // a filler and the warning count
  reply(ok);
  for (std::size_t parameter = 0; parameter < parameter_count; ++parameter) reply_column_definition("?");
  if (parameter_count > 0) reply_eof();
}

void FakeMysqlSession::append_long_data(mysql::PayloadReader& reader) {
  const auto id = static_cast<std::uint32_t>(reader.integer(4));
  const int parameter = static_cast<int>(reader.integer(2));
  statements_.at(id).long_data[parameter] += reader.take_remaining();
}

FakeMysqlSession::Outcome FakeMysqlSession::execute_prepared(mysql::PayloadReader& reader) {
  const auto found = statements_.find(static_cast<std::uint32_t>(reader.integer(4)));
  if (found == statements_.end()) {
    reply(mysql::error_payload(mysql::kUnknownStatement, "Unknown prepared statement handler"));
    return Outcome::kContinue;
  }
  PreparedStatement& statement = found->second;
  reader.integer(5);  // flags and the iteration count
  const auto execution = format_execution(statement, reader);
  if (!execution) {
    reply(mysql::error_payload(mysql::kWrongArguments, "no types on this session"));
    return Outcome::kContinue;
  }
  statement.long_data.clear();
  return run_statement(*execution, RowFormat::kBinary);
}

// Returns the statement's text followed by its parameters, or nothing if the command does not bind their
// types.
std::optional<std::string> FakeMysqlSession::format_execution(PreparedStatement& statement,
                                                              mysql::PayloadReader& reader) {
  std::string text = statement.text + " <-";
  if (statement.parameter_count == 0) return text;
  const auto nulls = reader.take((statement.parameter_count + 7) / 8);
  const bool binds_types = reader.integer(1) == 1;
  if (!binds_types) return std::nullopt;
  reader.take(2 * statement.parameter_count);  // their types
  for (std::size_t parameter = 0; parameter < statement.parameter_count; ++parameter) {
    const auto long_data = statement.long_data.find(static_cast<int>(parameter));
    const bool is_null = (nulls[parameter / 8] >> (parameter % 8) & 1) != 0;
    text += ' ';
    if (long_data != statement.long_data.end()) {
      text += long_data->second;
    } else {
      text += is_null ? "NULL" : std::string(reader.length_encoded_string());
    }
  }
  return text;
}

FakeMysqlSession::Outcome FakeMysqlSession::run_statement(const std::string& text, RowFormat format) {
  if (text.starts_with("KILL QUERY ")) {
    engine_.kill_query(static_cast<std::uint32_t>(*find_number_after(text, "KILL QUERY ")));
    reply(mysql::ok_payload());
    return Outcome::kContinue;
  }
  if (text.starts_with(kFindSession)) {
    reply_found_session(text);
    return Outcome::kContinue;
  }
  const StatementBehavior behavior = StatementBehavior::parse(text);
  if (behavior.is_rejected) {
    reply(mysql::error_payload(mysql::kTooManyConnections, "Too many connections"));
    return Outcome::kContinue;
  }
  if (behavior.is_malformed) {
    reply(mysql::error_payload(kSyntaxError, "You have an error in your SQL syntax"));
    return Outcome::kContinue;
  }
  engine_.record_executed(text);
  if (!sleep_unless_killed(behavior.run_time)) {
    reply(mysql::error_payload(mysql::kQueryInterrupted, "Query execution was interrupted"));
    return Outcome::kContinue;
  }
  if (behavior.closes_connection) return Outcome::kCloseConnection;
  if (behavior.error_after_run) {
    const auto code = static_cast<std::uint16_t>(*behavior.error_after_run);
    reply(mysql::error_payload(code, "Failed after the first step"));
    return Outcome::kContinue;
  }
  if (behavior.row_count || behavior.row_size) {
    reply_rows(behavior, format);
  } else {
    reply(mysql::ok_payload(1, 7));
  }
  return Outcome::kContinue;
}

// Replies with a row if the session that the query looks for exists.
void FakeMysqlSession::reply_found_session(const std::string& query) {
  const auto id = static_cast<std::uint32_t>(*find_number_after(query, kFindSession));
  const auto port = static_cast<std::uint16_t>(*find_number_after(query, "LIKE '%:"));
  StatementBehavior rows;
  rows.row_count = engine_.has_connection(id, port) ? 1 : 0;
  reply_rows(rows, RowFormat::kText);
}

// Sleeps for the statement's run time. Returns false if KILL QUERY ended the statement.
bool FakeMysqlSession::sleep_unless_killed(std::chrono::milliseconds run_time) {
  for (auto left = run_time; left > 0ms && !engine_.is_stop_requested(); left -= kSleepStep) {
    if (*registration_.kill_flag) return false;
    std::this_thread::sleep_for(kSleepStep);
  }
  return true;
}

void FakeMysqlSession::reply_rows(const StatementBehavior& behavior, RowFormat format) {
  reply("\1");  // one column
  reply_column_definition("c");
  reply_eof();
  for (int number = 0; number < behavior.row_count.value_or(1); ++number) {
    const std::string value = behavior.row_size
                                  ? std::string(static_cast<std::size_t>(*behavior.row_size), 'w')
                                  : "row" + std::to_string(number);
    std::string row;
    if (format == RowFormat::kBinary) row.assign(kBinaryRowHeaderSize, '\0');
    mysql::append_length_encoded_string(row, value);
    reply(row);
  }
  reply_eof();
}

void FakeMysqlSession::reply(std::string_view payload) {
  connection_.send(mysql::split_into_packets(payload, sequence_));
}

void FakeMysqlSession::reply_column_definition(const std::string& name) {
  // Catalog, schema, table alias, table, column alias and column.
  const std::array<std::string, 6> names{"def", "", "", "", name, name};
  std::string definition;
  for (const std::string& text : names) mysql::append_length_encoded_string(definition, text);
  definition += '\x0c';  // length of the fields that follow
  mysql::append_integer(definition, mysql::kUtf8mb4, 2);
  mysql::append_integer(definition, kColumnLength, 4);
  mysql::append_integer(definition, kVarStringType, 1);
  definition.append(5, '\0');  // flags, decimals and a filler
  reply(definition);
}

void FakeMysqlSession::reply_eof() { reply(std::string("\xfe\0\0\2\0", 5)); }

}  // namespace rookproxy::test
