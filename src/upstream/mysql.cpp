#include "upstream/mysql.h"

#include <algorithm>

namespace rookproxy {
namespace {

constexpr std::size_t kMaxPreparedStatements = 64;

// Errors of an engine that is in no state to run anything, as opposed to one that has judged the statement.
bool is_overload_error(std::uint16_t code) {
  return code == mysql::kTooManyConnections || code == mysql::kUserConnections || code == mysql::kUserLimit ||
         code == mysql::kServerNotAvailable;
}
bool is_engine_error(std::uint16_t code) {
  constexpr std::uint16_t kOutOfMemory = 1037, kSortMemory = 1038, kOutOfResources = 1041, kDiskFull = 1021;
  return code == mysql::kServerShutdown || code == mysql::kQueryInterrupted || code == mysql::kQueryTimeout ||
         code == kOutOfMemory || code == kSortMemory || code == kOutOfResources || code == kDiskFull;
}
// The engine no longer knows the prepared statement: it never ran, and another attempt prepares it anew.
bool is_unknown_statement(std::uint16_t code) {
  return code == mysql::kUnknownStatement || code == mysql::kNeedReprepare;
}

bool is_procedure_call(std::string_view statement) {
  const auto at = statement.find_first_not_of(" \t\r\n");
  if (at == statement.npos || statement.size() < at + 4) return false;
  const std::string_view word = "call";
  return std::equal(word.begin(), word.end(), statement.begin() + static_cast<std::ptrdiff_t>(at),
                    [](char a, char b) { return a == (b | 0x20); });
}

}  // namespace

MysqlConnection::MysqlConnection(MysqlPool& pool, SlotKey key, EngineId engine)
    : EngineConnection(pool, key, engine), mysql_pool_(pool) {}

bool MysqlConnection::can_accept(const Query* query) const {
  if (attempt_ || cancelled_ || thread_to_kill_) return false;
  if (!query) return true;
  // A session's schema can be changed but not unset: one that has it would find tables that the client can't
  // name.
  return schema_.empty() || !query->schema.empty() || !mysql_pool_.account_.schema.empty();
}

Stream::WriteId MysqlConnection::send_payload(std::string_view payload, std::uint64_t* written) {
  return stream_->write(mysql::split_into_packets(payload, sequence_), written);
}

void MysqlConnection::send_command(State next, std::uint8_t code, std::string_view rest) {
  state_ = next;
  sequence_ = 0;
  tracker_ = mysql::ResponseTracker(next == State::kPrepare ? mysql::ResponseTracker::Kind::kPrepare
                                                            : mysql::ResponseTracker::Kind::kPlain);
  mysql_pool_.buffered_result_bytes_ -= response_.size();
  response_.clear();
  first_payload_.clear();
  std::string payload(1, static_cast<char>(code));
  payload += rest;
  // Only what makes it run is the attempt; a schema or a preparation ahead of it is not.
  const Stream::WriteId ticket =
      send_payload(payload, next == State::kExecute ? attempts_written_counter() : nullptr);
  if (next == State::kExecute) execute_write_ = ticket;
}

void MysqlConnection::start_attempt(const AttemptRequest& order) {
  attempt_ = order;
  execute_write_.reset();
  if (state_ == State::kReady) advance();
}

void MysqlConnection::probe() {
  ping_pending_ = true;
  if (state_ == State::kReady) advance();
}

bool MysqlConnection::confirm_start() {
  if (may_start(*attempt_)) return true;
  attempt_.reset();
  release_attempt();
  return false;
}

void MysqlConnection::advance() {
  state_ = State::kReady;
  if (thread_to_kill_) {
    return send_command(State::kKill, mysql::kQuery, "KILL QUERY " + std::to_string(*thread_to_kill_));
  }
  if (std::exchange(ping_pending_, false)) return send_command(State::kPing, mysql::kPing, "");
  if (!attempt_) return;
  if (!confirm_start()) return;
  const Query& query = *attempt_->query;
  const std::string& wanted = query.schema.empty() ? mysql_pool_.account_.schema : query.schema;
  if (query.kind == Query::Kind::kUseSchema)
    return send_command(State::kExecute, mysql::kInitDb, query.statement);
  if (wanted != schema_ && !wanted.empty()) return send_command(State::kSelectSchema, mysql::kInitDb, wanted);
  if (query.kind == Query::Kind::kStatement)
    return send_command(State::kExecute, mysql::kQuery, query.statement);
  const auto known = std::find_if(prepared_statements_.begin(), prepared_statements_.end(),
                                  [&](const PreparedStatement& one) { return one.text == query.statement; });
  if (query.kind == Query::Kind::kPrepare) {
    close_prepared(query.statement);
    return send_command(State::kPrepare, mysql::kStmtPrepare, query.statement);
  }
  if (known == prepared_statements_.end())
    return send_command(State::kPrepare, mysql::kStmtPrepare, query.statement);
  prepared_statements_.splice(prepared_statements_.begin(), prepared_statements_, known);
  execute_prepared(prepared_statements_.front().id);
}

void MysqlConnection::execute_prepared(std::uint32_t id) {
  state_ = State::kReady;
  if (!confirm_start()) return advance();
  const Query& query = *attempt_->query;
  std::string id_bytes;
  mysql::append_integer(id_bytes, id, 4);
  for (const auto& [parameter, data] : query.long_data) {
    std::string rest = id_bytes;
    mysql::append_integer(rest, parameter, 2);
    rest += data;
    sequence_ = 0;
    std::string payload(1, static_cast<char>(mysql::kStmtSendLongData));
    payload += rest;
    send_payload(payload);  // has no answer
  }
  send_command(State::kExecute, mysql::kStmtExecute, id_bytes + query.parameters);
}

void MysqlConnection::close_prepared(const std::string& text) {
  for (auto at = prepared_statements_.begin(); at != prepared_statements_.end();) {
    const bool oldest =
        prepared_statements_.size() > kMaxPreparedStatements && std::next(at) == prepared_statements_.end();
    if (at->text != text && !oldest) {
      ++at;
      continue;
    }
    std::string payload(1, static_cast<char>(mysql::kStmtClose));
    mysql::append_integer(payload, at->id, 4);
    sequence_ = 0;
    send_payload(payload);  // has no answer
    at = prepared_statements_.erase(at);
  }
}

bool MysqlConnection::cancel_attempt(AttemptKey attempt) {
  if (!attempt_ || attempt_->key != attempt || cancelled_) return false;
  // What is not begun can't have run; the steps before it may finish on their own.
  const bool unsent = !execute_write_ || stream_->cancel_write(*execute_write_);
  const bool writes = attempt_->query->writes;
  attempt_.reset();
  if (unsent && state_ != State::kExecute) {
    release_attempt();
    return true;
  }
  if (unsent) {
    fail_connection("taken back");  // its answer will never come
    return true;
  }
  cancelled_ = true;
  draining_ = true;
  // The protocol can't call a statement off on its own connection. One that only reads is stopped by another;
  // one that writes is let run to its end, since half an effect may be worse than a whole one.
  if (writes) return false;
  mysql_pool_.kill_thread(engine_, thread_id_);
  // An answer that never ends, or an engine that has vanished, keeps it no longer than anybody could ask
  // again.
  set_response_deadline(current_time() + limits().request_id_retention);
  return false;
}

bool MysqlConnection::has_attempt_started(AttemptKey attempt) const {
  return attempt_ && attempt_->key == attempt && execute_write_ &&
         stream_->has_write_started(*execute_write_);
}

void MysqlConnection::end_never_sent() {
  if (!attempt_ || (execute_write_ && !stream_->cancel_write(*execute_write_))) return;
  const bool waits_for_answer = state_ == State::kExecute;
  end_attempt(Outcome::kNotSent);
  if (waits_for_answer) fail_connection("taken back");
}

void MysqlConnection::on_connection_lost(std::string_view why) {
  mysql_pool_.buffered_result_bytes_ -= response_.size();
  response_.clear();
  open_attempts_ = 0;
  cancelled_ = false;
  if (!attempt_) return;
  const bool ran = execute_write_ && stream_->has_write_started(*execute_write_);
  const AttemptRequest order = *attempt_;
  attempt_.reset();
  if (!ran) return on_never_sent(order, why);
  report_attempt_end(order.key, {Outcome::kConnectionLost, std::nullopt, std::string(why)});
}

void MysqlConnection::end_attempt(Outcome outcome, std::string body) {
  execute_write_.reset();
  if (!attempt_) return;
  const AttemptKey key = attempt_->key;
  attempt_.reset();
  report_attempt_end(key, {outcome, std::nullopt, std::move(body)});
  release_attempt();
}

std::size_t MysqlConnection::on_bytes(std::string_view bytes) {
  if (bytes.size() < mysql::kHeaderSize) return 0;
  mysql::PayloadReader header(bytes.substr(0, mysql::kHeaderSize));
  const std::size_t size = header.integer(3);
  const auto sequence = static_cast<std::uint8_t>(header.integer(1));
  if (bytes.size() - mysql::kHeaderSize < size) return 0;
  record_activity();
  const auto packet = bytes.substr(0, mysql::kHeaderSize + size);
  const auto payload = packet.substr(mysql::kHeaderSize);
  try {
    if (state_ == State::kGreeting || state_ == State::kLogin) {
      sequence_ = static_cast<std::uint8_t>(sequence + 1);
      handle_login_packet(payload);
    } else if (state_ == State::kReady) {
      fail_connection("an answer to nothing");  // servers say so when they close an idle session
    } else if (sequence != sequence_) {
      throw mysql::MalformedPacketError("packets out of order");
    } else {
      ++sequence_;
      if (first_payload_.empty()) first_payload_ = payload.substr(0, 1024);
      response_ += packet;
      mysql_pool_.buffered_result_bytes_ += packet.size();
      if (response_.size() > mysql_pool_.max_result_bytes_ ||
          mysql_pool_.buffered_result_bytes_ > mysql_pool_.max_total_result_bytes_) {
        end_result_too_large();
        fail_connection("the result is too large");
      } else if (tracker_.on_packet(payload)) {
        on_response_complete();
      }
    }
  } catch (const mysql::MalformedPacketError& fault) {
    fail_connection(fault.what());
  }
  return packet.size();
}

void MysqlConnection::handle_login_packet(std::string_view payload) {
  if (payload.empty()) throw mysql::MalformedPacketError("an empty packet at log-in");
  if (payload[0] == '\xff') {
    const auto error = mysql::parse_error(payload);
    // Nothing ran here. A full engine says so at the door; a wrong password is the operator's to see.
    const Outcome outcome = is_overload_error(error.code) ? Outcome::kRejected : Outcome::kConnectFailed;
    end_attempt(outcome, error.text);
    return fail_connection(error.text);
  }
  if (state_ == State::kGreeting) {
    const auto greeting = mysql::parse_greeting(payload);
    thread_id_ = greeting.connection_id;
    nonce_ = greeting.nonce;
    constexpr std::uint32_t kNeeded = mysql::kProtocol41 | mysql::kSecureConnection | mysql::kPluginAuth;
    if ((greeting.capabilities & kNeeded) != kNeeded)
      throw mysql::MalformedPacketError("a server too old to talk to");
    const std::string plugin = mysql::make_auth_response(greeting.plugin, "", "")
                                   ? greeting.plugin
                                   : std::string(mysql::kNativePassword);
    mysql::Login login;
    login.capabilities = mysql::kCapabilities & ~(mysql::kConnectWithDb | mysql::kConnectAttrs);
    login.user = mysql_pool_.account_.user;
    login.auth_response = *mysql::make_auth_response(plugin, mysql_pool_.account_.password, nonce_);
    login.plugin = plugin;
    state_ = State::kLogin;
    send_payload(mysql::login_payload(login));
  } else if (payload[0] == '\0') {
    EngineConnection::on_connected();
    advance();
  } else if (payload[0] == '\xfe') {
    mysql::PayloadReader reader(payload.substr(1));
    const std::string plugin(reader.null_terminated_string());
    nonce_ = std::string(reader.take_remaining().substr(0, 20));
    const auto proof = mysql::make_auth_response(plugin, mysql_pool_.account_.password, nonce_);
    if (!proof) throw mysql::MalformedPacketError("a log-in method that is not known here");
    send_payload(*proof);
  } else if (payload == "\x01\x04") {
    send_payload("\x02");  // all of the password, please: first its key
  } else if (payload[0] == '\x01' && payload.size() > 2) {
    const auto secret =
        mysql::encrypt_password(mysql_pool_.account_.password, nonce_, std::string(payload.substr(1)));
    if (!secret) throw mysql::MalformedPacketError("a key that can't be read");
    send_payload(*secret);
  }  // else 01 03: the proof was right, OK follows
}

// The statement has run and would give as much anywhere: an error of its own, as a server words it, and no
// fault of the engine's that another attempt could mend.
void MysqlConnection::end_result_too_large() {
  if (!attempt_) return;
  const std::string words = "Result of more than " + std::to_string(mysql_pool_.max_result_bytes_) + " bytes";
  std::uint8_t first = 1;
  const bool text = attempt_->query->rows_as_text_lines;
  end_attempt(
      text ? Outcome::kError : Outcome::kServed,
      text ? words : mysql::split_into_packets(mysql::error_payload(mysql::kPacketTooLarge, words), first));
}

void MysqlConnection::on_response_complete() {
  const bool failed = tracker_.failed();
  switch (state_) {
    case State::kKill:
      return fail_connection("stopped what it was to stop");
    case State::kPing:
      state_ = State::kReady;
      complete_probe(failed ? Outcome::kError : Outcome::kServed, std::nullopt);
      return advance();
    case State::kSelectSchema:
      if (!attempt_) return advance();
      if (failed) return on_execution_complete();  // an unknown schema: the client's matter, and nothing ran
      schema_ = attempt_->query->schema.empty() ? mysql_pool_.account_.schema : attempt_->query->schema;
      return advance();
    case State::kPrepare: {
      if (failed) return on_execution_complete();
      mysql::PayloadReader reader(first_payload_);
      reader.integer(1);
      const auto id = static_cast<std::uint32_t>(reader.integer(4));
      if (!attempt_) {  // withdrawn meanwhile
        std::string payload(1, static_cast<char>(mysql::kStmtClose));
        mysql::append_integer(payload, id, 4);
        sequence_ = 0;
        send_payload(payload);
        return advance();
      }
      prepared_statements_.push_front({attempt_->query->statement, id});
      if (attempt_->query->kind == Query::Kind::kPrepare) return on_execution_complete();
      close_prepared("");  // the oldest, if there are too many
      return execute_prepared(id);
    }
    case State::kExecute:
      return on_execution_complete();
    default:
      return;
  }
}

// The last response that the order asks for is whole: what it says decides how the attempt ended.
void MysqlConnection::on_execution_complete() {
  const bool was_run = state_ == State::kExecute;
  state_ = State::kReady;
  if (std::exchange(cancelled_, false)) {
    release_attempt();  // retired: closes
    return;
  }
  if (!attempt_) return advance();
  const Query& query = *attempt_->query;
  Outcome outcome = Outcome::kServed;
  std::string words;
  if (tracker_.failed()) {
    // The error may stand at the end of rows: then the client sees it there, and the rows before it.
    const auto error =
        first_payload_.starts_with('\xff') ? mysql::parse_error(first_payload_) : mysql::ErrorInfo{};
    words = error.text;
    if (is_unknown_statement(error.code) && query.kind == Query::Kind::kExecute) {
      prepared_statements_.remove_if(
          [&](const PreparedStatement& one) { return one.text == query.statement; });
      outcome = Outcome::kNotSent;
    } else if (is_overload_error(error.code)) {
      outcome = Outcome::kRejected;
    } else if (is_engine_error(error.code) || error.code == 0) {
      outcome = was_run ? Outcome::kError : Outcome::kRejected;
    } else if (query.rows_as_text_lines) {
      outcome = Outcome::kError;  // lines of text have no way to carry it
    }
  } else if (query.kind == Query::Kind::kUseSchema) {
    schema_ = query.statement;
  }
  if (was_run && is_procedure_call(query.statement))
    draining_ = true;  // a procedure may leave anything in the session
  mysql_pool_.buffered_result_bytes_ -= response_.size();
  std::string body = std::exchange(response_, {});
  try {
    if (outcome == Outcome::kServed && query.rows_as_text_lines) body = mysql::format_rows(body);
  } catch (const mysql::MalformedPacketError& fault) {
    outcome = Outcome::kError;
    words = fault.what();
  }
  end_attempt(outcome, outcome == Outcome::kServed ? std::move(body) : std::move(words));
  if (ping_pending_ && state_ == State::kReady) advance();
}

void MysqlPool::kill_thread(EngineId engine, std::uint32_t thread) {
  if (EngineConnection* helper = open_connection(engine))
    static_cast<MysqlConnection*>(helper)->kill_thread(thread);
}

}  // namespace rookproxy
