#include "front/mysql.h"

#include <algorithm>
#include <array>

#include "sql/lexer.h"
#include "sql/session.h"
#include "sql/tables.h"

namespace rookproxy {
namespace {

using mysql::PayloadReader;

constexpr std::size_t kMostStatement = 4u << 20;  // bytes of one command, as a server's max_allowed_packet
constexpr std::size_t kMostPreparedHere = 256;    // statements a connection may hold
constexpr std::size_t kMostLongData = 4u << 20;   // bytes sent ahead for one statement
// A token that waits to be checked at a log-in waits no longer.
constexpr Duration kCheckTime = std::chrono::seconds(2);
constexpr Duration kLoginTime = std::chrono::seconds(10);
constexpr std::size_t kMostQueued = 8u << 20;     // bytes that a client may leave unread
constexpr std::size_t kMostLogin = 64 * 1024;     // bytes of a packet before the log-in is through
constexpr std::size_t kUsualCommand = 16 * 1024;  // larger ones that have begun share a budget

// UTF-8 in its collations, ASCII and binary: all that passes to an engine's UTF-8 session without a change.
bool passes_as_utf8(unsigned charset) {
  return charset == 33 || charset == 45 || charset == 46 || charset == 63 || charset == 83 || charset == 11 ||
         charset == 65 || charset == 76 || (charset >= 192 && charset <= 247) || charset == 255;
}

// Numbers the packets of an answer from `sequence` on, where they are not already.
void renumber(std::string& packets, std::uint8_t sequence) {
  for (std::size_t at = 0; at + mysql::kHeaderSize <= packets.size();) {
    if (at == 0 && static_cast<std::uint8_t>(packets[3]) == sequence) return;
    PayloadReader header(std::string_view(packets).substr(at, 3));
    packets[at + 3] = static_cast<char>(sequence++);
    at += mysql::kHeaderSize + header.number(3);
  }
}

}  // namespace

class MysqlFront::Connection final : public StreamUser {
 public:
  Connection(MysqlFront& front, SlotKey key, Fd fd)
      : front_(front),
        key_(key),
        nonce_(mysql::new_nonce()),
        stream_(front.loop_, std::move(fd), *this, false, kMostStatement + 64 * 1024) {
    mysql::Greeting greeting;
    greeting.thread = front_.next_thread_++;
    greeting.capabilities = mysql::kCapabilities | (front_.tls_ ? std::uint32_t{mysql::kSsl} : 0u);
    greeting.nonce = nonce_;
    greeting.plugin = mysql::kCachingSha2;
    greeting.version = "8.0.36-rookproxy";
    reply(mysql::greeting_payload(greeting));
    close_after(kLoginTime);
  }
  ~Connection() {
    front_.loop_.cancel(timer_);
    front_.unfinished_ -= reserved_;
  }

  std::size_t on_bytes(std::string_view bytes) override {
    if (state_ == State::kDead) return bytes.size();
    if (state_ == State::kBusy || state_ == State::kChecking)
      return 0;  // one command at a time, as a server's session has it
    const bool login = state_ == State::kLogin || state_ == State::kProof;
    mysql::Message message = mysql::take_message(bytes, login ? kMostLogin : kMostStatement);
    if (message.used == 0) return has_room_for(bytes) ? 0 : bytes.size();
    front_.unfinished_ -= std::exchange(reserved_, 0);
    if (message.too_large) {
      sequence_ = message.next_sequence;
      fatal(mysql::kPacketTooLarge, "Got a packet bigger than 'max_allowed_packet' bytes");
      return bytes.size();
    }
    if (message.out_of_order || message.first_sequence != (login ? sequence_ : 0)) {
      sequence_ = message.next_sequence;
      fatal(mysql::kPacketsOutOfOrder, "Got packets out of order");
      return bytes.size();
    }
    sequence_ = message.next_sequence;
    try {
      if (state_ == State::kLogin) {
        log_in(message.payload);
      } else if (state_ == State::kProof) {
        prove(message.payload);
      } else {
        close_after(front_.config_.idle);
        command(message.payload);
      }
    } catch (const mysql::Malformed& fault) {
      fatal(mysql::kMalformedPacket, std::string("Malformed communication packet: ") + fault.what());
    }
    return message.used;
  }

