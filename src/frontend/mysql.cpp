#include "frontend/mysql.h"

#include <algorithm>
#include <array>

#include "sql/lexer.h"
#include "sql/session_statement.h"
#include "sql/statement_analysis.h"
#include "sql/statement_class.h"
#include "sql/table_group.h"

namespace rookproxy {
namespace {

using mysql::PayloadReader;

constexpr std::size_t kMaxCommandBytes = 4u << 20;   // bytes of one command, as a server's max_allowed_packet
constexpr std::size_t kMaxPreparedStatements = 256;  // statements a connection may hold
constexpr std::size_t kMaxLongDataBytes = 4u << 20;  // bytes sent ahead for one statement
// A token that waits to be checked at a log-in waits no longer.
constexpr Duration kTokenCheckTimeout = std::chrono::seconds(2);
constexpr Duration kLoginTimeout = std::chrono::seconds(10);
constexpr std::size_t kMaxUnreadBytes = 8u << 20;          // bytes that a client may leave unread
constexpr std::size_t kMaxLoginPacketBytes = 64 * 1024;    // bytes of a packet before the log-in is through
constexpr std::size_t kLargeCommandThreshold = 16 * 1024;  // larger ones that have begun share a budget

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
    at += mysql::kHeaderSize + header.integer(3);
  }
}

}  // namespace

class MysqlFrontend::Connection final : public StreamHandler {
 public:
  Connection(MysqlFrontend& front, SlotKey key, FileDescriptor fd)
      : front_(front),
        key_(key),
        nonce_(mysql::generate_nonce()),
        stream_(front.loop_, std::move(fd), *this, false, kMaxCommandBytes + 64 * 1024) {
    mysql::Greeting greeting;
    greeting.connection_id = front_.next_thread_id_++;
    greeting.capabilities = mysql::kCapabilities | (front_.tls_ ? std::uint32_t{mysql::kSsl} : 0u);
    greeting.nonce = nonce_;
    greeting.plugin = mysql::kCachingSha2;
    greeting.version = "8.0.36-rookproxy";
    reply(mysql::greeting_payload(greeting));
    close_after(kLoginTimeout);
  }
  ~Connection() {
    front_.loop_.cancel(timer_);
    front_.partial_command_bytes_ -= reserved_bytes_;
  }

