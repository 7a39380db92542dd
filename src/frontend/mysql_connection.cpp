#include "frontend/mysql_connection.h"
#include "net/file_descriptor.h"
#include "net/slot_map.h"

#include <chrono>
#include <utility>

namespace rookproxy {
namespace {

using mysql::PayloadReader;

// The maximum size of a command, like a server's max_allowed_packet.
constexpr std::size_t kMaxCommandBytes = 4u << 20;
// The maximum size of a packet before the login is complete.
constexpr std::size_t kMaxLoginPacketBytes = 64 * 1024;
constexpr std::size_t kInputLimit = kMaxCommandBytes + 64 * 1024;
// The maximum number of response bytes that one client may leave unread.
constexpr std::size_t kMaxUnreadBytes = 8u << 20;
// The number of unread response bytes of one client above which its commands are not handled.
constexpr std::size_t kMaxUnreadBytesToHandleCommands = 256 * 1024;
// The size in bytes above which partial commands are counted against a shared budget.
constexpr std::size_t kLargeCommandThreshold = 16 * 1024;
// The first byte of an error packet.
constexpr char kErrorPacket = '\xff';
constexpr std::size_t kPacketLengthSize = 3;

// Renumbers the packets of a response to start at `sequence`, unless they already do.
void renumber(std::string& packets, std::uint8_t sequence) {
  for (std::size_t offset = 0; offset + mysql::kHeaderSize <= packets.size();) {
    if (offset == 0 && static_cast<std::uint8_t>(packets[kPacketLengthSize]) == sequence) return;
    const std::string_view remaining = std::string_view{packets}.substr(offset);
    PayloadReader header(remaining.substr(0, kPacketLengthSize));
    packets[offset + kPacketLengthSize] = static_cast<char>(sequence++);
    offset += mysql::kHeaderSize + header.integer(kPacketLengthSize);
  }
}

}  // namespace

MysqlFrontend::Connection::Connection(MysqlFrontend& frontend, SlotKey key, FileDescriptor fd)
    : frontend_(frontend),
      key_(key),
      nonce_(mysql::generate_nonce()),
      command_memory_(frontend.memory_, policy::MemoryUse::kPartialCommands),
      unread_memory_(frontend.memory_, policy::MemoryUse::kUnreadResponses),
      stream_(frontend.loop_, std::move(fd), *this, false, kInputLimit) {
  mysql::Greeting greeting;
  greeting.connection_id = frontend_.next_thread_id_++;
  greeting.capabilities = mysql::kCapabilities | (frontend_.tls_ ? std::uint32_t{mysql::kSsl} : 0U);
  greeting.nonce = nonce_;
  greeting.plugin = mysql::kCachingSha2;
  greeting.version = "8.0.36-rookproxy";
  reply(mysql::greeting_payload(greeting));
  start_close_timer(kLoginTimeout);
}

// Handles one command at a time, like a server session.
std::size_t MysqlFrontend::Connection::on_bytes(std::string_view bytes) {
  if (state_ == State::kClosing) return bytes.size();
  if (is_waiting() || paused_for_unread_responses_) return 0;
  const std::size_t max_bytes = is_logging_in() ? kMaxLoginPacketBytes : kMaxCommandBytes;
  const mysql::Message message = mysql::parse_message(bytes, max_bytes);
  if (message.consumed == 0) return reserve_command_bytes(bytes) ? 0 : bytes.size();
  const bool in_turn = !message.too_large && needs_turn(message.payload);
  if (in_turn && !turn_decision_ && !frontend_.turns_.is_turn_free()) {
    wait_for_turn();
    return 0;
  }
  const std::uint8_t expected_sequence = is_logging_in() ? sequence_ : 0;
  sequence_ = message.next_sequence;
  if (message.too_large) {
    fatal(mysql::kPacketTooLarge, "Got a packet bigger than 'max_allowed_packet' bytes");
    return bytes.size();
  }
  if (message.out_of_order || message.first_sequence != expected_sequence) {
    fatal(mysql::kPacketsOutOfOrder, "Got packets out of order");
    return bytes.size();
  }
  std::optional<TurnScheduler::Turn> turn;
  if (in_turn) turn.emplace(frontend_.turns_);
  handle_message(message);
  command_memory_.release();  // The command is in the input until it is handled.
  return message.consumed;
}

void MysqlFrontend::Connection::handle_message(const mysql::Message& message) {
  try {
    if (state_ == State::kLogin) {
      log_in(message.payload);
    } else if (state_ == State::kAuthResponse) {
      handle_auth_response(message.payload);
    } else {
      start_close_timer(frontend_.config_.idle_timeout);
      if (std::exchange(turn_decision_, std::nullopt) == TurnDecision::kRefused) {
        error(mysql::kServerNotAvailable, retry_message(frontend_.dispatcher_.overload_retry_after()));
      } else {
        handle_command(message.payload);
      }
      command_arrived_at_.reset();
    }
  } catch (const mysql::MalformedPacketError& malformed) {
    fatal(mysql::kMalformedPacket, std::string("Malformed communication packet: ") + malformed.what());
  }
}

// Returns true if the command is a statement that takes long to read.
bool MysqlFrontend::Connection::needs_turn(std::string_view payload) const {
  if (state_ != State::kReady || !TurnScheduler::needs_turn(payload.size())) return false;
  const auto command = static_cast<std::uint8_t>(payload[0]);
  return command == mysql::kQuery || command == mysql::kStmtPrepare;
}

// The command stays in the stream's input and keeps its reservation.
void MysqlFrontend::Connection::wait_for_turn() {
  state_ = State::kWaitingForTurn;
  const Time now = frontend_.loop_.now();
  command_arrived_at_ = now;
  turn_wait_ = frontend_.turns_.wait(now + frontend_.config_.read_timeout,
                                     [this](TurnDecision decision) { end_wait_for_turn(decision); });
  frontend_.loop_.cancel(timer_);
  stream_.set_read_paused(true);
}

void MysqlFrontend::Connection::end_wait_for_turn(TurnDecision decision) {
  turn_wait_ = 0;
  if (state_ != State::kWaitingForTurn) return;
  state_ = State::kReady;
  turn_decision_ = decision;
  update_read_pause();
  read_now();
  turn_decision_.reset();
  if (frontend_.closing_after_response_ && state_ == State::kReady) close_gracefully();
}

// Reserves budget for a partially received large command. If none is left, sends an error to the client and
// returns false.
bool MysqlFrontend::Connection::reserve_command_bytes(std::string_view bytes) {
  if (bytes.size() < mysql::kHeaderSize || command_memory_.bytes() > 0) return true;
  const std::size_t length = PayloadReader(bytes.substr(0, kPacketLengthSize)).integer(kPacketLengthSize);
  if (length <= kLargeCommandThreshold) return true;
  if (command_memory_.try_add(length)) {
    stream_.reserve_input(mysql::kHeaderSize + length);
    return true;
  }
  sequence_ = static_cast<std::uint8_t>(bytes[kPacketLengthSize] + 1);
  fatal(mysql::kOutOfResources, "No room for a command so large");
  return false;
}

// A connection whose client does not read its responses is not closed gracefully, because that would wait
// until the client reads the very bytes that exceed the limit.
void MysqlFrontend::Connection::write(std::string packets) {
  stream_.write_batched(std::move(packets));
  const std::size_t queued = stream_.queued_bytes();
  if (queued <= kLargeCommandThreshold) return;
  update_unread_memory();
  if (queued > kMaxUnreadBytesToHandleCommands) {
    paused_for_unread_responses_ = true;
    update_read_pause();
  }
  if (queued <= kMaxUnreadBytes && !frontend_.has_too_many_unread_bytes()) return;
  frontend_.log_.write(LogLevel::kNotice, "mysql",
                       "client does not read its responses; closing the connection", {{"user", login_.user}});
  frontend_.loop_.defer([&frontend = frontend_, key = key_] { frontend.drop(key); });
}

void MysqlFrontend::Connection::on_flushed() {
  unread_memory_.release();
  if (!std::exchange(paused_for_unread_responses_, false)) return;
  update_read_pause();
  stream_.schedule_read();
}

void MysqlFrontend::Connection::ok() { reply(mysql::ok_payload(0, 0, autocommit_ ? mysql::kAutocommit : 0)); }

void MysqlFrontend::Connection::error(std::uint16_t code, const std::string& text) {
  reply(mysql::error_payload(code, text));
}

void MysqlFrontend::Connection::fatal(std::uint16_t code, const std::string& text) {
  frontend_.log_.write(LogLevel::kNotice, "mysql", text, {{"user", login_.user}});
  error(code, text);
  close_gracefully();
}

void MysqlFrontend::Connection::not_supported(const std::string& what) {
  error(mysql::kNotSupportedYet,
        "rookproxy doesn't support " + what + ": consecutive statements may run on different engines");
}

std::string MysqlFrontend::Connection::retry_message(std::optional<Duration> retry_after) {
  const auto pause = std::chrono::ceil<std::chrono::milliseconds>(retry_after.value_or(Duration(0)));
  return "Refused, nothing was run; try again in " + std::to_string(pause.count()) + " ms";
}

std::string MysqlFrontend::Connection::may_have_run_text() const {
  return pending_writes_ ? "it may have run" : "it changed nothing";
}

ResponseStatus MysqlFrontend::Connection::handle_response(Response response) {
  request_.reset();
  state_ = State::kReady;
  update_read_pause();
  start_close_timer(frontend_.config_.idle_timeout);
  const ResponseStatus status = write_response(std::move(response));
  pending_statement_ = PreparedStatement{};
  if (frontend_.closing_after_response_ && state_ == State::kReady) {
    // The client reconnects to a process that stays. Commands that it has already sent are not run.
    close_gracefully();
    return status;
  }
  recheck_certificate();
  return status;
}

ResponseStatus MysqlFrontend::Connection::write_response(Response response) {
  if (response.status == ResponseStatus::kServed) {
    try {
      handle_result(std::move(response.body));
      return ResponseStatus::kServed;
    } catch (const mysql::MalformedPacketError& malformed) {
      // Nothing has been written: a result is read as a whole before it is.
      response = Response::failed(ResponseCause::kEngineError);
      response.detail = malformed.what();
    }
  }
  if (response.status == ResponseStatus::kRejected) {
    error(mysql::kServerNotAvailable, retry_message(response.retry_after));
  } else if (response.cause == ResponseCause::kDeadline) {
    error(mysql::kQueryTimeout, "No answer within the deadline; " + may_have_run_text());
  } else {
    error(mysql::kUnknownError,
          "Failed, " + may_have_run_text() + (response.detail.empty() ? "" : ": " + response.detail));
  }
  return response.status;
}

void MysqlFrontend::Connection::handle_result(std::string packets) {
  const bool failed = packets.size() > mysql::kHeaderSize && packets[mysql::kHeaderSize] == kErrorPacket;
  if (pending_kind_ == Query::Kind::kUseSchema && !failed) schema_ = pending_schema_;
  if (pending_kind_ == Query::Kind::kPrepare && !failed) store_prepared_statement(packets);
  if (!autocommit_ && pending_kind_ != Query::Kind::kPrepare) mysql::clear_autocommit_status(packets);
  renumber(packets, sequence_);
  write(std::move(packets));
}

// Replaces the engine's statement id in the response by an id of this connection, which is valid for every
// engine.
void MysqlFrontend::Connection::store_prepared_statement(std::string& packets) {
  PayloadReader reader(std::string_view{packets}.substr(mysql::kHeaderSize));
  reader.integer(7);  // Skips the status, the statement id and the number of columns.
  pending_statement_.parameter_count = reader.integer(2);
  std::string id;
  mysql::append_integer(id, statements_.add(std::move(pending_statement_)), kStatementIdSize);
  packets.replace(mysql::kHeaderSize + 1, kStatementIdSize, id);
}

void MysqlFrontend::Connection::start_close_timer(Duration timeout) {
  frontend_.loop_.cancel(timer_);
  timer_ = frontend_.loop_.run_at(frontend_.loop_.now() + timeout, [this] {
    timer_ = {};
    read_now();  // An unread command restarts the timer.
    if (!is_waiting() && timer_ == TimerId{}) close_gracefully();
  });
}

void MysqlFrontend::Connection::recheck_certificate() {
  if (state_ != State::kReady || !certificate_ || !caller_ ||
      caller_->identity.credential_kind != policy::CredentialKind::kCertificate) {
    return;
  }
  const policy::Denial denial = certificate_->authenticate(*frontend_.tls_).denial;
  if (denial == policy::Denial::kNone) return;
  sequence_ = 0;
  fatal(mysql::kAccessDenied, std::string(policy::reason_message(denial)));
}

std::optional<RequestKey> MysqlFrontend::Connection::take_open_request() {
  frontend_.turns_.cancel(std::exchange(turn_wait_, 0));
  if (frontend_.authenticator_) {
    frontend_.authenticator_->cancel_check(std::exchange(token_check_, 0));
    frontend_.authenticator_->remove_source(source());
  }
  return std::exchange(request_, std::nullopt);
}

void MysqlFrontend::Connection::close_gracefully() {
  state_ = State::kClosing;
  frontend_.loop_.cancel(timer_);
  command_memory_.release();
  stream_.close_gracefully(frontend_.linger_timeout_);
}

void MysqlFrontend::Connection::close_after_responses() {
  read_now();
  if (!is_waiting()) close_gracefully();
}

}  // namespace rookproxy