  void on_closed(std::string_view) override { front_.drop(key_); }
  // Nothing of a client that has gone is sent on, not even what it sent before.
  void on_hangup() override { front_.client_gone(key_); }

  // Who showed a certificate that is not good any more is let go, once it waits for nothing.
  void look_at_certificate() {
    if (state_ != State::kReady || !certificate_ || !caller_ ||
        caller_->identity.by != decide::Credential::kCertificate) {
      return;
    }
    const decide::Denial denial = certificate_->proof(*front_.tls_).denial;
    if (denial == decide::Denial::kNone) return;
    sequence_ = 0;
    fatal(mysql::kAccessDenied, std::string(decide::denial_text(denial)));
  }

  std::optional<RequestKey> abandon() {
    if (front_.gate_) {
      front_.gate_->cancel(std::exchange(check_, 0));
      front_.gate_->source_gone(source());
    }
    return std::exchange(request_, std::nullopt);
  }
  void close() { stream_.close(); }
  // Nothing more is taken nor written. Only who does not take its answers is closed otherwise (drop).
  void end() {
    state_ = State::kDead;
    front_.loop_.cancel(timer_);
    front_.unfinished_ -= std::exchange(reserved_, 0);
    stream_.end_in_order(front_.linger_);
  }
  void read_now() { stream_.read_now(); }

  bool is_flushed() const { return stream_.queued() == 0; }
  std::size_t untaken() const { return stream_.queued(); }
  bool is_logged_in() const { return state_ == State::kReady || state_ == State::kBusy; }

  // What lies unread was sent to a connection that was open: it is taken before that is decided.
  void end_when_answered() {
    read_now();
    if (state_ != State::kBusy && state_ != State::kChecking) end();
  }

  void answered(Answer answer) {
    request_.reset();
    state_ = State::kReady;
    stream_.hold_reading(false);
    close_after(front_.config_.idle);
    if (answer.verdict == Verdict::kServed) {
      served(std::move(answer.body));
    } else if (answer.verdict == Verdict::kRefused) {
      const auto pause = std::chrono::ceil<std::chrono::milliseconds>(answer.again.value_or(Duration(0)));
      error(mysql::kServerNotAvailable,
            "Refused, nothing was run; try again in " + std::to_string(pause.count()) + " ms");
    } else if (answer.cause == Cause::kDeadline) {
      error(mysql::kQueryTimeout, "No answer within the deadline; " + may_have_run());
    } else {
      error(mysql::kUnknownError,
            "Failed, " + may_have_run() + (answer.detail.empty() ? "" : ": " + answer.detail));
    }
    if (front_.leaving_ && state_ == State::kReady) {
      // Its next command has a process that stays. What it may have sent already is not run.
      return end();
    }
    look_at_certificate();
  }

 private:
  enum class State { kLogin, kProof, kChecking, kReady, kBusy, kDead };
  struct Statement {
    std::string text;
    std::size_t parameters = 0;
    std::string types;  // as last bound: two bytes each
    std::map<std::uint16_t, std::string> long_data;
    std::size_t long_bytes = 0;
  };

  void reply(std::string_view payload) { write(mysql::packets(payload, sequence_)); }
  // Who does not take its answers is closed in no order: what an end in order would wait for is what there is
  // too much of.
  void write(std::string packets) {
    stream_.write(std::move(packets));
    const std::size_t queued = stream_.queued();
    if (queued <= kUsualCommand) return;
    if (queued <= kMostQueued && front_.untaken() <= front_.most_untaken_) return;
    front_.log_.line(Level::kNotice, "mysql", "answers not taken", {{"user", login_.user}});
    front_.loop_.defer([&front = front_, key = key_] { front.drop(key); });
  }
  void ok() { reply(mysql::ok_payload(0, 0, autocommit_ ? mysql::kAutocommit : 0)); }
  void error(std::uint16_t code, const std::string& text) { reply(mysql::error_payload(code, text)); }
  void fatal(std::uint16_t code, const std::string& text) {
    front_.log_.line(Level::kNotice, "mysql", text, {{"user", login_.user}});
    error(code, text);
    end();
  }
  void not_supported(const std::string& what) {
    error(mysql::kNotSupportedYet,
          "rookproxy doesn't support " + what + ": consecutive statements may run on different engines");
  }
  std::string may_have_run() const { return pending_writes_ ? "it may have run" : "it changed nothing"; }

