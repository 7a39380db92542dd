#include "frontend/frames_frontend.h"

#include <utility>

#include "frontend/frames_connection.h"
#include "net/event_loop.h"
#include "net/file_descriptor.h"
#include "net/slot_map.h"

namespace rookproxy {
namespace {

// The maximum size of a response's header, code and fields, in bytes.
constexpr std::size_t kResponseOverhead = 1024;

std::string_view response_message(const Response& response) {
  switch (response.cause) {
    case ResponseCause::kDeadline:
      return "the deadline passed";
    case ResponseCause::kEngineError:
      return "an engine failed";
    case ResponseCause::kOverloaded:
      return "too much is held already";
    case ResponseCause::kShuttingDown:
      return "the dispatcher stops";
    case ResponseCause::kRepeated:
      return "a request with its id may have run";
    case ResponseCause::kNone:
    case ResponseCause::kDecision:
      break;
  }
  return response.status == ResponseStatus::kRejected ? "no room in time" : "no engine could serve it";
}

}  // namespace

FramesFrontend::FramesFrontend(EventLoop& loop, Logger& log, Dispatcher& dispatcher, TurnScheduler& turns,
                               FileDescriptor listener, Limits limits, auth::Authenticator* authenticator,
                               std::shared_ptr<const tls::ServerContext> tls,
                               std::shared_ptr<policy::MemoryLedger> memory)
    : loop_(loop),
      log_(log),
      dispatcher_(dispatcher),
      turns_(turns),
      limits_(limits),
      authenticator_(authenticator),
      tls_(std::move(tls)),
      memory_(std::move(memory)),
      connections_(loop),
      acceptor_(
          loop, std::move(listener), [this](FileDescriptor fd) { accept(std::move(fd)); }, false,
          [this] { return !is_full() || connections_.eviction_candidate() != 0; }) {}

FramesFrontend::~FramesFrontend() = default;

std::optional<FramesFrontend::PendingRequest> FramesFrontend::take_pending_request(SlotKey correlation_id) {
  auto request = pending_requests_.take(correlation_id);
  if (request) open_call_ids_.erase(request->call_id);
  return request;
}

// Cancels a request whose client no longer waits for the response.
void FramesFrontend::cancel_request(SlotKey correlation_id) {
  auto request = take_pending_request(correlation_id);
  if (!request) return;
  if (request->check != 0) {
    authenticator_->cancel_check(request->check);
  } else if (request->turn_wait != 0) {
    turns_.cancel(request->turn_wait);
  } else {
    dispatcher_.cancel_request(request->request);
  }
}

// Returns false if the request must not wait, for lack of memory.
bool FramesFrontend::try_hold_unsubmitted(PendingRequest& request, policy::MemoryUse use,
                                          std::size_t bytes) const {
  request.memory = policy::MemoryHolding(memory_, use);
  return request.memory.try_add(bytes);
}

// Must be called when the token check or the wait for a turn has ended.
void FramesFrontend::end_wait(PendingRequest& request) {
  request.memory.release();
  request.check = 0;
  request.turn_wait = 0;
}

// Connections count what their clients have not read when they write; what clients have read since is found
// out only if the limit seems to be exceeded.
bool FramesFrontend::has_too_many_unread_bytes() const {
  if (!memory_ || !memory_->is_exceeded(policy::MemoryUse::kUnreadResponses)) return false;
  connections_.update_unread_memory();
  return memory_->is_exceeded(policy::MemoryUse::kUnreadResponses);
}

bool FramesFrontend::is_full() const {
  return connections_.size() - closing_.size() + max_closing() >= limits_.max_connections;
}

// Closes the connection that is first in eviction order. Its unread bytes are handled first; if they change
// its order, the next candidate is considered.
void FramesFrontend::evict_idle_connection() {
  for (std::size_t attempts = connections_.size();; --attempts) {
    const SlotKey key = connections_.eviction_candidate();
    // Handling unread bytes may have closed a connection.
    if (key == 0 || !is_full()) return;
    Connection* candidate = connections_.find(key);
    const Connection::EvictionOrder order = candidate->eviction_order();
    candidate->read_now();
    const bool is_unchanged = candidate->eviction_order() == order;
    if (candidate->is_closable() && (attempts <= 1 || is_unchanged)) return candidate->close_gracefully();
  }
}

// Cancels the client's open requests immediately. Responses that were already written are still delivered.
void FramesFrontend::client_disconnected(SlotKey key) {
  Connection* connection = connections_.find(key);
  if (!connection) return;
  connection->close_gracefully();
  for (const SlotKey correlation_id : connection->take_open_requests()) cancel_request(correlation_id);
}

// Limited, so that the errors of some clients don't use up the log's limit for all lines.
void FramesFrontend::log_client_error(LogLevel level, SlotKey connection, std::string_view reason) {
  if (!log_.is_enabled(level) || !client_error_log_limiter_.allow(loop_.now())) return;
  log_.write(level, "frames", reason,
             {{"connection", std::to_string(connection)},
              {"left_out", std::to_string(client_error_log_limiter_.take_suppressed())}});
}

void FramesFrontend::accept(FileDescriptor fd) {
  if (is_full()) evict_idle_connection();
  // When all client descriptors are in use, the connection that started to close first is dropped.
  if (connections_.size() >= limits_.max_connections && !closing_.empty()) drop(closing_.front());
  auto channel = tls_ ? std::make_unique<tls::ServerChannel>(tls_) : nullptr;
  Connection& connection = connections_.emplace(*this, std::move(fd), std::move(channel));
  if (draining_) connection.send_go_away();
}

void FramesFrontend::drop(SlotKey key) {
  Connection* connection = connections_.find(key);
  if (!connection) return;
  for (const SlotKey correlation_id : connection->take_open_requests()) cancel_request(correlation_id);
  connection->close();
  std::erase(closing_, key);
  if (authenticator_) authenticator_->remove_source(key);
  connections_.remove(key);
}

ResponseStatus FramesFrontend::on_response(std::uint64_t correlation_id, Response response) {
  const auto request = take_pending_request(correlation_id);
  Connection* connection = request ? connections_.find(request->connection) : nullptr;
  if (!connection) return response.status;
  if (response.status == ResponseStatus::kServed &&
      response.body.size() + kResponseOverhead > frames::kMaxFrameLength) {
    response = {ResponseStatus::kFailed, "", std::nullopt, ResponseCause::kEngineError,
                "the result is larger than a frame"};
  }
  if (response.status == ResponseStatus::kServed) {
    connection->respond(request->stream_id, frames::kServed, {}, response.body);
  } else if (response.status == ResponseStatus::kRejected) {
    connection->respond(request->stream_id, frames::kRejected,
                        {frames::retry_after_field(response.retry_after.value_or(Duration(0)))},
                        response_message(response));
  } else {
    connection->respond(request->stream_id, frames::kFailed, {}, response_message(response));
  }
  return response.status;
}

void FramesFrontend::update_tls_context(std::shared_ptr<const tls::ServerContext> tls) {
  tls_ = std::move(tls);
  if (tls_) connections_.recheck_certificates();
}

void FramesFrontend::drain() {
  draining_ = true;
  connections_.for_each([](Connection& connection) { connection.send_go_away(); });
}

void FramesFrontend::close_all_gracefully(Duration timeout) {
  linger_timeout_ = timeout;
  set_accepting(false);
  connections_.close_after_responses();
}

bool FramesFrontend::is_receiving() const {
  bool receiving = false;
  connections_.for_each(
      [&receiving](const Connection& connection) { receiving = receiving || connection.is_receiving(); });
  return receiving;
}

bool FramesFrontend::has_unsubmitted_requests() const {
  const auto correlation_ids = pending_requests_.keys();
  return std::any_of(correlation_ids.begin(), correlation_ids.end(), [this](SlotKey correlation_id) {
    const PendingRequest& request = *pending_requests_.find(correlation_id);
    return request.check != 0 || request.turn_wait != 0;
  });
}

bool FramesFrontend::is_flushed() const { return !has_unsubmitted_requests() && connections_.is_flushed(); }

}  // namespace rookproxy
