#include "upstream/mysql_connection.h"

#include <utility>

#include "net/slot_map.h"
#include "upstream/mysql_pool.h"

namespace rookproxy {
namespace {

using policy::SessionCommand;

constexpr std::size_t kMaxFirstPayloadSize = 1024;
// Packets of the login are short; the longest one has a public key.
constexpr std::size_t kMaxLoginPacketSize = 16 * 1024;
// How much is kept of a payload that arrives in parts: all that any reader of it needs.
constexpr std::size_t kMaxKeptStart = kMaxLoginPacketSize;
static_assert(kMaxKeptStart >= kMaxFirstPayloadSize &&
              kMaxFirstPayloadSize >= mysql::ResponseTracker::kExaminedBytes);
// Bytes of a query are written without being copied from this size on.
constexpr std::size_t kMinSharedBytes = 16 * 1024;

std::string little_endian(std::uint32_t value, std::size_t size) {
  std::string bytes;
  mysql::append_integer(bytes, value, size);
  return bytes;
}

}  // namespace

MysqlConnection::MysqlConnection(MysqlPool& pool, SlotKey key, EngineId engine)
    : EngineConnection(pool, key, engine),
      mysql_pool_(pool),
      prepared_statements_(pool.memory()),
      response_(pool.memory(), pool.max_result_bytes()) {}

bool MysqlConnection::can_accept(const Query* query) const {
  if (!query) return session_.can_probe();
  return session_.can_accept(session_schema(*query));
}

void MysqlConnection::set_kill_target(const MysqlSessionId& session) {
  kill_target_ = session;
  session_.dedicate_to_kill();
}

StatementKey MysqlConnection::statement_key(const Query& query) const {
  return {required_schema(query), query.statement};
}

// The schema that the session has after the query.
const std::string& MysqlConnection::session_schema(const Query& query) const {
  return query.kind == Query::Kind::kUseSchema ? query.statement : required_schema(query);
}

policy::SessionAttempt MysqlConnection::session_attempt(const Query& query) const {
  using Kind = policy::SessionAttempt::Kind;
  switch (query.kind) {
    case Query::Kind::kUseSchema:
      return {Kind::kUseSchema, session_schema(query)};
    case Query::Kind::kPrepare:
      return {Kind::kPrepare, session_schema(query)};
    case Query::Kind::kExecute:
      return {Kind::kExecutePrepared, session_schema(query)};
    case Query::Kind::kStatement:
      break;
  }
  return {Kind::kStatement, session_schema(query)};
}

const std::string& MysqlConnection::required_schema(const Query& query) const {
  return query.schema.empty() ? mysql_pool_.account().schema : query.schema;
}

Stream::WriteId MysqlConnection::send_payload(std::string_view payload, std::uint64_t* completed_counter) {
  return stream().write(mysql::split_into_packets(payload, sequence_), completed_counter);
}

Stream::WriteId MysqlConnection::write_command(std::uint8_t code, const CommandArguments& arguments,
                                               std::uint64_t* completed_counter) {
  sequence_ = 0;
  const std::size_t size = sizeof code + arguments.prefix.size() + arguments.query_bytes.size();
  std::string head;
  if (arguments.query_bytes.size() < kMinSharedBytes || size >= mysql::kMaxPayloadSize) {
    head.reserve(size);
    head += static_cast<char>(code);
    head += arguments.prefix;
    head += arguments.query_bytes;
    return send_payload(head, completed_counter);
  }
  mysql::append_integer(head, size, 3);
  head += static_cast<char>(sequence_++);
  head += static_cast<char>(code);
  head += arguments.prefix;
  return stream().write(std::move(head), {attempt_->query, arguments.query_bytes}, completed_counter);
}

void MysqlConnection::send_without_response(std::uint8_t code, const CommandArguments& arguments) {
  write_command(code, arguments, nullptr);
}

void MysqlConnection::send_command(SessionCommand command, std::uint8_t code,
                                   const CommandArguments& arguments) {
  using Kind = mysql::ResponseTracker::Kind;
  session_.on_command_sent(command);
  sequence_ = 0;
  tracker_ = mysql::ResponseTracker(command == SessionCommand::kPrepare ? Kind::kPrepare : Kind::kPlain);
  response_.clear();
  first_payload_.clear();
  // Only the command that runs the statement counts as the attempt; preceding commands don't.
  const bool executes = command == SessionCommand::kExecute;
  const Stream::WriteId write =
      write_command(code, arguments, executes ? attempts_written_counter() : nullptr);
  if (executes) execute_write_ = write;
}

void MysqlConnection::start_attempt(const AttemptRequest& request) {
  attempt_ = request;
  session_.assign(session_attempt(*request.query));
  execute_write_.reset();
  send_next_command();
}

void MysqlConnection::probe() {
  session_.request_ping();
  send_next_command();
}

// Returns false if the attempt must not be sent; the attempt is then released.
bool MysqlConnection::check_start_allowed() {
  if (may_start(*attempt_)) return true;
  end_session_attempt();
  release_attempt();
  return false;
}

// Sends the command that the session's state asks for, if there is one.
void MysqlConnection::send_next_command() {
  if (login_state_ != LoginState::kComplete || session_.is_awaiting_response()) return;
  std::optional<std::uint32_t> prepared_id;
  if (attempt_ && attempt_->query->kind == Query::Kind::kExecute) {
    prepared_id = prepared_statements_.use(statement_key(*attempt_->query));
  }
  const std::optional<SessionCommand> command = session_.next_command(prepared_id.has_value());
  if (!command) return;
  if (*command == SessionCommand::kFindKillTarget) {
    const std::string statement =
        "SELECT ID FROM information_schema.PROCESSLIST WHERE ID = " + std::to_string(kill_target_.number) +
        " AND HOST LIKE '%:" + std::to_string(kill_target_.client_port) + "'";
    return send_command(*command, mysql::kQuery, {statement, ""});
  }
  if (*command == SessionCommand::kKill) {
    const std::string statement = "KILL QUERY " + std::to_string(kill_target_.number);
    return send_command(*command, mysql::kQuery, {statement, ""});
  }
  if (*command == SessionCommand::kPing) return send_command(*command, mysql::kPing, {});
  if (check_start_allowed()) send_attempt_command(*command, prepared_id);
}

void MysqlConnection::send_attempt_command(SessionCommand command, std::optional<std::uint32_t> prepared_id) {
  const Query& query = *attempt_->query;
  if (command == SessionCommand::kSelectSchema) {
    return send_command(command, mysql::kInitDb, {required_schema(query), ""});
  }
  if (command == SessionCommand::kExecute) return send_execution(prepared_id);
  close_statements(prepared_statements_.evict(statement_key(query)));
  send_command(command, mysql::kStmtPrepare, {"", query.statement});
}

void MysqlConnection::send_execution(std::optional<std::uint32_t> prepared_id) {
  const Query& query = *attempt_->query;
  if (!prepared_id) {
    const bool uses_schema = query.kind == Query::Kind::kUseSchema;
    return send_command(SessionCommand::kExecute, uses_schema ? mysql::kInitDb : mysql::kQuery,
                        {"", query.statement});
  }
  const std::string id_bytes = little_endian(*prepared_id, 4);
  for (const auto& [parameter, data] : query.long_data) {
    send_without_response(mysql::kStmtSendLongData, {id_bytes + little_endian(parameter, 2), data});
  }
  send_command(SessionCommand::kExecute, mysql::kStmtExecute, {id_bytes, query.parameters});
}

void MysqlConnection::close_statements(const std::vector<std::uint32_t>& ids) {
  for (const std::uint32_t id : ids) send_without_response(mysql::kStmtClose, {little_endian(id, 4), ""});
}

bool MysqlConnection::cancel_attempt(AttemptKey attempt) {
  if (!attempt_ || attempt_->key != attempt) return false;
  // A command that was not sent can't have run. Preceding commands may still complete.
  const bool unsent = !execute_write_ || stream().cancel_write(*execute_write_);
  const bool writes = attempt_->query->writes;
  end_session_attempt();
  response_.clear();  // What still arrives of it is not kept.
  if (unsent && !session_.is_awaiting(SessionCommand::kExecute)) {
    release_attempt();
    return true;
  }
  if (unsent) {
    // The connection waits for a response to a command that was not sent.
    fail_connection("attempt cancelled before it was sent");
    return true;
  }
  drain();
  // The protocol can't cancel a statement on its own connection. A statement that only reads is killed
  // through another connection. A statement that writes runs to its end, because a partial write may be worse
  // than a complete one.
  if (writes) return false;
  mysql_pool_.kill_query(engine(), {engine_connection_id_, local_port()});
  // Closes the connection if the response is still incomplete when the request can no longer be repeated.
  set_response_deadline(current_time() + limits().request_id_retention);
  return false;
}

bool MysqlConnection::has_attempt_started(AttemptKey attempt) const {
  return attempt_ && attempt_->key == attempt && execute_write_ &&
         stream().has_write_started(*execute_write_);
}

void MysqlConnection::end_unsent_attempts() {
  if (!attempt_ || (execute_write_ && !stream().cancel_write(*execute_write_))) return;
  const bool awaits_execution = session_.is_awaiting(SessionCommand::kExecute);
  end_attempt(Outcome::kNotSent);
  if (awaits_execution) fail_connection("attempt withdrawn before it was sent");
}

void MysqlConnection::on_connection_lost(std::string_view reason) {
  response_.clear();
  if (!attempt_) return;
  const bool started = execute_write_ && stream().has_write_started(*execute_write_);
  const AttemptRequest attempt = *attempt_;
  attempt_.reset();
  session_.end_attempt();
  if (!started) return retry_unsent_attempt(attempt, reason);
  complete_attempt(attempt.key, {Outcome::kConnectionLost, std::nullopt, std::string(reason)});
}

void MysqlConnection::end_attempt(Outcome outcome, std::string body) {
  execute_write_.reset();
  if (!attempt_) return;
  const AttemptKey key = attempt_->key;
  end_session_attempt();
  complete_attempt(key, {outcome, std::nullopt, std::move(body)});
  release_attempt();
}

void MysqlConnection::end_session_attempt() {
  attempt_.reset();
  session_.end_attempt();
  const std::vector<std::uint32_t> unused = prepared_statements_.end_use();
  // A session that an execution leaves is closed.
  if (!session_.is_awaiting(SessionCommand::kExecute)) close_statements(unused);
}

std::size_t MysqlConnection::on_bytes(std::string_view bytes) {
  if (!packet_ && bytes.size() < mysql::kHeaderSize) return 0;
  record_activity();
  try {
    return read_packet_part(bytes);
  } catch (const mysql::MalformedPacketError& error) {
    fail_connection(error.what());
  }
  return bytes.size();
}

// Takes a packet, or what has arrived of one, so that an incomplete packet is held only if its response is
// kept, within the limits on results. Returns the number of bytes taken.
std::size_t MysqlConnection::read_packet_part(std::string_view bytes) {
  if (packet_) return read_rest_of_packet(bytes);
  const std::optional<std::size_t> size = begin_packet(bytes.substr(0, mysql::kHeaderSize));
  if (!size) return bytes.size();  // The connection was closed.
  const std::string_view packet = bytes.substr(0, mysql::kHeaderSize + *size);
  if (!keep_if_awaited(packet)) return bytes.size();
  const std::string_view payload = packet.substr(mysql::kHeaderSize);
  if (payload.size() == *size) {
    end_packet(payload, payload.size());
  } else {
    packet_ = IncomingPacket{*size, *size - payload.size(), std::string(payload.substr(0, kMaxKeptStart))};
  }
  return packet.size();
}

std::size_t MysqlConnection::read_rest_of_packet(std::string_view bytes) {
  const std::string_view part = bytes.substr(0, packet_->missing_bytes);
  if (!keep_if_awaited(part)) return bytes.size();
  packet_->missing_bytes -= part.size();
  packet_->start += part.substr(0, kMaxKeptStart - packet_->start.size());
  if (packet_->missing_bytes > 0) return part.size();
  const IncomingPacket packet = *std::exchange(packet_, std::nullopt);
  end_packet(packet.start, packet.size);
  return part.size();
}

// Keeps the bytes if an attempt waits for them. Returns false after closing the connection if they are too
// many.
bool MysqlConnection::keep_if_awaited(std::string_view bytes) {
  if (!is_response_kept() || response_.try_append(bytes)) return true;
  reject_large_result();
  fail_connection("result exceeds the limit of buffered bytes");
  return false;
}

// An attempt may be assigned while the login or a ping still goes on; it waits for other responses. The
// search for a kill's target is no attempt.
bool MysqlConnection::is_response_kept() const {
  const bool is_awaited = attempt_.has_value() || session_.is_awaiting(SessionCommand::kFindKillTarget);
  return login_state_ == LoginState::kComplete && is_awaited;
}

// Returns the size of the payload, or nothing if the connection had to be closed.
std::optional<std::size_t> MysqlConnection::begin_packet(std::string_view header) {
  mysql::PayloadReader reader(header);
  const std::size_t size = reader.integer(3);
  const auto sequence = static_cast<std::uint8_t>(reader.integer(1));
  if (login_state_ != LoginState::kComplete) {
    if (size > kMaxLoginPacketSize) throw mysql::MalformedPacketError("oversized packet during login");
    sequence_ = sequence;
  } else if (!session_.is_awaiting_response()) {
    // Servers send an unsolicited error when they close an idle session.
    fail_connection("unsolicited packet on an idle connection");
    return std::nullopt;
  }
  if (sequence != sequence_) throw mysql::MalformedPacketError("packets out of order");
  ++sequence_;
  // The stated size decides, so that no part of a packet is kept that would be rejected as a whole.
  if (is_response_kept() && !response_.has_room_for(header.size() + size)) {
    reject_large_result();
    fail_connection("result exceeds the limit of buffered bytes");
    return std::nullopt;
  }
  return size;
}

void MysqlConnection::end_packet(std::string_view payload_start, std::size_t payload_size) {
  if (login_state_ != LoginState::kComplete) return handle_login_packet(payload_start);
  if (first_payload_.empty()) first_payload_ = payload_start.substr(0, kMaxFirstPayloadSize);
  if (tracker_.on_packet(payload_start, payload_size)) on_response_complete();
}

// The statement has run and would return as much on any engine, so another attempt can't help: the client
// gets an error in the form that a server would send.
void MysqlConnection::reject_large_result() {
  if (!attempt_) return;
  const std::string message =
      "Result of more than " + std::to_string(mysql_pool_.max_result_bytes()) + " bytes";
  if (attempt_->query->rows_as_text_lines) return end_attempt(Outcome::kError, message);
  std::uint8_t first_sequence = 1;
  end_attempt(Outcome::kServed, mysql::split_into_packets(
                                    mysql::error_payload(mysql::kPacketTooLarge, message), first_sequence));
}

}  // namespace rookproxy