  void close_after(Duration pause) {
    front_.loop_.cancel(timer_);
    timer_ = front_.loop_.at(front_.loop_.now() + pause, [this] {
      timer_ = {};
      read_now();  // a command that lies there sets it anew
      if (state_ != State::kBusy && state_ != State::kChecking && timer_.second == 0) end();
    });
  }

  // A command that has begun may take up its length only while the budget for large ones lasts. False: its
  // client has been told.
  bool has_room_for(std::string_view bytes) {
    if (bytes.size() < mysql::kHeaderSize || reserved_ > 0) return true;
    const std::size_t length = PayloadReader(bytes.substr(0, 3)).number(3);
    if (length <= kUsualCommand) return true;
    if (front_.unfinished_ + length > front_.most_unfinished_) {
      sequence_ = static_cast<std::uint8_t>(bytes[3] + 1);
      fatal(mysql::kOutOfResources, "No room for a command so large");
      return false;
    }
    reserved_ = length;
    front_.unfinished_ += length;
    return true;
  }

  // ---- log-in

  void log_in(std::string_view payload) {
    if (mysql::asks_for_tls(payload)) return begin_tls();
    login_ = mysql::read_login(payload);
    if ((login_.capabilities & mysql::kSsl) != 0 && !is_secret()) {
      return fatal(mysql::kBadHandshake, "Bad handshake: TLS is not offered here");
    }
    if (front_.only_tls_ && !is_secret()) {
      return fatal(mysql::kSecureTransportRequired,
                   "Connections using insecure transport are prohibited here");
    }
    if (!passes_as_utf8(login_.charset)) {
      return fatal(mysql::kUnknownCharset,
                   "Unknown character set here: only UTF-8, ASCII and binary are served");
    }
    if (login_.plugin.empty()) login_.plugin = mysql::kNativePassword;
    if (shows_certificate()) {
      const access::Proof proof = certificate_->proof(*front_.tls_);
      return proof.denial == decide::Denial::kNone ? enter(proof.proven) : denied(proof);
    }
    if (shows_token()) {
      // Some clients send it unasked, as they were told to by their own settings.
      if (login_.plugin == mysql::kClearPassword && !login_.proof.empty()) return check_token(login_.proof);
      return ask_for(mysql::kClearPassword);
    }
    if (login_.plugin == mysql::kCachingSha2) return check(login_.proof);
    // Proven with another method than the greeting's, or with an older client's: it is asked anew by a method
    // of its own, with the same nonce.
    ask_for(login_.plugin == mysql::kNativePassword ? mysql::kNativePassword : mysql::kCachingSha2);
  }

  void begin_tls() {
    if (!front_.tls_ || is_secret())
      return fatal(mysql::kBadHandshake, "Bad handshake: TLS is not offered here");
    auto channel = std::make_unique<tls::ServerChannel>(front_.tls_);
    if (front_.gate_)
      certificate_ = std::make_unique<access::CertificateCaller>(*front_.gate_, channel.get());
    stream_.secure(std::move(channel));
  }

  bool is_secret() const { return stream_.channel() != nullptr; }
  bool has_password() const { return front_.config_.users.contains(login_.user); }
  bool shows_certificate() const { return certificate_ && certificate_->is_shown() && !has_password(); }
  // A token is never asked for where others could read it.
  bool shows_token() const {
    return front_.gate_ && front_.gate_->takes_tokens() && is_secret() && !has_password();
  }

  void ask_for(std::string_view plugin) {
    state_ = State::kProof;
    login_.plugin = plugin;
    reply("\xfe" + login_.plugin + '\0' + nonce_ + '\0');
  }

  void prove(std::string_view payload) {
    login_.plugin == mysql::kClearPassword ? check_token(payload) : check(payload);
  }

