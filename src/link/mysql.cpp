#include "link/mysql.h"

#include <algorithm>

namespace rookproxy {
namespace {

constexpr std::size_t kMostPrepared = 64;

// Errors of an engine that is in no state to run anything, as opposed to one that has judged the statement.
bool turned_away(std::uint16_t code) {
  return code == mysql::kTooManyConnections || code == mysql::kUserConnections || code == mysql::kUserLimit ||
         code == mysql::kServerNotAvailable;
}
bool engine_fault(std::uint16_t code) {
  constexpr std::uint16_t kOutOfMemory = 1037, kSortMemory = 1038, kOutOfResources = 1041, kDiskFull = 1021;
  return code == mysql::kServerShutdown || code == mysql::kQueryInterrupted || code == mysql::kQueryTimeout ||
         code == kOutOfMemory || code == kSortMemory || code == kOutOfResources || code == kDiskFull;
}
// The engine no longer knows the prepared statement: it never ran, and another attempt prepares it anew.
bool not_prepared(std::uint16_t code) {
  return code == mysql::kUnknownStatement || code == mysql::kNeedReprepare;
}

bool is_call(std::string_view statement) {
  const auto at = statement.find_first_not_of(" \t\r\n");
  if (at == statement.npos || statement.size() < at + 4) return false;
  const std::string_view word = "call";
  return std::equal(word.begin(), word.end(), statement.begin() + static_cast<std::ptrdiff_t>(at),
                    [](char a, char b) { return a == (b | 0x20); });
}

}  // namespace

MysqlConnection::MysqlConnection(MysqlPool& pool, SlotKey key, EngineId engine)
    : LinkConnection(pool, key, engine), mysql_(pool) {}

bool MysqlConnection::takes(const Query* query) const {
  if (order_ || withdrawn_ || thread_to_stop_) return false;
  if (!query) return true;
  // A session's schema can be changed but not unset: one that has it would find tables that the client can't
  // name.
  return schema_.empty() || !query->schema.empty() || !mysql_.account_.schema.empty();
}

Stream::Ticket MysqlConnection::send(std::string_view payload, std::uint64_t* written) {
  return stream_->write(mysql::packets(payload, sequence_), written);
}

void MysqlConnection::command(State next, std::uint8_t code, std::string_view rest) {
  state_ = next;
  sequence_ = 0;
  tracker_ = mysql::ResponseTracker(next == State::kPrepare ? mysql::ResponseTracker::Kind::kPrepare
                                                            : mysql::ResponseTracker::Kind::kPlain);
  mysql_.results_ -= response_.size();
  response_.clear();
  first_payload_.clear();
  std::string payload(1, static_cast<char>(code));
  payload += rest;
  // Only what makes it run is the attempt; a schema or a preparation ahead of it is not.
  const Stream::Ticket ticket = send(payload, next == State::kRun ? attempts_written() : nullptr);
  if (next == State::kRun) begun_ = ticket;
}

void MysqlConnection::start(const Order& order) {
  order_ = order;
  begun_.reset();
  if (state_ == State::kReady) go_on();
}

void MysqlConnection::probe() {
  ping_wanted_ = true;
  if (state_ == State::kReady) go_on();
}

bool MysqlConnection::may_run() {
  if (may_begin(*order_)) return true;
  order_.reset();
  attempt_over();
  return false;
}

void MysqlConnection::go_on() {
  state_ = State::kReady;
  if (thread_to_stop_) {
    return command(State::kStop, mysql::kQuery, "KILL QUERY " + std::to_string(*thread_to_stop_));
  }
  if (std::exchange(ping_wanted_, false)) return command(State::kPing, mysql::kPing, "");
  if (!order_) return;
  if (!may_run()) return;
  const Query& query = *order_->query;
  const std::string& wanted = query.schema.empty() ? mysql_.account_.schema : query.schema;
  if (query.kind == Query::Kind::kUseSchema) return command(State::kRun, mysql::kInitDb, query.statement);
  if (wanted != schema_ && !wanted.empty()) return command(State::kUse, mysql::kInitDb, wanted);
  if (query.kind == Query::Kind::kStatement) return command(State::kRun, mysql::kQuery, query.statement);
  const auto known = std::find_if(prepared_.begin(), prepared_.end(),
                                  [&](const Prepared& one) { return one.text == query.statement; });
  if (query.kind == Query::Kind::kPrepare) {
    forget(query.statement);
    return command(State::kPrepare, mysql::kStmtPrepare, query.statement);
  }
  if (known == prepared_.end()) return command(State::kPrepare, mysql::kStmtPrepare, query.statement);
  prepared_.splice(prepared_.begin(), prepared_, known);
  execute(prepared_.front().id);
}

void MysqlConnection::execute(std::uint32_t id) {
  state_ = State::kReady;
  if (!may_run()) return go_on();
  const Query& query = *order_->query;
  std::string id_bytes;
  mysql::put_number(id_bytes, id, 4);
  for (const auto& [parameter, data] : query.long_data) {
    std::string rest = id_bytes;
    mysql::put_number(rest, parameter, 2);
    rest += data;
    sequence_ = 0;
    std::string payload(1, static_cast<char>(mysql::kStmtSendLongData));
    payload += rest;
    send(payload);  // has no answer
  }
  command(State::kRun, mysql::kStmtExecute, id_bytes + query.parameters);
}

void MysqlConnection::forget(const std::string& text) {
  for (auto at = prepared_.begin(); at != prepared_.end();) {
    const bool oldest = prepared_.size() > kMostPrepared && std::next(at) == prepared_.end();
    if (at->text != text && !oldest) {
      ++at;
      continue;
    }
    std::string payload(1, static_cast<char>(mysql::kStmtClose));
    mysql::put_number(payload, at->id, 4);
    sequence_ = 0;
    send(payload);  // has no answer
    at = prepared_.erase(at);
  }
}

bool MysqlConnection::withdraw(AttemptKey attempt) {
  if (!order_ || order_->key != attempt || withdrawn_) return false;
  // What is not begun can't have run; the steps before it may finish on their own.
  const bool unsent = !begun_ || stream_->take_back(*begun_);
  const bool writes = order_->query->writes;
  order_.reset();
  if (unsent && state_ != State::kRun) {
    attempt_over();
    return true;
  }
  if (unsent) {
    break_off("taken back");  // its answer will never come
    return true;
  }
  withdrawn_ = true;
  retired_ = true;
  // The protocol can't call a statement off on its own connection. One that only reads is stopped by another;
  // one that writes is let run to its end, since half an effect may be worse than a whole one.
  if (writes) return false;
  mysql_.stop_thread(engine_, thread_);
  // An answer that never ends, or an engine that has vanished, keeps it no longer than anybody could ask
  // again.
  due_at(pool_now() + limits().ids_kept);
  return false;
}

bool MysqlConnection::has_begun(AttemptKey attempt) const {
  return order_ && order_->key == attempt && begun_ && stream_->has_begun(*begun_);
}

void MysqlConnection::drop_unsent() {
  if (!order_ || (begun_ && !stream_->take_back(*begun_))) return;
  const bool waits_for_answer = state_ == State::kRun;
  end(Outcome::kNotSent);
  if (waits_for_answer) break_off("taken back");
}

void MysqlConnection::lost(std::string_view why) {
  mysql_.results_ -= response_.size();
  response_.clear();
  open_ = 0;
  withdrawn_ = false;
  if (!order_) return;
  const bool ran = begun_ && stream_->has_begun(*begun_);
  const Order order = *order_;
  order_.reset();
  if (!ran) return unsent(order, why);
  report(order.key, {Outcome::kConnectionLost, std::nullopt, std::string(why)});
}

void MysqlConnection::end(Outcome outcome, std::string body) {
  begun_.reset();
  if (!order_) return;
  const AttemptKey key = order_->key;
  order_.reset();
  report(key, {outcome, std::nullopt, std::move(body)});
  attempt_over();
}

std::size_t MysqlConnection::on_bytes(std::string_view bytes) {
  if (bytes.size() < mysql::kHeaderSize) return 0;
  mysql::PayloadReader header(bytes.substr(0, mysql::kHeaderSize));
  const std::size_t size = header.number(3);
  const auto sequence = static_cast<std::uint8_t>(header.number(1));
  if (bytes.size() - mysql::kHeaderSize < size) return 0;
  heard();
  const auto packet = bytes.substr(0, mysql::kHeaderSize + size);
  const auto payload = packet.substr(mysql::kHeaderSize);
  try {
    if (state_ == State::kGreeting || state_ == State::kLogin) {
      sequence_ = static_cast<std::uint8_t>(sequence + 1);
      take_login(payload);
    } else if (state_ == State::kReady) {
      break_off("an answer to nothing");  // servers say so when they close an idle session
    } else if (sequence != sequence_) {
      throw mysql::Malformed("packets out of order");
    } else {
      ++sequence_;
      if (first_payload_.empty()) first_payload_ = payload.substr(0, 1024);
      response_ += packet;
      mysql_.results_ += packet.size();
      if (response_.size() > mysql_.most_result_ || mysql_.results_ > mysql_.most_results_) {
        too_large();
        break_off("the result is too large");
      } else if (tracker_.take(payload)) {
        response_over();
      }
    }
  } catch (const mysql::Malformed& fault) {
    break_off(fault.what());
  }
  return packet.size();
}

void MysqlConnection::take_login(std::string_view payload) {
  if (payload.empty()) throw mysql::Malformed("an empty packet at log-in");
  if (payload[0] == '\xff') {
    const auto error = mysql::read_error(payload);
    // Nothing ran here. A full engine says so at the door; a wrong password is the operator's to see.
    const Outcome outcome = turned_away(error.code) ? Outcome::kTurnedAway : Outcome::kNoConnection;
    end(outcome, error.text);
    return break_off(error.text);
  }
  if (state_ == State::kGreeting) {
    const auto greeting = mysql::read_greeting(payload);
    thread_ = greeting.thread;
    nonce_ = greeting.nonce;
    constexpr std::uint32_t kNeeded = mysql::kProtocol41 | mysql::kSecureConnection | mysql::kPluginAuth;
    if ((greeting.capabilities & kNeeded) != kNeeded) throw mysql::Malformed("a server too old to talk to");
    const std::string plugin =
        mysql::proof_for(greeting.plugin, "", "") ? greeting.plugin : std::string(mysql::kNativePassword);
    mysql::Login login;
    login.capabilities = mysql::kCapabilities & ~(mysql::kConnectWithDb | mysql::kConnectAttrs);
    login.user = mysql_.account_.user;
    login.proof = *mysql::proof_for(plugin, mysql_.account_.password, nonce_);
    login.plugin = plugin;
    state_ = State::kLogin;
    send(mysql::login_payload(login));
  } else if (payload[0] == '\0') {
    LinkConnection::on_connected();
    go_on();
  } else if (payload[0] == '\xfe') {
    mysql::PayloadReader reader(payload.substr(1));
    const std::string plugin(reader.nul_text());
    nonce_ = std::string(reader.rest().substr(0, 20));
    const auto proof = mysql::proof_for(plugin, mysql_.account_.password, nonce_);
    if (!proof) throw mysql::Malformed("a log-in method that is not known here");
    send(*proof);
  } else if (payload == "\x01\x04") {
    send("\x02");  // all of the password, please: first its key
  } else if (payload[0] == '\x01' && payload.size() > 2) {
    const auto secret =
        mysql::encrypt_password(mysql_.account_.password, nonce_, std::string(payload.substr(1)));
    if (!secret) throw mysql::Malformed("a key that can't be read");
    send(*secret);
  }  // else 01 03: the proof was right, OK follows
}

// The statement has run and would give as much anywhere: an error of its own, as a server words it, and no
// fault of the engine's that another attempt could mend.
void MysqlConnection::too_large() {
  if (!order_) return;
  const std::string words = "Result of more than " + std::to_string(mysql_.most_result_) + " bytes";
  std::uint8_t first = 1;
  const bool text = order_->query->rows_as_text;
  end(text ? Outcome::kError : Outcome::kServed,
      text ? words : mysql::packets(mysql::error_payload(mysql::kPacketTooLarge, words), first));
}

void MysqlConnection::response_over() {
  const bool failed = tracker_.failed();
  switch (state_) {
    case State::kStop:
      return break_off("stopped what it was to stop");
    case State::kPing:
      state_ = State::kReady;
      probe_answered(failed ? Outcome::kError : Outcome::kServed, std::nullopt);
      return go_on();
    case State::kUse:
      if (!order_) return go_on();
      if (failed) return run_over();  // an unknown schema: the client's matter, and nothing ran
      schema_ = order_->query->schema.empty() ? mysql_.account_.schema : order_->query->schema;
      return go_on();
    case State::kPrepare: {
      if (failed) return run_over();
      mysql::PayloadReader reader(first_payload_);
      reader.number(1);
      const auto id = static_cast<std::uint32_t>(reader.number(4));
      if (!order_) {  // withdrawn meanwhile
        std::string payload(1, static_cast<char>(mysql::kStmtClose));
        mysql::put_number(payload, id, 4);
        sequence_ = 0;
        send(payload);
        return go_on();
      }
      prepared_.push_front({order_->query->statement, id});
      if (order_->query->kind == Query::Kind::kPrepare) return run_over();
      forget("");  // the oldest, if there are too many
      return execute(id);
    }
    case State::kRun:
      return run_over();
    default:
      return;
  }
}

// The last response that the order asks for is whole: what it says decides how the attempt ended.
void MysqlConnection::run_over() {
  const bool was_run = state_ == State::kRun;
  state_ = State::kReady;
  if (std::exchange(withdrawn_, false)) {
    attempt_over();  // retired: closes
    return;
  }
  if (!order_) return go_on();
  const Query& query = *order_->query;
  Outcome outcome = Outcome::kServed;
  std::string words;
  if (tracker_.failed()) {
    // The error may stand at the end of rows: then the client sees it there, and the rows before it.
    const auto error =
        first_payload_.starts_with('\xff') ? mysql::read_error(first_payload_) : mysql::ErrorInfo{};
    words = error.text;
    if (not_prepared(error.code) && query.kind == Query::Kind::kExecute) {
      prepared_.remove_if([&](const Prepared& one) { return one.text == query.statement; });
      outcome = Outcome::kNotSent;
    } else if (turned_away(error.code)) {
      outcome = Outcome::kTurnedAway;
    } else if (engine_fault(error.code) || error.code == 0) {
      outcome = was_run ? Outcome::kError : Outcome::kTurnedAway;
    } else if (query.rows_as_text) {
      outcome = Outcome::kError;  // lines of text have no way to carry it
    }
  } else if (query.kind == Query::Kind::kUseSchema) {
    schema_ = query.statement;
  }
  if (was_run && is_call(query.statement)) retired_ = true;  // a procedure may leave anything in the session
  mysql_.results_ -= response_.size();
  std::string body = std::exchange(response_, {});
  try {
    if (outcome == Outcome::kServed && query.rows_as_text) body = mysql::rows_as_text(body);
  } catch (const mysql::Malformed& fault) {
    outcome = Outcome::kError;
    words = fault.what();
  }
  end(outcome, outcome == Outcome::kServed ? std::move(body) : std::move(words));
  if (ping_wanted_ && state_ == State::kReady) go_on();
}

void MysqlPool::stop_thread(EngineId engine, std::uint32_t thread) {
  if (LinkConnection* helper = dial(engine)) static_cast<MysqlConnection*>(helper)->stop_thread(thread);
}

}  // namespace rookproxy
