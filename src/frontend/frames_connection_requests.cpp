// Handles the requests of a frames connection: validation, authentication, authorization, and submission to
// the dispatcher.
#include <algorithm>
#include <utility>
#include <variant>

#include "frontend/frames_connection.h"
#include "net/slot_map.h"
#include "sql/statement_analysis.h"
#include "sql/table_group.h"

namespace rookproxy {
namespace {

// A token check is abandoned this long before the request's deadline, so that the response arrives in time.
constexpr Duration kResponseMargin = std::chrono::milliseconds(8);

}  // namespace

void FramesFrontend::Connection::handle_request(const frames::Frame& frame) {
  std::string_view statement = frame.payload;
  frames::Fields fields;
  if (!frames::parse_fields(statement, fields)) return fail_request(frame.stream_id, "unreadable fields");
  FrameRequest request(frontend_.dispatcher_, fields, statement);
  if (denial_ != policy::Denial::kNone) return deny_request(frame.stream_id, request);
  FrameRequestError error = request.validate(frontend_.authenticator_ == nullptr);
  // Engines identify requests by their call id. A second open request with the same id could cancel the first
  // one or receive its response.
  if (error == FrameRequestError::kNone &&
      frontend_.open_call_ids_.contains(std::string(request.call_id()))) {
    error = FrameRequestError::kCallIdInUse;
  }
  if (error != FrameRequestError::kNone) {
    if (request.class_index()) {
      frontend_.dispatcher_.record_rejection(*request.class_index(), ResponseStatus::kFailed,
                                             request.tenant());
    }
    return fail_request(frame.stream_id, frame_request_error_text(error));
  }
  if (open_requests_.size() >= frontend_.limits_.max_open_requests) {
    frontend_.dispatcher_.record_rejection(*request.class_index(), ResponseStatus::kRejected,
                                           request.tenant());
    return respond(frame.stream_id, frames::kRejected,
                   {frames::retry_after_field(frontend_.dispatcher_.overload_retry_after())},
                   "too many open requests here");
  }
  open_request(frame.stream_id, request);
}

// Rejects a request on a connection that is closing because its credentials are no longer valid.
void FramesFrontend::Connection::deny_request(std::uint32_t stream_id, const FrameRequest& request) {
  frontend_.authenticator_->audit_denial(denial_, {}, request.class_name(), {"frames", request.call_id()});
  if (request.class_index()) {
    frontend_.dispatcher_.record_rejection(*request.class_index(), ResponseStatus::kRejected);
  }
  respond(stream_id, frames::kRejected, {{"denied", std::string(policy::reason_code(denial_))}},
          policy::reason_message(denial_));
}

void FramesFrontend::Connection::open_request(std::uint32_t stream_id, FrameRequest& request) {
  IncomingRequest incoming = request.take_incoming(frontend_.loop_.now());
  std::string call_id(request.call_id());
  const SlotKey correlation_id = frontend_.pending_requests_.insert({key_, stream_id, 0, call_id});
  frontend_.open_call_ids_.insert(std::move(call_id));
  open_requests_[stream_id] = correlation_id;
  frontend_.loop_.cancel(idle_timer_);
  if (!frontend_.authenticator_) return request_turn(correlation_id, std::move(incoming), nullptr);
  authenticate(correlation_id, std::move(incoming),
               request.field(frontend_.authenticator_->settings().token_field));
}

void FramesFrontend::Connection::cancel_request(std::uint32_t stream_id) {
  const auto found = open_requests_.find(stream_id);
  // The response may have been sent before the cancellation arrived.
  if (found == open_requests_.end()) return;
  const SlotKey correlation_id = found->second;
  open_requests_.erase(found);
  frontend_.cancel_request(correlation_id);
  update_idle_state();
}

// The token is passed to the authenticator only.
void FramesFrontend::Connection::authenticate(SlotKey correlation_id, IncomingRequest incoming,
                                              std::optional<std::string_view> token) {
  if (!token) {
    return finish_authentication(correlation_id, std::move(incoming), authenticate_by_certificate());
  }
  PendingRequest& request = *frontend_.pending_requests_.find(correlation_id);
  if (!frontend_.try_hold_unsubmitted(request, policy::MemoryUse::kTokenChecks, incoming.query->bytes())) {
    const Duration retry_after = frontend_.dispatcher_.overload_retry_after();
    return finish_authentication(correlation_id, std::move(incoming),
                                 {policy::Denial::kBusy, nullptr, retry_after, false});
  }
  check_token(correlation_id, std::move(incoming), *token);
}

auth::AuthenticationResult FramesFrontend::Connection::authenticate_by_certificate() {
  auth::AuthenticationResult result;
  result.denial = policy::Denial::kNoCredentials;
  if (certificate_) result = certificate_->authenticate(*frontend_.tls_);
  result.close_connection =
      result.denial != policy::Denial::kNone && certificate_ && certificate_->is_presented();
  return result;
}

void FramesFrontend::Connection::check_token(SlotKey correlation_id, IncomingRequest incoming,
                                             std::string_view token) {
  const Time deadline = std::max(frontend_.loop_.now(), incoming.deadline - kResponseMargin);
  auto waiting = std::make_shared<IncomingRequest>(std::move(incoming));
  // The callback is destroyed with the check, which ends no later than this connection.
  const auto on_checked = [this, correlation_id, waiting](const auth::AuthenticationResult& result) {
    FramesFrontend::end_wait(*frontend_.pending_requests_.find(correlation_id));
    if (!refresh_class(correlation_id, *waiting)) return;
    finish_authentication(correlation_id, std::move(*waiting), result);
  };
  auto check = frontend_.authenticator_->check_token(token, key_, deadline, on_checked);
  PendingRequest& request = *frontend_.pending_requests_.find(correlation_id);
  if (const auto* result = std::get_if<auth::AuthenticationResult>(&check)) {
    FramesFrontend::end_wait(request);
    return finish_authentication(correlation_id, std::move(*waiting), *result);
  }
  request.check = std::get<auth::Authenticator::CheckId>(check);
}

// A change of the settings while the request waited may have changed the index of its class. Fails the
// request and returns false if the class no longer exists.
bool FramesFrontend::Connection::refresh_class(SlotKey correlation_id, IncomingRequest& incoming) {
  const auto class_index = frontend_.dispatcher_.find_class(incoming.query->class_name);
  if (class_index) {
    incoming.class_index = *class_index;
    return true;
  }
  fail_request(frontend_.take_pending_request(correlation_id)->stream_id,
               frame_request_error_text(FrameRequestError::kUnknownClass));
  return false;
}

void FramesFrontend::Connection::finish_authentication(SlotKey correlation_id, IncomingRequest incoming,
                                                       const auth::AuthenticationResult& authentication) {
  if (authentication.denial == policy::Denial::kNone) {
    incoming.tenant = authentication.credential->identity.tenant;
    return request_turn(correlation_id, std::move(incoming), authentication.credential);
  }
  deny_caller(correlation_id, incoming, authentication);
}

void FramesFrontend::Connection::deny_caller(SlotKey correlation_id, const IncomingRequest& incoming,
                                             const auth::AuthenticationResult& authentication) {
  const policy::Denial denial = authentication.denial;
  frontend_.authenticator_->audit_denial(denial, {}, incoming.query->class_name,
                                         {"frames", incoming.query->id});
  reject_denied(correlation_id, incoming, denial, authentication.retry_after);
  if (authentication.close_connection) close_for_denial(denial);
}

// Authenticates a caller again whose credential was verified under other settings.
auth::AuthenticationResult FramesFrontend::Connection::revalidate(
    const policy::VerifiedCredential& credential) {
  const bool by_certificate = credential.identity.credential_kind == policy::CredentialKind::kCertificate;
  return by_certificate ? authenticate_by_certificate() : frontend_.authenticator_->revalidate(credential);
}

// Reads the statement at once if it is short or if its turn is free.
void FramesFrontend::Connection::request_turn(SlotKey correlation_id, IncomingRequest incoming,
                                              Credential credential) {
  if (!TurnScheduler::needs_turn(incoming.query->statement.size())) {
    return read_statement(correlation_id, std::move(incoming), credential);
  }
  if (!frontend_.turns_.is_turn_free()) {
    return wait_for_turn(correlation_id, std::move(incoming), std::move(credential));
  }
  const TurnScheduler::Turn turn(frontend_.turns_);
  read_statement(correlation_id, std::move(incoming), credential);
}

void FramesFrontend::Connection::wait_for_turn(SlotKey correlation_id, IncomingRequest incoming,
                                               Credential credential) {
  PendingRequest& request = *frontend_.pending_requests_.find(correlation_id);
  if (!frontend_.try_hold_unsubmitted(request, policy::MemoryUse::kTurnWaits, incoming.query->bytes())) {
    return reject_for_overload(correlation_id, incoming, "no room for a statement that has to wait");
  }
  const Time deadline = incoming.deadline;
  const std::uint64_t revision = frontend_.authenticator_ ? frontend_.authenticator_->revision() : 0;
  auto waiting =
      std::make_shared<WaitingRequest>(WaitingRequest{std::move(incoming), std::move(credential), revision});
  // The callback is destroyed with the wait, which ends no later than this connection.
  const auto on_decision = [this, correlation_id, waiting](TurnDecision decision) {
    end_wait_for_turn(correlation_id, std::move(*waiting), decision);
  };
  request.turn_wait = frontend_.turns_.wait(deadline, on_decision);
}

void FramesFrontend::Connection::end_wait_for_turn(SlotKey correlation_id, WaitingRequest waiting,
                                                   TurnDecision decision) {
  FramesFrontend::end_wait(*frontend_.pending_requests_.find(correlation_id));
  if (!refresh_class(correlation_id, waiting.incoming)) return;
  if (decision == TurnDecision::kRefused) {
    return reject_for_overload(correlation_id, waiting.incoming, "no room in time");
  }
  if (waiting.credential && waiting.revision != frontend_.authenticator_->revision()) {
    const auth::AuthenticationResult result = revalidate(*waiting.credential);
    if (result.denial != policy::Denial::kNone) return deny_caller(correlation_id, waiting.incoming, result);
    waiting.credential = result.credential;
  }
  const TurnScheduler::Turn turn(frontend_.turns_);
  read_statement(correlation_id, std::move(waiting.incoming), waiting.credential);
}

// Finds out what the statement refers to, and submits the request if its caller may run it.
void FramesFrontend::Connection::read_statement(SlotKey correlation_id, IncomingRequest incoming,
                                                const Credential& credential) {
  if (credential) {
    const policy::Denial denial = authorize(incoming, credential->identity);
    if (denial != policy::Denial::kNone) return reject_denied(correlation_id, incoming, denial);
  }
  incoming.table_group = sql::table_group(incoming.query->statement);
  const RequestKey request = frontend_.dispatcher_.submit(incoming, frontend_, correlation_id);
  frontend_.pending_requests_.find(correlation_id)->request = request;
}

policy::Denial FramesFrontend::Connection::authorize(const IncomingRequest& incoming,
                                                     const policy::Identity& identity) {
  const Query& query = *incoming.query;
  const routing::ClassSettings& settings = frontend_.dispatcher_.class_settings(incoming.class_index);
  const bool may_write = settings.idempotency == routing::Idempotency::kNonIdempotent;
  // The engine that will run the statement, and so its dialect, is not known yet.
  const auto analysis = sql::analyze_statement(query.statement, sql::Dialect::kAny);
  return frontend_.authenticator_->authorize(identity, {query.class_name, may_write, &analysis, ""},
                                             {"frames", query.id});
}

void FramesFrontend::Connection::reject_for_overload(SlotKey correlation_id, const IncomingRequest& incoming,
                                                     std::string_view reason) {
  const auto request = frontend_.take_pending_request(correlation_id);
  frontend_.dispatcher_.record_rejection(incoming.class_index, ResponseStatus::kRejected, incoming.tenant);
  respond(request->stream_id, frames::kRejected,
          {frames::retry_after_field(frontend_.dispatcher_.overload_retry_after())}, reason);
}

void FramesFrontend::Connection::reject_denied(SlotKey correlation_id, const IncomingRequest& incoming,
                                               policy::Denial denial, std::optional<Duration> retry_after) {
  const auto request = frontend_.take_pending_request(correlation_id);
  frontend_.dispatcher_.record_rejection(incoming.class_index, ResponseStatus::kRejected, incoming.tenant);
  frames::Fields fields{{"denied", std::string(policy::reason_code(denial))}};
  if (retry_after) fields.insert(frames::retry_after_field(*retry_after));
  respond(request->stream_id, frames::kRejected, fields, policy::reason_message(denial));
}

void FramesFrontend::Connection::fail_request(std::uint32_t stream_id, std::string_view reason) {
  frontend_.log_client_error(LogLevel::kInfo, key_, reason);
  respond(stream_id, frames::kFailed, {}, reason);
}

}  // namespace rookproxy