  void check(std::string_view proof) {
    const auto user = front_.config_.users.find(login_.user);
    // An unknown user takes the same steps as a wrong password.
    const std::string password = user == front_.config_.users.end() ? nonce_ : user->second;
    const auto expected = mysql::proof_for(login_.plugin, password, nonce_);
    if (!expected || !mysql::same_secret(*expected, proof) || user == front_.config_.users.end()) {
      return fatal(mysql::kAccessDenied, "Access denied for user '" + login_.user + "'");
    }
    const access::Proof known = front_.gate_ ? front_.gate_->user(login_.user) : access::Proof();
    if (known.denial != decide::Denial::kNone) return denied(known);
    if (login_.plugin == mysql::kCachingSha2 && !proof.empty()) reply("\x01\x03");
    enter(known.proven);
  }

  // ---- tokens

  // Other fronts' connections have the same numbers.
  access::Gatekeeper::SourceId source() const { return key_ | std::uint64_t{1} << 63; }

  void check_token(std::string_view token) {
    if (token.ends_with('\0')) token.remove_suffix(1);
    state_ = State::kChecking;
    const auto done = [this](access::Proof proof) {
      check_ = 0;
      stream_.hold_reading(false);
      token_checked(std::move(proof));
      if (state_ != State::kReady) return;
      if (front_.ending_) end();
    };
    auto proof = front_.gate_->check(token, source(), front_.loop_.now() + kCheckTime, done, check_);
    if (proof) return token_checked(std::move(*proof));
    stream_.hold_reading(true);
  }

  void token_checked(access::Proof proof) {
    // Who logs in as somebody is that one, or nobody.
    if (proof.denial == decide::Denial::kNone && proof.proven->identity.subject != login_.user)
      proof.denial = decide::Denial::kWrongUser;
    proof.denial == decide::Denial::kNone ? enter(std::move(proof.proven)) : denied(proof);
  }

  void denied(const access::Proof& proof) {
    decide::Identity identity;
    if (proof.proven) identity = proof.proven->identity;
    if (identity.subject.empty()) identity.subject = login_.user;
    front_.gate_->audit(proof.denial, identity, "", {"mysql", ""});
    if (proof.denial == decide::Denial::kBusy) return fatal(mysql::kServerNotAvailable, come_back(proof));
    fatal(mysql::kAccessDenied,
          "Access denied for user '" + login_.user + "': " + std::string(decide::denial_text(proof.denial)));
  }

  static std::string come_back(const access::Proof& proof) {
    const auto pause = std::chrono::ceil<std::chrono::milliseconds>(proof.again.value_or(Duration(0)));
    return "Refused, nothing was run; try again in " + std::to_string(pause.count()) + " ms";
  }

  void enter(std::shared_ptr<const decide::Proven> caller) {
    caller_ = std::move(caller);
    if (front_.gate_) {
      caller_revision_ = front_.gate_->revision();
      const decide::Denial denial = front_.gate_->judge_identity(caller_->identity, {"mysql", ""});
      if (denial != decide::Denial::kNone) {
        return fatal(mysql::kAccessDenied, "Access denied for user '" + login_.user +
                                               "': " + std::string(decide::denial_text(denial)));
      }
    }
    state_ = State::kReady;
    close_after(front_.config_.idle);
    if (!login_.schema.empty()) return use_schema(login_.schema);  // answers the log-in, too
    ok();
  }

  // Another caller goes on in this session, which begins anew; also the same one with a fresh token.
  void change_user(std::string_view payload) {
    login_ = mysql::read_change_user(payload, login_.capabilities);
    if (!passes_as_utf8(login_.charset)) {
      return fatal(mysql::kUnknownCharset,
                   "Unknown character set here: only UTF-8, ASCII and binary are served");
    }
    statements_.clear();
    autocommit_ = true;
    schema_.clear();
    caller_.reset();
    nonce_ = mysql::new_nonce();
    close_after(kLoginTime);
    ask_for(shows_token() ? mysql::kClearPassword : mysql::kCachingSha2);
  }