  std::size_t on_bytes(std::string_view bytes) override {
    if (state_ == State::kClosing) return bytes.size();
    if (state_ == State::kBusy || state_ == State::kCheckingToken)
      return 0;  // one command at a time, as a server's session has it
    const bool login = state_ == State::kLogin || state_ == State::kAuthResponse;
    mysql::Message message = mysql::parse_message(bytes, login ? kMaxLoginPacketBytes : kMaxCommandBytes);
    if (message.consumed == 0) return reserve_command_bytes(bytes) ? 0 : bytes.size();
    front_.partial_command_bytes_ -= std::exchange(reserved_bytes_, 0);
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
      } else if (state_ == State::kAuthResponse) {
        handle_auth_response(message.payload);
      } else {
        close_after(front_.config_.idle_timeout);
        handle_command(message.payload);
      }
    } catch (const mysql::MalformedPacketError& fault) {
      fatal(mysql::kMalformedPacket, std::string("Malformed communication packet: ") + fault.what());
    }
    return message.consumed;
  }

  void on_closed(std::string_view) override { front_.drop(key_); }
  // Nothing of a client that has gone is sent on, not even what it sent before.
  void on_hangup() override { front_.client_disconnected(key_); }

  // Who showed a certificate that is not good any more is let go, once it waits for nothing.
  void recheck_certificate() {
    if (state_ != State::kReady || !certificate_ || !caller_ ||
        caller_->identity.credential_kind != policy::CredentialKind::kCertificate) {
      return;
    }
    const policy::Denial denial = certificate_->authenticate(*front_.tls_).denial;
    if (denial == policy::Denial::kNone) return;
    sequence_ = 0;
    fatal(mysql::kAccessDenied, std::string(policy::reason_message(denial)));
  }

  std::optional<RequestKey> take_open_request() {
    if (front_.authenticator_) {
      front_.authenticator_->cancel_check(std::exchange(token_check_, 0));
      front_.authenticator_->remove_source(source());
    }
    return std::exchange(request_, std::nullopt);
  }
  void close() { stream_.close(); }
  // Nothing more is taken nor written. Only who does not take its answers is closed otherwise (drop).
  void close_gracefully() {
    state_ = State::kClosing;
    front_.loop_.cancel(timer_);
    front_.partial_command_bytes_ -= std::exchange(reserved_bytes_, 0);
    stream_.close_gracefully(front_.linger_timeout_);
  }
  void read_now() { stream_.read_now(); }

  bool is_flushed() const { return stream_.queued_bytes() == 0; }
  std::size_t unread_response_bytes() const { return stream_.queued_bytes(); }
  bool is_logged_in() const { return state_ == State::kReady || state_ == State::kBusy; }

  // What lies unread was sent to a connection that was open: it is taken before that is decided.
  void close_when_answered() {
    read_now();
    if (state_ != State::kBusy && state_ != State::kCheckingToken) close_gracefully();
  }

  void handle_response(Response answer) {
    request_.reset();
    state_ = State::kReady;
    stream_.set_read_paused(false);
    close_after(front_.config_.idle_timeout);
    if (answer.status == ResponseStatus::kServed) {
      handle_result(std::move(answer.body));
    } else if (answer.status == ResponseStatus::kRejected) {
      const auto pause =
          std::chrono::ceil<std::chrono::milliseconds>(answer.retry_after.value_or(Duration(0)));
      error(mysql::kServerNotAvailable,
            "Refused, nothing was run; try again in " + std::to_string(pause.count()) + " ms");
    } else if (answer.cause == ResponseCause::kDeadline) {
      error(mysql::kQueryTimeout, "No answer within the deadline; " + may_have_run());
    } else {
      error(mysql::kUnknownError,
            "Failed, " + may_have_run() + (answer.detail.empty() ? "" : ": " + answer.detail));
    }
    if (front_.closing_after_response_ && state_ == State::kReady) {
      // Its next command has a process that stays. What it may have sent already is not run.
      return close_gracefully();
    }
    recheck_certificate();
  }

 private:
  enum class State { kLogin, kAuthResponse, kCheckingToken, kReady, kBusy, kClosing };
  struct Statement {
    std::string text;
    std::size_t parameters = 0;
    std::string types;  // as last bound: two bytes each
    std::map<std::uint16_t, std::string> long_data;
    std::size_t long_bytes = 0;
  };

  void reply(std::string_view payload) { write(mysql::split_into_packets(payload, sequence_)); }
  // Who does not take its answers is closed in no order: what an end in order would wait for is what there is
  // too much of.
  void write(std::string packets) {
    stream_.write(std::move(packets));
    const std::size_t queued = stream_.queued_bytes();
    if (queued <= kLargeCommandThreshold) return;
    if (queued <= kMaxUnreadBytes && front_.unread_response_bytes() <= front_.max_unread_response_bytes_)
      return;
    front_.log_.write(LogLevel::kNotice, "mysql", "answers not taken", {{"user", login_.user}});
    front_.loop_.defer([&front = front_, key = key_] { front.drop(key); });
  }
  void ok() { reply(mysql::ok_payload(0, 0, autocommit_ ? mysql::kAutocommit : 0)); }
  void error(std::uint16_t code, const std::string& text) { reply(mysql::error_payload(code, text)); }
  void fatal(std::uint16_t code, const std::string& text) {
    front_.log_.write(LogLevel::kNotice, "mysql", text, {{"user", login_.user}});
    error(code, text);
    close_gracefully();
  }
  void not_supported(const std::string& what) {
    error(mysql::kNotSupportedYet,
          "rookproxy doesn't support " + what + ": consecutive statements may run on different engines");
  }
  std::string may_have_run() const { return pending_writes_ ? "it may have run" : "it changed nothing"; }

  void close_after(Duration pause) {
    front_.loop_.cancel(timer_);
    timer_ = front_.loop_.run_at(front_.loop_.now() + pause, [this] {
      timer_ = {};
      read_now();  // a command that lies there sets it anew
      if (state_ != State::kBusy && state_ != State::kCheckingToken && timer_.second == 0) close_gracefully();
    });
  }

  // A command that has begun may take up its length only while the budget for large ones lasts. False: its
  // client has been told.
  bool reserve_command_bytes(std::string_view bytes) {
    if (bytes.size() < mysql::kHeaderSize || reserved_bytes_ > 0) return true;
    const std::size_t length = PayloadReader(bytes.substr(0, 3)).integer(3);
    if (length <= kLargeCommandThreshold) return true;
    if (front_.partial_command_bytes_ + length > front_.max_partial_command_bytes_) {
      sequence_ = static_cast<std::uint8_t>(bytes[3] + 1);
      fatal(mysql::kOutOfResources, "No room for a command so large");
      return false;
    }
    reserved_bytes_ = length;
    front_.partial_command_bytes_ += length;
    return true;
  }

  // ---- log-in

  void log_in(std::string_view payload) {
    if (mysql::is_ssl_request(payload)) return begin_tls();
    login_ = mysql::parse_login(payload);
    if ((login_.capabilities & mysql::kSsl) != 0 && !is_secret()) {
      return fatal(mysql::kHandshakeError, "Bad handshake: TLS is not offered here");
    }
    if (front_.tls_required_ && !is_secret()) {
      return fatal(mysql::kSecureTransportRequired,
                   "Connections using insecure transport are prohibited here");
    }
    if (!passes_as_utf8(login_.charset)) {
      return fatal(mysql::kUnknownCharset,
                   "Unknown character set here: only UTF-8, ASCII and binary are served");
    }
    if (login_.plugin.empty()) login_.plugin = mysql::kNativePassword;
    if (has_client_certificate()) {
      const auth::AuthenticationResult proof = certificate_->authenticate(*front_.tls_);
      return proof.denial == policy::Denial::kNone ? complete_login(proof.credential) : reject_login(proof);
    }
    if (expects_token()) {
      // Some clients send it unasked, as they were told to by their own settings.
      if (login_.plugin == mysql::kClearPassword && !login_.auth_response.empty())
        return check_token(login_.auth_response);
      return request_auth_method(mysql::kClearPassword);
    }
    if (login_.plugin == mysql::kCachingSha2) return check_password(login_.auth_response);
    // Proven with another method than the greeting's, or with an older client's: it is asked anew by a method
    // of its own, with the same nonce.
    request_auth_method(login_.plugin == mysql::kNativePassword ? mysql::kNativePassword
                                                                : mysql::kCachingSha2);
  }

  void begin_tls() {
    if (!front_.tls_ || is_secret())
      return fatal(mysql::kHandshakeError, "Bad handshake: TLS is not offered here");
    auto channel = std::make_unique<tls::ServerChannel>(front_.tls_);
    if (front_.authenticator_)
      certificate_ = std::make_unique<auth::CertificateAuthenticator>(*front_.authenticator_, channel.get());
    stream_.install_channel(std::move(channel));
  }

  bool is_secret() const { return stream_.channel() != nullptr; }
  bool has_password() const { return front_.config_.users.contains(login_.user); }
  bool has_client_certificate() const {
    return certificate_ && certificate_->is_presented() && !has_password();
  }
  // A token is never asked for where others could read it.
  bool expects_token() const {
    return front_.authenticator_ && front_.authenticator_->accepts_tokens() && is_secret() && !has_password();
  }

  void request_auth_method(std::string_view plugin) {
    state_ = State::kAuthResponse;
    login_.plugin = plugin;
    reply("\xfe" + login_.plugin + '\0' + nonce_ + '\0');
  }

  void handle_auth_response(std::string_view payload) {
    login_.plugin == mysql::kClearPassword ? check_token(payload) : check_password(payload);
  }

  void check_password(std::string_view proof) {
    const auto user = front_.config_.users.find(login_.user);
    // An unknown user takes the same steps as a wrong password.
    const std::string password = user == front_.config_.users.end() ? nonce_ : user->second;
    const auto expected = mysql::make_auth_response(login_.plugin, password, nonce_);
    if (!expected || !mysql::constant_time_equal(*expected, proof) || user == front_.config_.users.end()) {
      return fatal(mysql::kAccessDenied, "Access denied for user '" + login_.user + "'");
    }
    const auth::AuthenticationResult known = front_.authenticator_
                                                 ? front_.authenticator_->authenticate_user(login_.user)
                                                 : auth::AuthenticationResult();
    if (known.denial != policy::Denial::kNone) return reject_login(known);
    if (login_.plugin == mysql::kCachingSha2 && !proof.empty()) reply("\x01\x03");
    complete_login(known.credential);
  }

  // ---- tokens

  // Other fronts' connections have the same numbers.
  auth::Authenticator::SourceId source() const { return key_ | std::uint64_t{1} << 63; }

  void check_token(std::string_view token) {
    if (token.ends_with('\0')) token.remove_suffix(1);
    state_ = State::kCheckingToken;
    const auto done = [this](auth::AuthenticationResult proof) {
      token_check_ = 0;
      stream_.set_read_paused(false);
      finish_token_check(std::move(proof));
      if (state_ != State::kReady) return;
      if (front_.shutting_down_) close_gracefully();
    };
    auto check =
        front_.authenticator_->check_token(token, source(), front_.loop_.now() + kTokenCheckTimeout, done);
    if (auto* result = std::get_if<auth::AuthenticationResult>(&check)) {
      return finish_token_check(std::move(*result));
    }
    token_check_ = std::get<auth::Authenticator::CheckId>(check);
    stream_.set_read_paused(true);
  }

  void finish_token_check(auth::AuthenticationResult proof) {
    // Who logs in as somebody is that one, or nobody.
    if (proof.denial == policy::Denial::kNone && proof.credential->identity.subject != login_.user)
      proof.denial = policy::Denial::kWrongUser;
    proof.denial == policy::Denial::kNone ? complete_login(std::move(proof.credential)) : reject_login(proof);
  }

  void reject_login(const auth::AuthenticationResult& proof) {
    policy::Identity identity;
    if (proof.credential) identity = proof.credential->identity;
    if (identity.subject.empty()) identity.subject = login_.user;
    front_.authenticator_->audit_denial(proof.denial, identity, "", {"mysql", ""});
    if (proof.denial == policy::Denial::kBusy) return fatal(mysql::kServerNotAvailable, retry_message(proof));
    fatal(mysql::kAccessDenied, "Access denied for user '" + login_.user +
                                    "': " + std::string(policy::reason_message(proof.denial)));
  }

  static std::string retry_message(const auth::AuthenticationResult& proof) {
    const auto pause = std::chrono::ceil<std::chrono::milliseconds>(proof.retry_after.value_or(Duration(0)));
    return "Refused, nothing was run; try again in " + std::to_string(pause.count()) + " ms";
  }

  void complete_login(std::shared_ptr<const policy::VerifiedCredential> caller) {
    caller_ = std::move(caller);
    if (front_.authenticator_) {
      caller_revision_ = front_.authenticator_->revision();
      const policy::Denial denial =
          front_.authenticator_->authorize_identity(caller_->identity, {"mysql", ""});
      if (denial != policy::Denial::kNone) {
        return fatal(mysql::kAccessDenied, "Access denied for user '" + login_.user +
                                               "': " + std::string(policy::reason_message(denial)));
      }
    }
    state_ = State::kReady;
    close_after(front_.config_.idle_timeout);
    if (!login_.schema.empty()) return use_schema(login_.schema);  // answers the log-in, too
    ok();
  }

  // Another caller goes on in this session, which begins anew; also the same one with a fresh token.
  void change_user(std::string_view payload) {
    login_ = mysql::parse_change_user(payload, login_.capabilities);
    if (!passes_as_utf8(login_.charset)) {
      return fatal(mysql::kUnknownCharset,
                   "Unknown character set here: only UTF-8, ASCII and binary are served");
    }
    statements_.clear();
    autocommit_ = true;
    schema_.clear();
    caller_.reset();
    nonce_ = mysql::generate_nonce();
    close_after(kLoginTimeout);
    request_auth_method(expects_token() ? mysql::kClearPassword : mysql::kCachingSha2);
  }

  // The caller as of now: what was proven under former keys, lists or rights is judged anew. False: the
  // client has been told why not.
  bool revalidate_caller() {
    if (!front_.authenticator_ || caller_revision_ == front_.authenticator_->revision()) return true;
    const bool by_certificate = caller_->identity.credential_kind == policy::CredentialKind::kCertificate;
    const auth::AuthenticationResult proof = by_certificate ? certificate_->authenticate(*front_.tls_)
                                                            : front_.authenticator_->revalidate(*caller_);
    if (proof.denial == policy::Denial::kNone) {
      caller_ = proof.credential;
      caller_revision_ = front_.authenticator_->revision();
      return true;
    }
    front_.authenticator_->audit_denial(proof.denial, caller_->identity, "", {"mysql", ""});
    const std::string text = "Access denied: " + std::string(policy::reason_message(proof.denial));
    by_certificate ? fatal(mysql::kAccessDenied, text) : error(mysql::kAccessDenied, text);
    return false;
  }

  bool authorize(Query::Kind kind, const std::string& statement) {
    if (!front_.authenticator_) return true;
    if (!revalidate_caller()) return false;
    const auth::AuditContext asked{"mysql", ""};
    const policy::Identity& identity = caller_->identity;
    if (kind == Query::Kind::kUseSchema) {
      const policy::Denial denial = front_.authenticator_->authorize_schema(identity, statement, asked);
      if (denial == policy::Denial::kNone) return true;
      error(denial == policy::Denial::kSchemaNotAllowed ? mysql::kDatabaseDenied : mysql::kAccessDenied,
            "Access denied for user '" + login_.user + "' to database '" + statement +
                "': " + std::string(policy::reason_message(denial)));
      return false;
    }
    // A prepare tells what its execution would need, so it is judged as that.
    const auto facts = sql::analyze_statement(statement, schema_, sql::Dialect::kMysql);
    const bool writes = facts.effect == policy::StatementEffect::kWrites;
    const std::string& cls = writes ? front_.config_.load_class : front_.config_.read_class;
    const policy::Denial denial = front_.authenticator_->authorize(identity, cls, writes, facts, asked);
    if (denial == policy::Denial::kNone) return true;
    front_.dispatcher_.record_rejection(front_.dispatcher_.find_class(cls).value(), ResponseStatus::kRejected,
                                        identity.tenant);
    const bool of_caller = denial == policy::Denial::kExpired ||
                           denial == policy::Denial::kRevocationUnknown ||
                           denial == policy::Denial::kUnknownTenant || denial == policy::Denial::kNoKnownRole;
    error(of_caller ? mysql::kAccessDenied : mysql::kCommandDenied,
          "Command denied to user '" + login_.user + "': " + std::string(policy::reason_message(denial)) +
              (denial == policy::Denial::kUnresolvedTables ? " (" + facts.unresolved_reason + ")" : ""));
    return false;
  }

  // ---- commands

  void handle_command(std::string_view payload) {
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
        return receive_long_data(reader);
      case mysql::kStmtClose:
        statements_.erase(static_cast<std::uint32_t>(reader.integer(4)));
        return;  // has no answer
      case mysql::kStmtReset: {
        Statement* statement = find_statement(static_cast<std::uint32_t>(reader.integer(4)));
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

  bool rejected_locally(const std::string& statement) {
    if (sql::tokenize(statement).empty()) {
      error(mysql::kEmptyQuery, "Query was empty");
      return true;
    }
    const auto state = sql::find_session_state(statement);
    if (state) not_supported(*state);
    return state.has_value();
  }

  // With autocommit off a server would open a transaction here, to be ended by a COMMIT that could reach
  // another engine.
  bool needs_transaction(const std::string& statement) {
    if (autocommit_ || sql::is_read_only(statement) || sql::commits_implicitly(statement)) return false;
    error(mysql::kNotSupportedYet,
          "rookproxy doesn't support transactions, and autocommit is off: SET autocommit = 1 to run this "
          "statement");
    return true;
  }

  // What is answered here, since it says something of the session alone.
  bool answered_locally(const std::string& statement) {
    switch (sql::classify_session_statement(statement)) {
      case sql::SessionStatement::kNone:
        return false;
      case sql::SessionStatement::kAutocommitOn:
      case sql::SessionStatement::kAutocommitOff:
        autocommit_ = sql::classify_session_statement(statement) == sql::SessionStatement::kAutocommitOn;
        break;
      case sql::SessionStatement::kNoEffect:
      case sql::SessionStatement::kEndTransaction:
        break;
    }
    ok();
    return true;
  }

  void handle_query(std::string statement) {
    if (answered_locally(statement) || rejected_locally(statement) || needs_transaction(statement)) return;
    submit(Query::Kind::kStatement, std::move(statement));
  }

  void use_schema(std::string schema) {
    if (schema.empty()) return error(1046, "No database selected");
    pending_schema_ = schema;
    submit(Query::Kind::kUseSchema, std::move(schema));
  }

  void prepare(std::string statement) {
    if (statements_.size() >= kMaxPreparedStatements) {
      return error(mysql::kTooManyStatements, "Can't create more than " +
                                                  std::to_string(kMaxPreparedStatements) +
                                                  " prepared statements on one connection");
    }
    if (rejected_locally(statement)) return;
    pending_statement_ = Statement{};
    pending_statement_.text = statement;
    submit(Query::Kind::kPrepare, std::move(statement));
  }

  Statement* find_statement(std::uint32_t id) {
    const auto found = statements_.find(id);
    if (found != statements_.end()) return &found->second;
    error(mysql::kUnknownStatement, "Unknown prepared statement handler (" + std::to_string(id) + ")");
    return nullptr;
  }

  void receive_long_data(PayloadReader& reader) {
    const auto found = statements_.find(static_cast<std::uint32_t>(reader.integer(4)));
    const auto parameter = static_cast<std::uint16_t>(reader.integer(2));
    if (found == statements_.end()) return;  // has no answer; the execution will tell
    const auto data = reader.take_remaining();
    // Counted also when it is over the limit, so that the execution finds it was too much.
    found->second.long_bytes += data.size();
    if (found->second.long_bytes <= kMaxLongDataBytes) found->second.long_data[parameter] += data;
  }

  // The parameters go on as they came. Only types that were bound by an earlier execution are put in again,
  // since this one may run on an engine that never saw that.
  void execute(PayloadReader& reader) {
    Statement* statement = find_statement(static_cast<std::uint32_t>(reader.integer(4)));
    if (!statement || needs_transaction(statement->text)) return;
    if (statement->long_bytes > kMaxLongDataBytes) {
      return error(mysql::kPacketTooLarge, "Got a packet bigger than 'max_allowed_packet' bytes");
    }
    const std::uint64_t flags = reader.integer(1), iterations = reader.integer(4);
    if ((flags & 7) != 0) return not_supported("cursors");
    std::string parameters;
    mysql::append_integer(parameters, flags, 1);
    mysql::append_integer(parameters, iterations, 4);
    if (statement->parameters > 0) {
      parameters += reader.take((statement->parameters + 7) / 8);
      const std::uint64_t bound = reader.integer(1);
      if (bound != 0) {
        statement->types = reader.take(2 * statement->parameters);
      } else if (statement->types.empty()) {
        return error(mysql::kWrongArguments, "Incorrect arguments to EXECUTE: no types were bound");
      }
      parameters += '\1';
      parameters += statement->types;
      parameters += reader.take_remaining();
    }
    auto made = std::make_shared<Query>();
    made->parameters = std::move(parameters);
    for (auto& [parameter, data] : statement->long_data)
      made->long_data.emplace_back(parameter, std::move(data));
    statement->long_data.clear();
    statement->long_bytes = 0;
    submit(Query::Kind::kExecute, statement->text, std::move(made));
  }

  void submit(Query::Kind kind, std::string statement,
              std::shared_ptr<Query> query = std::make_shared<Query>()) {
    if (!authorize(kind, statement)) return;
    const bool runs = kind == Query::Kind::kStatement || kind == Query::Kind::kExecute;
    const bool writes = runs && !sql::is_read_only(statement);
    IncomingRequest arrival;
    // By name each time: SIGHUP may have led the name to other rules.
    const std::string& cls = writes ? front_.config_.load_class : front_.config_.read_class;
    arrival.class_index = front_.dispatcher_.find_class(cls).value();
    arrival.table_group = runs || kind == Query::Kind::kPrepare ? sql::table_group(statement, schema_) : 0;
    arrival.deadline =
        front_.loop_.now() + (writes ? front_.config_.load_timeout : front_.config_.read_timeout);
    query->id = front_.new_call_id();
    query->class_name = cls;
    query->statement = std::move(statement);
    query->kind = kind;
    query->schema = schema_;
    query->writes = writes;
    query->rows_as_text_lines = false;
    arrival.query = std::move(query);
    if (front_.authenticator_) arrival.tenant = caller_->identity.tenant;
    pending_kind_ = kind;
    pending_writes_ = writes;
    state_ = State::kBusy;
    // What it sends ahead waits in the kernel, and holds no memory here.
    stream_.set_read_paused(true);
    front_.loop_.cancel(timer_);
    request_ = front_.dispatcher_.submit(arrival, front_, key_);
  }

  void handle_result(std::string packets) {
    const bool failed = packets.size() > mysql::kHeaderSize && packets[mysql::kHeaderSize] == '\xff';
    if (pending_kind_ == Query::Kind::kUseSchema && !failed) schema_ = pending_schema_;
    if (pending_kind_ == Query::Kind::kPrepare && !failed) {
      // The answer's statement id is the engine's: the client gets one of ours, good on every engine.
      PayloadReader reader(std::string_view(packets).substr(mysql::kHeaderSize));
      reader.integer(7);
      pending_statement_.parameters = reader.integer(2);
      const std::uint32_t id = next_statement_++;
      std::string bytes;
      mysql::append_integer(bytes, id, 4);
      packets.replace(mysql::kHeaderSize + 1, 4, bytes);
      statements_[id] = std::move(pending_statement_);
    }
    if (!autocommit_ && pending_kind_ != Query::Kind::kPrepare) mysql::clear_autocommit_status(packets);
    renumber(packets, sequence_);
    write(std::move(packets));
  }

  MysqlFrontend& front_;
  SlotKey key_;
  std::string nonce_;
  State state_ = State::kLogin;
  std::uint8_t sequence_ = 0;
  mysql::Login login_;
  std::string schema_;
  std::unique_ptr<auth::CertificateAuthenticator> certificate_;  // in TLS
  std::shared_ptr<const policy::VerifiedCredential> caller_;     // where callers are identified
  std::uint64_t caller_revision_ = 0;
  auth::Authenticator::CheckId token_check_ = 0;
  bool autocommit_ = true;  // as the client asked for; every engine's session has it on
  std::map<std::uint32_t, Statement> statements_;
  std::uint32_t next_statement_ = 1;
  std::optional<RequestKey> request_;
  std::size_t reserved_bytes_ = 0;                      // of the budget for large commands
  Query::Kind pending_kind_ = Query::Kind::kStatement;  // what the client waits for
  bool pending_writes_ = false;
  Statement pending_statement_;
  std::string pending_schema_;
  TimerId timer_{};
  Stream stream_;
};

MysqlFrontend::MysqlFrontend(EventLoop& loop, Logger& log, Dispatcher& core, FileDescriptor listener,
                             const MysqlFrontConfig& config, std::uint64_t seed, auth::Authenticator* gate,
                             std::shared_ptr<const tls::ServerContext> tls, bool only_tls)
    : loop_(loop),
      log_(log),
      dispatcher_(core),
      config_(config),
      authenticator_(gate),
      tls_(std::move(tls)),
      tls_required_(only_tls),
      call_id_state_(seed ^ static_cast<std::uint64_t>(loop.now().time_since_epoch().count())),
      port_(local_port(listener)),
      acceptor_(std::make_unique<Acceptor>(
          loop, std::move(listener), [this](FileDescriptor fd) { accept(std::move(fd)); }, false)) {}

MysqlFrontend::~MysqlFrontend() = default;

// Ids look like the platform's: 16 hex digits, never the same twice in a process's life (an odd step through
// all 64-bit numbers), and unlikely to meet another process's.
std::string MysqlFrontend::new_call_id() {
  call_id_state_ += 0x9e3779b97f4a7c15ULL;
  std::string id(16, '0');
  for (int i = 0; i < 16; ++i)
    id[static_cast<std::size_t>(i)] = "0123456789abcdef"[call_id_state_ >> (60 - 4 * i) & 15];
  return id;
}

MysqlFrontend::Connection* MysqlFrontend::find(SlotKey key) {
  auto* found = connections_.find(key);
  return found ? found->get() : nullptr;
}

// At the cap the oldest that has not logged in gives way: silence must not shut out who has a password.
bool MysqlFrontend::evict_if_full() {
  if (connections_.size() < config_.max_connections) return true;
  SlotKey oldest = 0;  // keys sort by age
  for (const SlotKey key : connections_.keys()) {
    if (!find(key)->is_logged_in() && (oldest == 0 || key < oldest)) oldest = key;
  }
  if (oldest == 0) return false;
  // A log-in may lie unread. Nothing but a greeting was written to the others, which a reset may take along.
  find(oldest)->read_now();
  if (!find(oldest)->is_logged_in()) drop(oldest);
  return connections_.size() < config_.max_connections;
}

void MysqlFrontend::accept(FileDescriptor fd) {
  if (!evict_if_full()) {
    // Told as a server tells it, so that the client's library can word it.
    std::uint8_t sequence = 0;
    const std::string packet = mysql::split_into_packets(
        mysql::error_payload(mysql::kTooManyConnections, "Too many connections"), sequence);
    send_best_effort(fd, packet);
    return;
  }
  const SlotKey key = connections_.insert(nullptr);
  *connections_.find(key) = std::make_unique<Connection>(*this, key, std::move(fd));
}

// What it waited for is called off at once; what was written to it still gets there.
void MysqlFrontend::client_disconnected(SlotKey key) {
  Connection* connection = find(key);
  if (!connection) return;
  connection->close_gracefully();
  if (const auto request = connection->take_open_request()) dispatcher_.cancel_request(*request);
}

std::size_t MysqlFrontend::unread_response_bytes() {
  std::size_t sum = 0;
  for (const SlotKey key : connections_.keys()) sum += find(key)->unread_response_bytes();
  return sum;
}

void MysqlFrontend::drop(SlotKey key) {
  Connection* connection = find(key);
  if (!connection) return;
  if (const auto request = connection->take_open_request()) dispatcher_.cancel_request(*request);
  connection->close();
  auto kept = std::make_shared<std::unique_ptr<Connection>>(std::move(*connections_.take(key)));
  loop_.defer([kept] {});
}

ResponseStatus MysqlFrontend::on_response(std::uint64_t ticket, Response answer) {
  const ResponseStatus verdict = answer.status;
  if (Connection* connection = find(ticket)) connection->handle_response(std::move(answer));
  return verdict;
}

void MysqlFrontend::reload(const MysqlFrontConfig& config) {
  MysqlFrontConfig fresh = config;
  fresh.listen = config_.listen;
  config_ = std::move(fresh);
}

void MysqlFrontend::credentials_changed(std::shared_ptr<const tls::ServerContext> tls) {
  tls_ = std::move(tls);
  if (!tls_) return;
  if (!certificate_scan_) {
    certificate_scan_ = std::make_unique<IncrementalScan>(loop_, [this](SlotKey key) {
      if (Connection* connection = find(key)) connection->recheck_certificate();
    });
  }
  certificate_scan_->start(connections_.keys());
}

void MysqlFrontend::set_accepting(bool accepting) {
  if (acceptor_) accepting ? acceptor_->start() : acceptor_->stop();
}

void MysqlFrontend::close_after_next_response() {
  set_accepting(false);
  closing_after_response_ = true;
}

void MysqlFrontend::close_all_gracefully(Duration bound) {
  linger_timeout_ = bound;
  shutting_down_ = true;
  close_after_next_response();
  for (const SlotKey key : connections_.keys()) find(key)->close_when_answered();
}

void MysqlFrontend::stop_listening() {
  // Destroyed at the turn's end: the signal may have come in the middle of its own turn.
  loop_.defer([this] { acceptor_.reset(); });
}

bool MysqlFrontend::is_flushed() {
  const auto keys = connections_.keys();
  return std::all_of(keys.begin(), keys.end(), [this](SlotKey key) { return find(key)->is_flushed(); });
}

}  // namespace rookproxy
