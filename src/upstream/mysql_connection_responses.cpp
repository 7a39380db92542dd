// Handles the complete responses of a session with an engine that speaks MySQL.
#include <utility>

#include "sql/statement_class.h"
#include "upstream/mysql_connection.h"
#include "upstream/mysql_error_class.h"
#include "upstream/mysql_pool.h"

namespace rookproxy {
namespace {

using policy::SessionCommand;

// The first byte of an error packet.
constexpr char kErrorPacket = '\xff';

}  // namespace

void MysqlConnection::on_response_complete() {
  const policy::SessionResponse response = session_.on_response(tracker_.failed());
  switch (response.command) {
    case SessionCommand::kFindKillTarget:
      on_kill_target_searched();
      break;
    case SessionCommand::kKill:
      return fail_connection("kill command complete");
    case SessionCommand::kPing:
      complete_probe(tracker_.failed() ? Outcome::kError : Outcome::kServed, std::nullopt);
      break;
    case SessionCommand::kSelectSchema:
      // An unknown schema is the client's error, and no statement ran.
      if (response.belongs_to_attempt && tracker_.failed()) {
        complete_from_response(policy::AttemptProgress::kNotRequested);
      }
      break;
    case SessionCommand::kPrepare:
      on_prepared(response.belongs_to_attempt);
      break;
    case SessionCommand::kExecute:
      on_executed(response.belongs_to_attempt);
      break;
  }
  send_next_command();
}

void MysqlConnection::on_kill_target_searched() {
  bool found = false;
  try {
    found = !tracker_.failed() && !mysql::format_rows(response_.take()).empty();
  } catch (const mysql::MalformedPacketError&) {
    found = false;
  }
  session_.on_kill_target_searched(found);
  if (!found) fail_connection("query not killed: its session is not at this engine");
}

void MysqlConnection::on_prepared(bool belongs_to_attempt) {
  if (tracker_.failed()) {
    if (belongs_to_attempt) complete_from_response(policy::AttemptProgress::kNotRequested);
    return;
  }
  mysql::PayloadReader reader(first_payload_);
  reader.integer(1);
  const auto statement_id = static_cast<std::uint32_t>(reader.integer(4));
  if (!belongs_to_attempt) return close_statements({statement_id});
  close_statements(prepared_statements_.add(statement_key(*attempt_->query), statement_id));
  if (attempt_->query->kind == Query::Kind::kPrepare) {
    complete_from_response(policy::AttemptProgress::kNotRequested);
  }
}

void MysqlConnection::on_executed(bool belongs_to_attempt) {
  if (!belongs_to_attempt) return release_attempt();  // The connection is draining and closes.
  const Query& query = *attempt_->query;
  if (query.kind != Query::Kind::kUseSchema && sql::may_change_session(query.statement)) {
    session_.retire();
    drain();
  }
  complete_from_response(policy::AttemptProgress::kRequested);
}

// Returns the outcome of the attempt. If the engine may not know the prepared statement, the next execution
// prepares it again.
Outcome MysqlConnection::handle_statement_error(std::uint16_t code, policy::AttemptProgress progress) {
  const Query& query = *attempt_->query;
  const MysqlErrorClass error = classify_mysql_error(code);
  const bool executes_prepared = query.kind == Query::Kind::kExecute;
  if (executes_prepared && error == MysqlErrorClass::kUnknownStatement) {
    prepared_statements_.remove(statement_key(query));
  }
  const Outcome outcome = outcome_of_mysql_error(error, {progress, executes_prepared, query.is_idempotent});
  // Rows as text lines can't carry an error, so the attempt fails. Otherwise the client receives the error
  // packet.
  return outcome == Outcome::kServed && query.rows_as_text_lines ? Outcome::kError : outcome;
}

// Determines the outcome of the attempt after its last response, or after the response that ended it early.
void MysqlConnection::complete_from_response(policy::AttemptProgress progress) {
  Outcome outcome = Outcome::kServed;
  std::string message;
  if (tracker_.failed()) {
    // An error may follow rows; the client then receives the rows and the error.
    const bool is_first_packet = first_payload_.starts_with(kErrorPacket);
    mysql::ErrorInfo error = is_first_packet ? mysql::parse_error(first_payload_) : mysql::ErrorInfo{};
    outcome = handle_statement_error(error.code, progress);
    message = std::move(error.text);
  }
  std::string body = response_.take();
  try {
    if (outcome == Outcome::kServed && attempt_->query->rows_as_text_lines) body = mysql::format_rows(body);
  } catch (const mysql::MalformedPacketError& error) {
    outcome = Outcome::kError;
    message = error.what();
  }
  end_attempt(outcome, outcome == Outcome::kServed ? std::move(body) : std::move(message));
}

}  // namespace rookproxy