  // The caller as of now: what was proven under former keys, lists or rights is judged anew. False: the
  // client has been told why not.
  bool still_welcome() {
    if (!front_.gate_ || caller_revision_ == front_.gate_->revision()) return true;
    const bool by_certificate = caller_->identity.by == decide::Credential::kCertificate;
    const access::Proof proof =
        by_certificate ? certificate_->proof(*front_.tls_) : front_.gate_->renew(*caller_);
    if (proof.denial == decide::Denial::kNone) {
      caller_ = proof.proven;
      caller_revision_ = front_.gate_->revision();
      return true;
    }
    front_.gate_->audit(proof.denial, caller_->identity, "", {"mysql", ""});
    const std::string text = "Access denied: " + std::string(decide::denial_text(proof.denial));
    by_certificate ? fatal(mysql::kAccessDenied, text) : error(mysql::kAccessDenied, text);
    return false;
  }

  bool may(Query::Kind kind, const std::string& statement) {
    if (!front_.gate_) return true;
    if (!still_welcome()) return false;
    const access::Asked asked{"mysql", ""};
    const decide::Identity& identity = caller_->identity;
    if (kind == Query::Kind::kUseSchema) {
      const decide::Denial denial = front_.gate_->judge_schema(identity, statement, asked);
      if (denial == decide::Denial::kNone) return true;
      error(denial == decide::Denial::kSchema ? mysql::kDatabaseDenied : mysql::kAccessDenied,
            "Access denied for user '" + login_.user + "' to database '" + statement +
                "': " + std::string(decide::denial_text(denial)));
      return false;
    }
    // A prepare tells what its execution would need, so it is judged as that.
    const auto facts = sql::statement_facts(statement, schema_, sql::Dialect::kMysql);
    const bool writes = facts.effect == decide::StatementEffect::kWrites;
    const std::string& cls = writes ? front_.config_.load_class : front_.config_.read_class;
    const decide::Denial denial = front_.gate_->judge(identity, cls, writes, facts, asked);
    if (denial == decide::Denial::kNone) return true;
    front_.core_.turned_away(front_.core_.class_named(cls).value(), Verdict::kRefused, identity.tenant);
    const bool of_caller = denial == decide::Denial::kExpired ||
                           denial == decide::Denial::kRevocationUnknown ||
                           denial == decide::Denial::kTenant || denial == decide::Denial::kNoRole;
    error(of_caller ? mysql::kAccessDenied : mysql::kCommandDenied,
          "Command denied to user '" + login_.user + "': " + std::string(decide::denial_text(denial)) +
              (denial == decide::Denial::kTables ? " (" + facts.why + ")" : ""));
    return false;
  }

  // ---- commands

