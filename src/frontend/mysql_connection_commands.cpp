// Handles the commands of a MySQL session, either locally or by submitting them to the dispatcher.
#include <utility>

#include "frontend/mysql_connection.h"
#include "sql/session_statement.h"
#include "sql/statement_analysis.h"
#include "sql/statement_class.h"
#include "sql/statement_facts.h"

namespace rookproxy {
namespace {

using mysql::PayloadReader;

constexpr std::uint16_t kNoDatabaseSelected = 1046;

// Returns true if the denial depends on the caller, so that another caller could run the statement.
bool depends_on_caller(policy::Denial denial) {
  return denial == policy::Denial::kExpired || denial == policy::Denial::kRevocationUnknown ||
         denial == policy::Denial::kUnknownTenant || denial == policy::Denial::kNoKnownRole;
}

}  // namespace

// Returns null if callers are not authorized.
std::shared_ptr<const policy::StatementAnalysis> MysqlFrontend::Connection::analyze(
    const std::string& statement) const {
  if (!frontend_.authenticator_) return nullptr;
  return std::make_shared<policy::StatementAnalysis>(sql::analyze_statement(statement, sql::Dialect::kMysql));
}

// Returns false after sending an error to the client, like authorize_statement().
bool MysqlFrontend::Connection::authorize_schema(const std::string& schema) {
  if (!frontend_.authenticator_) return true;
  if (!revalidate_caller()) return false;
  const policy::Denial denial =
      frontend_.authenticator_->authorize_schema(caller_->identity, schema, {"mysql", ""});
  if (denial == policy::Denial::kNone) return true;
  error(denial == policy::Denial::kSchemaNotAllowed ? mysql::kDatabaseDenied : mysql::kAccessDenied,
        "Access denied for user '" + login_.user + "' to database '" + schema +
            "': " + std::string(policy::reason_message(denial)));
  return false;
}

// A prepare command requires the same rights as the execution.
bool MysqlFrontend::Connection::authorize_statement(const policy::StatementAnalysis& analysis,
                                                    const std::string& schema) {
  if (!revalidate_caller()) return false;
  const policy::Identity& identity = caller_->identity;
  const bool writes = analysis.effect == policy::StatementEffect::kWrites;
  const std::string& class_name = writes ? frontend_.config_.load_class : frontend_.config_.read_class;
  const policy::Denial denial =
      frontend_.authenticator_->authorize(identity, {class_name, writes, &analysis, schema}, {"mysql", ""});
  if (denial == policy::Denial::kNone) return true;
  frontend_.dispatcher_.record_rejection(frontend_.dispatcher_.find_class(class_name).value(),
                                         ResponseStatus::kRejected, identity.tenant);
  std::string reason(policy::reason_message(denial));
  if (denial == policy::Denial::kUnresolvedTables) reason += " (" + analysis.unresolved_reason + ")";
  error(depends_on_caller(denial) ? mysql::kAccessDenied : mysql::kCommandDenied,
        "Command denied to user '" + login_.user + "': " + reason);
  return false;
}

void MysqlFrontend::Connection::handle_command(std::string_view payload) {
  if (payload.empty()) return error(mysql::kUnknownCommand, "Empty command");
  PayloadReader reader(payload.substr(1));
  switch (static_cast<std::uint8_t>(payload[0])) {
    case mysql::kQuit:
      return close_gracefully();
    case mysql::kPing:
      return ok();
    case mysql::kChangeUser:
      return change_user(reader.take_remaining());
    case mysql::kInitDb:
      return use_schema(std::string(reader.take_remaining()));
    case mysql::kQuery:
      return handle_query(std::string(reader.take_remaining()));
    case mysql::kStmtPrepare:
      return prepare(std::string(reader.take_remaining()));
    case mysql::kStmtExecute:
      return execute(reader);
    case mysql::kStmtSendLongData:
      return statements_.append_long_data(reader);
    case mysql::kStmtClose:
      return statements_.remove(static_cast<std::uint32_t>(reader.integer(kStatementIdSize)));
    case mysql::kStmtReset:
      return reset_statement(reader);
    case mysql::kStmtFetch:
      return not_supported("cursors");
    case mysql::kResetConnection:
      statements_.clear();
      autocommit_ = true;
      return ok();
    default:
      return error(mysql::kUnknownCommand, "Unknown command");
  }
}

bool MysqlFrontend::Connection::rejected_locally(const std::string& statement) {
  if (sql::is_empty(statement)) {
    error(mysql::kEmptyQuery, "Query was empty");
    return true;
  }
  const auto state = sql::find_session_state(statement);
  if (state) not_supported(std::string(*state));
  return state.has_value();
}

// Rejects a statement for which a server with autocommit off would open a transaction, because the COMMIT
// could reach another engine.
bool MysqlFrontend::Connection::needs_transaction(const sql::StatementFacts& facts) {
  if (autocommit_ || facts.is_read_only || facts.commits_implicitly) return false;
  error(mysql::kNotSupportedYet,
        "rookproxy doesn't support transactions, and autocommit is off: SET autocommit = 1 to run this "
        "statement");
  return true;
}

// Handles statements that affect only the session, without an engine.
bool MysqlFrontend::Connection::answered_locally(const std::string& statement) {
  const sql::SessionStatement kind = sql::classify_session_statement(statement);
  switch (kind) {
    case sql::SessionStatement::kNone:
      return false;
    case sql::SessionStatement::kAutocommitOn:
    case sql::SessionStatement::kAutocommitOff:
      autocommit_ = kind == sql::SessionStatement::kAutocommitOn;
      break;
    case sql::SessionStatement::kNoEffect:
    case sql::SessionStatement::kEndTransaction:
      break;
  }
  ok();
  return true;
}

void MysqlFrontend::Connection::handle_query(std::string statement) {
  if (answered_locally(statement) || rejected_locally(statement)) return;
  const sql::StatementFacts facts = sql::read_statement_facts(statement);
  if (needs_transaction(facts)) return;
  const auto analysis = analyze(statement);
  if (analysis && !authorize_statement(*analysis, schema_)) return;
  submit(Query::Kind::kStatement, std::move(statement), schema_, facts);
}

void MysqlFrontend::Connection::use_schema(std::string schema) {
  if (schema.empty()) return error(kNoDatabaseSelected, "No database selected");
  pending_schema_ = schema;
  if (!authorize_schema(schema)) return;
  submit(Query::Kind::kUseSchema, std::move(schema), schema_, {});
}

void MysqlFrontend::Connection::prepare(std::string statement) {
  if (statements_.is_full()) {
    return error(mysql::kTooManyStatements, "Can't create more than " +
                                                std::to_string(PreparedStatements::kMaxStatements) +
                                                " prepared statements on one connection");
  }
  if (rejected_locally(statement)) return;
  pending_statement_ = PreparedStatement{};
  pending_statement_.memory = {frontend_.memory_, policy::MemoryUse::kPreparedStatements};
  if (!pending_statement_.try_set_text(statement)) return refuse_for_memory();
  pending_statement_.facts = sql::read_statement_facts(statement);
  pending_statement_.analysis = analyze(statement);
  if (!pending_statement_.try_hold_analysis()) return refuse_for_memory();
  if (pending_statement_.analysis && !authorize_statement(*pending_statement_.analysis, schema_)) return;
  pending_statement_.schema = schema_;
  submit(Query::Kind::kPrepare, std::move(statement), schema_, pending_statement_.facts);
}

// Nothing ran, and memory may be free again later.
void MysqlFrontend::Connection::refuse_for_memory() {
  pending_statement_ = PreparedStatement{};
  error(mysql::kServerNotAvailable, retry_message(frontend_.dispatcher_.overload_retry_after()));
}

// Reads a statement id and finds the statement. If there is none, sends an error to the client and returns
// null.
PreparedStatement* MysqlFrontend::Connection::find_statement(PayloadReader& reader) {
  const auto id = static_cast<std::uint32_t>(reader.integer(kStatementIdSize));
  PreparedStatement* statement = statements_.find(id);
  if (!statement) {
    error(mysql::kUnknownStatement, "Unknown prepared statement handler (" + std::to_string(id) + ")");
  }
  return statement;
}

void MysqlFrontend::Connection::reset_statement(PayloadReader& reader) {
  PreparedStatement* statement = find_statement(reader);
  if (!statement) return;
  statement->reset_long_data();
  ok();
}

void MysqlFrontend::Connection::execute(PayloadReader& reader) {
  PreparedStatement* statement = find_statement(reader);
  if (!statement) return;
  if (needs_transaction(statement->facts)) {
    (void)statement->end_long_data();
    return;
  }
  PreparedExecution execution = PreparedStatements::make_execution(*statement, reader);
  switch (execution.error) {
    case ExecutionError::kNone:
      if (statement->analysis && !authorize_statement(*statement->analysis, statement->schema)) return;
      return submit(Query::Kind::kExecute, statement->text, statement->schema, statement->facts,
                    std::move(execution.query));
    case ExecutionError::kLongDataTooLarge:
      return error(mysql::kPacketTooLarge, "Got a packet bigger than 'max_allowed_packet' bytes");
    case ExecutionError::kLongDataRefused:
      return refuse_for_memory();
    case ExecutionError::kCursorRequested:
      return not_supported("cursors");
    case ExecutionError::kTypesNotBound:
      return error(mysql::kWrongArguments, "Incorrect arguments to EXECUTE: no types were bound");
  }
}

void MysqlFrontend::Connection::submit(Query::Kind kind, std::string statement, const std::string& schema,
                                       const sql::StatementFacts& facts, std::shared_ptr<Query> query) {
  const bool runs = kind == Query::Kind::kStatement || kind == Query::Kind::kExecute;
  const bool writes = runs && !facts.is_read_only;
  const MysqlFrontendConfig& config = frontend_.config_;
  const std::string& class_name = writes ? config.load_class : config.read_class;
  IncomingRequest incoming;
  // The class is looked up by name each time, because a reload may have changed its index.
  incoming.class_index = frontend_.dispatcher_.find_class(class_name).value();
  incoming.table_group = facts.table_groups.group_in(schema);
  const Time arrived_at = command_arrived_at_.value_or(frontend_.loop_.now());
  incoming.deadline = arrived_at + (writes ? config.load_timeout : config.read_timeout);
  query->id = frontend_.new_call_id();
  query->class_name = class_name;
  query->statement = std::move(statement);
  query->kind = kind;
  query->schema = schema;
  query->writes = writes;
  const routing::ClassSettings& settings = frontend_.dispatcher_.class_settings(incoming.class_index);
  query->is_idempotent = !writes && settings.idempotency == routing::Idempotency::kIdempotent;
  query->rows_as_text_lines = false;
  incoming.query = std::move(query);
  if (frontend_.authenticator_) incoming.tenant = caller_->identity.tenant;
  pending_kind_ = kind;
  pending_writes_ = writes;
  state_ = State::kBusy;
  // Further commands of the client wait in the kernel's buffer and use no memory of this process.
  stream_.set_read_paused(true);
  frontend_.loop_.cancel(timer_);
  request_ = frontend_.dispatcher_.submit(incoming, frontend_, key_);
}

}  // namespace rookproxy