  void command(std::string_view payload) {
    if (payload.empty()) return error(mysql::kUnknownCommand, "Empty command");
    PayloadReader reader(payload.substr(1));
    switch (static_cast<std::uint8_t>(payload[0])) {
      case mysql::kQuit:
        return end();
      case mysql::kPing:
        return ok();
      case mysql::kChangeUser:
        return change_user(reader.rest());
      case mysql::kInitDb:
        return use_schema(std::string(reader.rest()));
      case mysql::kQuery:
        return query(std::string(reader.rest()));
      case mysql::kStmtPrepare:
        return prepare(std::string(reader.rest()));
      case mysql::kStmtExecute:
        return execute(reader);
      case mysql::kStmtSendLongData:
        return long_data(reader);
      case mysql::kStmtClose:
        statements_.erase(static_cast<std::uint32_t>(reader.number(4)));
        return;  // has no answer
      case mysql::kStmtReset: {
        Statement* statement = known(static_cast<std::uint32_t>(reader.number(4)));
        if (!statement) return;
        statement->long_data.clear();
        statement->long_bytes = 0;
        return ok();
      }
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

  bool refused_here(const std::string& statement) {
    if (sql::tokens(statement).empty()) {
      error(mysql::kEmptyQuery, "Query was empty");
      return true;
    }
    const auto state = sql::session_state(statement);
    if (state) not_supported(*state);
    return state.has_value();
  }

  // With autocommit off a server would open a transaction here, to be ended by a COMMIT that could reach
  // another engine.
  bool needs_transaction(const std::string& statement) {
    if (autocommit_ || sql::only_reads(statement) || sql::commits_itself(statement)) return false;
    error(mysql::kNotSupportedYet,
          "rookproxy doesn't support transactions, and autocommit is off: SET autocommit = 1 to run this "
          "statement");
    return true;
  }

  // What is answered here, since it says something of the session alone.
  bool answered_here(const std::string& statement) {
    switch (sql::session_ask(statement)) {
      case sql::SessionAsk::kNone:
        return false;
      case sql::SessionAsk::kAutocommitOn:
      case sql::SessionAsk::kAutocommitOff:
        autocommit_ = sql::session_ask(statement) == sql::SessionAsk::kAutocommitOn;
        break;
      case sql::SessionAsk::kHolds:
      case sql::SessionAsk::kEndTransaction:
        break;
    }
    ok();
    return true;
  }

  void query(std::string statement) {
    if (answered_here(statement) || refused_here(statement) || needs_transaction(statement)) return;
    ask(Query::Kind::kStatement, std::move(statement));
  }

  void use_schema(std::string schema) {
    if (schema.empty()) return error(1046, "No database selected");
    pending_schema_ = schema;
    ask(Query::Kind::kUseSchema, std::move(schema));
  }

  void prepare(std::string statement) {
    if (statements_.size() >= kMostPreparedHere) {
      return error(mysql::kTooManyStatements, "Can't create more than " + std::to_string(kMostPreparedHere) +
                                                  " prepared statements on one connection");
    }
    if (refused_here(statement)) return;
    pending_statement_ = Statement{};
    pending_statement_.text = statement;
    ask(Query::Kind::kPrepare, std::move(statement));
  }

  Statement* known(std::uint32_t id) {
    const auto found = statements_.find(id);
    if (found != statements_.end()) return &found->second;
    error(mysql::kUnknownStatement, "Unknown prepared statement handler (" + std::to_string(id) + ")");
    return nullptr;
  }

  void long_data(PayloadReader& reader) {
    const auto found = statements_.find(static_cast<std::uint32_t>(reader.number(4)));
    const auto parameter = static_cast<std::uint16_t>(reader.number(2));
    if (found == statements_.end()) return;  // has no answer; the execution will tell
    const auto data = reader.rest();
    // Counted also when it is over the limit, so that the execution finds it was too much.
    found->second.long_bytes += data.size();
    if (found->second.long_bytes <= kMostLongData) found->second.long_data[parameter] += data;
  }

  // The parameters go on as they came. Only types that were bound by an earlier execution are put in again,
  // since this one may run on an engine that never saw that.
  void execute(PayloadReader& reader) {
    Statement* statement = known(static_cast<std::uint32_t>(reader.number(4)));
    if (!statement || needs_transaction(statement->text)) return;
    if (statement->long_bytes > kMostLongData) {
      return error(mysql::kPacketTooLarge, "Got a packet bigger than 'max_allowed_packet' bytes");
    }
    const std::uint64_t flags = reader.number(1), iterations = reader.number(4);
    if ((flags & 7) != 0) return not_supported("cursors");
    std::string parameters;
    mysql::put_number(parameters, flags, 1);
    mysql::put_number(parameters, iterations, 4);
    if (statement->parameters > 0) {
      parameters += reader.take((statement->parameters + 7) / 8);
      const std::uint64_t bound = reader.number(1);
      if (bound != 0) {
        statement->types = reader.take(2 * statement->parameters);
      } else if (statement->types.empty()) {
        return error(mysql::kWrongArguments, "Incorrect arguments to EXECUTE: no types were bound");
      }
      parameters += '\1';
      parameters += statement->types;
      parameters += reader.rest();
    }
    auto made = std::make_shared<Query>();
    made->parameters = std::move(parameters);
    for (auto& [parameter, data] : statement->long_data)
      made->long_data.emplace_back(parameter, std::move(data));
    statement->long_data.clear();
    statement->long_bytes = 0;
    ask(Query::Kind::kExecute, statement->text, std::move(made));
  }

  void ask(Query::Kind kind, std::string statement,
           std::shared_ptr<Query> query = std::make_shared<Query>()) {
    if (!may(kind, statement)) return;
    const bool runs = kind == Query::Kind::kStatement || kind == Query::Kind::kExecute;
    const bool writes = runs && !sql::only_reads(statement);
    Arrival arrival;
    // By name each time: SIGHUP may have led the name to other rules.
    const std::string& cls = writes ? front_.config_.load_class : front_.config_.read_class;
    arrival.cls = front_.core_.class_named(cls).value();
    arrival.group = runs || kind == Query::Kind::kPrepare ? sql::table_group(statement, schema_) : 0;
    arrival.give_up_at =
        front_.loop_.now() + (writes ? front_.config_.load_deadline : front_.config_.read_deadline);
    query->id = front_.new_id();
    query->class_name = cls;
    query->statement = std::move(statement);
    query->kind = kind;
    query->schema = schema_;
    query->writes = writes;
    query->rows_as_text = false;
    arrival.query = std::move(query);
    if (front_.gate_) arrival.tenant = caller_->identity.tenant;
    pending_ = kind;
    pending_writes_ = writes;
    state_ = State::kBusy;
    // What it sends ahead waits in the kernel, and holds no memory here.
    stream_.hold_reading(true);
    front_.loop_.cancel(timer_);
    request_ = front_.core_.accept(arrival, front_, key_);
  }

  void served(std::string packets) {
    const bool failed = packets.size() > mysql::kHeaderSize && packets[mysql::kHeaderSize] == '\xff';
    if (pending_ == Query::Kind::kUseSchema && !failed) schema_ = pending_schema_;
    if (pending_ == Query::Kind::kPrepare && !failed) {
      // The answer's statement id is the engine's: the client gets one of ours, good on every engine.
      PayloadReader reader(std::string_view(packets).substr(mysql::kHeaderSize));
      reader.number(7);
      pending_statement_.parameters = reader.number(2);
      const std::uint32_t id = next_statement_++;
      std::string bytes;
      mysql::put_number(bytes, id, 4);
      packets.replace(mysql::kHeaderSize + 1, 4, bytes);
      statements_[id] = std::move(pending_statement_);
    }
    if (!autocommit_ && pending_ != Query::Kind::kPrepare) mysql::clear_autocommit(packets);
    renumber(packets, sequence_);
    write(std::move(packets));
  }

  MysqlFront& front_;
  SlotKey key_;
  std::string nonce_;
  State state_ = State::kLogin;
  std::uint8_t sequence_ = 0;
  mysql::Login login_;
  std::string schema_;
  std::unique_ptr<access::CertificateCaller> certificate_;  // in TLS
  std::shared_ptr<const decide::Proven> caller_;            // where callers are identified
  std::uint64_t caller_revision_ = 0;
  access::Gatekeeper::CheckKey check_ = 0;
  bool autocommit_ = true;  // as the client asked for; every engine's session has it on
  std::map<std::uint32_t, Statement> statements_;
  std::uint32_t next_statement_ = 1;
  std::optional<RequestKey> request_;
  std::size_t reserved_ = 0;                       // of the budget for large commands
  Query::Kind pending_ = Query::Kind::kStatement;  // what the client waits for
  bool pending_writes_ = false;
  Statement pending_statement_;
  std::string pending_schema_;
  TimerKey timer_{};
  Stream stream_;
};

MysqlFront::MysqlFront(Loop& loop, Log& log, Dispatcher& core, Fd listener, const MysqlFrontConfig& config,
                       std::uint64_t seed, access::Gatekeeper* gate,
                       std::shared_ptr<const tls::ServerContext> tls, bool only_tls)
    : loop_(loop),
      log_(log),
      core_(core),
      config_(config),
      gate_(gate),
      tls_(std::move(tls)),
      only_tls_(only_tls),
      id_state_(seed ^ static_cast<std::uint64_t>(loop.now().time_since_epoch().count())),
      port_(local_port(listener)),
      acceptor_(std::make_unique<Acceptor>(
          loop, std::move(listener), [this](Fd fd) { accept(std::move(fd)); }, false)) {}

MysqlFront::~MysqlFront() = default;

// Ids look like the platform's: 16 hex digits, never the same twice in a process's life (an odd step through
// all 64-bit numbers), and unlikely to meet another process's.
std::string MysqlFront::new_id() {
  id_state_ += 0x9e3779b97f4a7c15ULL;
  std::string id(16, '0');
  for (int i = 0; i < 16; ++i)
    id[static_cast<std::size_t>(i)] = "0123456789abcdef"[id_state_ >> (60 - 4 * i) & 15];
  return id;
}

MysqlFront::Connection* MysqlFront::find(SlotKey key) {
  auto* found = connections_.find(key);
  return found ? found->get() : nullptr;
}

// At the cap the oldest that has not logged in gives way: silence must not shut out who has a password.
bool MysqlFront::make_room() {
  if (connections_.size() < config_.most_connections) return true;
  SlotKey oldest = 0;  // keys sort by age
  for (const SlotKey key : connections_.keys()) {
    if (!find(key)->is_logged_in() && (oldest == 0 || key < oldest)) oldest = key;
  }
  if (oldest == 0) return false;
  // A log-in may lie unread. Nothing but a greeting was written to the others, which a reset may take along.
  find(oldest)->read_now();
  if (!find(oldest)->is_logged_in()) drop(oldest);
  return connections_.size() < config_.most_connections;
}

void MysqlFront::accept(Fd fd) {
  if (!make_room()) {
    // Told as a server tells it, so that the client's library can word it.
    std::uint8_t sequence = 0;
    const std::string packet =
        mysql::packets(mysql::error_payload(mysql::kTooManyConnections, "Too many connections"), sequence);
    send_best_effort(fd, packet);
    return;
  }
  const SlotKey key = connections_.insert(nullptr);
  *connections_.find(key) = std::make_unique<Connection>(*this, key, std::move(fd));
}

// What it waited for is called off at once; what was written to it still gets there.
void MysqlFront::client_gone(SlotKey key) {
  Connection* connection = find(key);
  if (!connection) return;
  connection->end();
  if (const auto request = connection->abandon()) core_.asker_gone(*request);
}

std::size_t MysqlFront::untaken() {
  std::size_t sum = 0;
  for (const SlotKey key : connections_.keys()) sum += find(key)->untaken();
  return sum;
}

void MysqlFront::drop(SlotKey key) {
  Connection* connection = find(key);
  if (!connection) return;
  if (const auto request = connection->abandon()) core_.asker_gone(*request);
  connection->close();
  auto kept = std::make_shared<std::unique_ptr<Connection>>(std::move(*connections_.take(key)));
  loop_.defer([kept] {});
}

Verdict MysqlFront::on_answer(std::uint64_t ticket, Answer answer) {
  const Verdict verdict = answer.verdict;
  if (Connection* connection = find(ticket)) connection->answered(std::move(answer));
  return verdict;
}

void MysqlFront::reload(const MysqlFrontConfig& config) {
  MysqlFrontConfig fresh = config;
  fresh.listen = config_.listen;
  config_ = std::move(fresh);
}

void MysqlFront::credentials_changed(std::shared_ptr<const tls::ServerContext> tls) {
  tls_ = std::move(tls);
  if (!tls_) return;
  if (!sweep_) {
    sweep_ = std::make_unique<Sweep>(loop_, [this](SlotKey key) {
      if (Connection* connection = find(key)) connection->look_at_certificate();
    });
  }
  sweep_->start(connections_.keys());
}

void MysqlFront::accept_clients(bool accepting) {
  if (acceptor_) accepting ? acceptor_->start() : acceptor_->stop();
}

void MysqlFront::leave() {
  accept_clients(false);
  leaving_ = true;
}

void MysqlFront::end_all(Duration bound) {
  linger_ = bound;
  ending_ = true;
  leave();
  for (const SlotKey key : connections_.keys()) find(key)->end_when_answered();
}

void MysqlFront::drain() {
  // Destroyed at the turn's end: the signal may have come in the middle of its own turn.
  loop_.defer([this] { acceptor_.reset(); });
}

bool MysqlFront::is_flushed() {
  const auto keys = connections_.keys();
  return std::all_of(keys.begin(), keys.end(), [this](SlotKey key) { return find(key)->is_flushed(); });
}

}  // namespace rookproxy
