#include "frontend/frames_connection.h"
#include "net/file_descriptor.h"
#include "net/slot_map.h"

#include <algorithm>
#include <utility>

namespace rookproxy {
namespace {

// The longest pause between two parts of a frame before it counts as stalled.
constexpr Duration kMaxPauseWithinFrame = std::chrono::milliseconds(700);
// The time during which a new connection is not evicted, so that its first bytes can be read.
constexpr Duration kEvictionGracePeriod = std::chrono::milliseconds(20);
// The size in bytes above which partial frames are counted against a shared budget.
constexpr std::size_t kLargeFrameThreshold = 16 * 1024;
// The input buffer holds the largest frame and a part of the next one.
constexpr std::size_t kInputLimit = frames::kMaxFrameLength + 4096;

}  // namespace

FramesFrontend::Connection::Connection(FramesFrontend& frontend, SlotKey key, FileDescriptor fd,
                                       std::unique_ptr<tls::ServerChannel> channel)
    : frontend_(frontend),
      key_(key),
      certificate_(frontend.authenticator_ && channel ? std::make_unique<auth::CertificateAuthenticator>(
                                                            *frontend.authenticator_, channel.get())
                                                      : nullptr),
      frame_memory_(frontend.memory_, policy::MemoryUse::kPartialCommands),
      unread_memory_(frontend.memory_, policy::MemoryUse::kUnreadResponses),
      accepted_at_(frontend.loop_.now()),
      last_bytes_at_(accepted_at_),
      stream_(frontend.loop_, std::move(fd), *this, false, kInputLimit, std::move(channel)) {
  start_frame_timer(frontend.limits_.first_request_timeout);
}

FramesFrontend::Connection::~Connection() {
  frontend_.loop_.cancel(idle_timer_);
  frontend_.loop_.cancel(frame_timer_);
}

std::size_t FramesFrontend::Connection::on_bytes(std::string_view bytes) {
  if (framing_failed_) return bytes.size();
  last_bytes_at_ = frontend_.loop_.now();
  if (bytes_to_skip_ > 0) return skip_bytes(bytes);
  if (paused_for_unread_responses_) {
    scan_for_cancellations(bytes);
    if (bytes.size() >= kLargeFrameThreshold) stream_.set_read_paused(true);
    return 0;
  }
  frames::Frame frame;
  std::size_t consumed = 0;
  switch (frames::parse_frame(bytes, frame, consumed)) {
    case frames::ParseStatus::kIncomplete:
      return handle_partial_frame(bytes);
    case frames::ParseStatus::kMalformed:
      return handle_framing_error("unreadable frame", bytes);
    case frames::ParseStatus::kOversized:
      return handle_oversized_frame(frame, consumed, bytes);
    case frames::ParseStatus::kComplete:
      break;
  }
  last_frame_at_ = frontend_.loop_.now();
  frame_finished();
  handle_frame(frame);
  return consumed;
}

std::size_t FramesFrontend::Connection::skip_bytes(std::string_view bytes) {
  const std::size_t skipped = std::min(bytes_to_skip_, bytes.size());
  bytes_to_skip_ -= skipped;
  if (bytes_to_skip_ == 0) frame_finished();
  return skipped;
}

// Buffers a partial frame. A large frame is buffered only if the shared budget permits it. Every partial
// frame must be completed within the frame timeout.
std::size_t FramesFrontend::Connection::handle_partial_frame(std::string_view bytes) {
  frame_started();
  if (bytes.size() < frames::kHeaderSize || frame_memory_.bytes() > 0) return 0;
  const frames::FrameHeader header = frames::parse_frame_header(bytes);
  if (header.frame_size <= kLargeFrameThreshold) return 0;
  if (frame_memory_.try_add(header.frame_size)) {
    stream_.reserve_input(header.frame_size);
    return 0;
  }
  if (closing_ || !starts_request(header.type, header.stream_id)) {
    return handle_framing_error("no room for a frame so large", bytes);
  }
  respond(header.stream_id, frames::kRejected,
          {frames::retry_after_field(frontend_.dispatcher_.overload_retry_after())},
          "no room for a frame so large");
  bytes_to_skip_ = header.frame_size;
  return skip_bytes(bytes);
}

std::size_t FramesFrontend::Connection::handle_oversized_frame(const frames::Frame& frame,
                                                               std::size_t frame_size,
                                                               std::string_view bytes) {
  if (!starts_request(frame.type, frame.stream_id)) return handle_framing_error("oversized frame", bytes);
  frame_started();
  fail_request(frame.stream_id, "larger than a frame may be");
  bytes_to_skip_ = frame_size;
  return skip_bytes(bytes);
}

std::size_t FramesFrontend::Connection::handle_framing_error(std::string_view reason,
                                                             std::string_view bytes) {
  framing_failed_ = true;
  protocol_error(reason);
  return bytes.size();
}

bool FramesFrontend::Connection::starts_request(std::uint8_t type, std::uint32_t stream_id) const {
  return type == frames::kRequest && stream_id != 0 && !open_requests_.contains(stream_id);
}

// Frames from a client that does not read its responses stay buffered, up to the large-frame threshold, and
// are handled later in order. Cancellations among them take effect immediately, so that no attempt starts for
// a cancelled request; handling them again later has no effect.
void FramesFrontend::Connection::scan_for_cancellations(std::string_view bytes) {
  frames::Frame frame;
  std::size_t consumed = 0;
  while (frames::parse_frame(bytes, frame, consumed) == frames::ParseStatus::kComplete) {
    if (frame.type == frames::kCancel) cancel_request(frame.stream_id);
    bytes.remove_prefix(consumed);
  }
}

void FramesFrontend::Connection::frame_started() {
  if (std::exchange(frame_in_progress_, true) || closing_) return;
  start_frame_timer(frontend_.limits_.frame_timeout);
}

void FramesFrontend::Connection::frame_finished() {
  frontend_.loop_.cancel(frame_timer_);
  frame_in_progress_ = false;
  frame_memory_.release();
  update_idle_state();
}

void FramesFrontend::Connection::handle_frame(const frames::Frame& frame) {
  if (closing_) return handle_frame_while_closing(frame);
  switch (frame.type) {
    case frames::kRequest:
      if (!starts_request(frame.type, frame.stream_id)) return protocol_error("request on a stream in use");
      return handle_request(frame);
    case frames::kCancel:
      return cancel_request(frame.stream_id);
    case frames::kReadinessQuery:
      return write(frames::encode_frame(frames::kReadiness, frame.stream_id,
                                        std::string_view(frontend_.draining_ ? "\1\0" : "\0\0", 2)));
    default:
      return protocol_error("frame of an unknown type");
  }
}

void FramesFrontend::Connection::handle_frame_while_closing(const frames::Frame& frame) {
  if (frame.type == frames::kCancel) return cancel_request(frame.stream_id);
  if (!starts_request(frame.type, frame.stream_id)) return;
  respond(frame.stream_id, frames::kRejected, {{"pushback", "0"}}, "this connection ends");
}

void FramesFrontend::Connection::respond(std::uint32_t stream_id, frames::ResponseCode code,
                                         const frames::Fields& fields, std::string_view body) {
  open_requests_.erase(stream_id);
  write(frames::encode_response(stream_id, code, fields, body));
  update_idle_state();
}

// Pauses the handling of frames while the client does not read its responses.
void FramesFrontend::Connection::write(std::string bytes) {
  stream_.write_batched(std::move(bytes));
  if (stream_.queued_bytes() > kLargeFrameThreshold) update_unread_memory();
  if (stream_.queued_bytes() <= frontend_.limits_.max_unread_bytes_per_connection) return;
  paused_for_unread_responses_ = true;
  if (!frontend_.has_too_many_unread_bytes()) return;
  // A graceful close would wait until the client reads the very bytes that exceed the limit.
  frontend_.log_.write(LogLevel::kNotice, "frames",
                       "client does not read its responses; closing the connection", {});
  frontend_.loop_.defer([&frontend = frontend_, key = key_] { frontend.drop(key); });
}

void FramesFrontend::Connection::on_flushed() {
  unread_memory_.release();
  if (!std::exchange(paused_for_unread_responses_, false)) return;
  stream_.set_read_paused(false);
  stream_.schedule_read();
}

bool FramesFrontend::Connection::is_evictable(Time now) const {
  return is_closable() && now - accepted_at_ >= kEvictionGracePeriod;
}

FramesFrontend::Connection::EvictionOrder FramesFrontend::Connection::eviction_order() const {
  if (frame_in_progress_) {
    return {is_receiving() ? EvictionClass::kReceiving : EvictionClass::kStalledFrame, last_bytes_at_};
  }
  return {last_frame_at_ == Time() ? EvictionClass::kNoRequestYet : EvictionClass::kIdle, last_bytes_at_};
}

bool FramesFrontend::Connection::is_receiving() const {
  return frame_in_progress_ && frontend_.loop_.now() - last_bytes_at_ < kMaxPauseWithinFrame;
}

std::vector<SlotKey> FramesFrontend::Connection::take_open_requests() {
  std::vector<SlotKey> correlation_ids;
  correlation_ids.reserve(open_requests_.size());
  for (const auto& [stream_id, correlation_id] : open_requests_) correlation_ids.push_back(correlation_id);
  open_requests_.clear();
  return correlation_ids;
}

// Closes connections of silent clients and with incomplete frames, because they occupy descriptors. A
// connection with open requests stays open for their responses, so an incomplete frame may still be
// completed, for example after a short network interruption.
void FramesFrontend::Connection::start_frame_timer(Duration timeout) {
  frontend_.loop_.cancel(frame_timer_);
  frame_timer_ = frontend_.loop_.run_at(frontend_.loop_.now() + timeout, [this] {
    frame_timer_ = {};
    read_now();
    const bool is_late = frame_in_progress_ || last_frame_at_ == Time();
    if (closing_ || frame_timer_ != TimerId{} || !is_late) return;
    if (open_requests_.empty()) return close_gracefully();
    start_frame_timer(frontend_.limits_.frame_timeout);
  });
}

// Starts or stops the idle timer, or starts a pending close, depending on whether a request is open.
void FramesFrontend::Connection::update_idle_state() {
  if (closing_) {
    if (open_requests_.empty()) close_gracefully();
    return;
  }
  if (denial_ != policy::Denial::kNone) {
    // The timer is started only once. Until it fires, requests that crossed the go-away frame are rejected
    // with the reason of the denial.
    if (!open_requests_.empty() || idle_timer_ != TimerId{}) return;
    idle_timer_ = frontend_.loop_.run_at(frontend_.loop_.now() + frontend_.linger_timeout_,
                                         [this] { protocol_error("its credentials are not good"); });
    return;
  }
  frontend_.loop_.cancel(idle_timer_);
  if (!open_requests_.empty()) return;
  idle_timer_ = frontend_.loop_.run_at(frontend_.loop_.now() + frontend_.limits_.idle_timeout, [this] {
    idle_timer_ = {};
    read_now();
    // A frame in progress has its own timer, and the idle timer is restarted when the frame ends.
    if (open_requests_.empty() && !frame_in_progress_ && idle_timer_ == TimerId{}) close_gracefully();
  });
}

// Reports the error to the client. The connection closes once all open requests have their responses. Further
// requests are rejected immediately as long as the input can still be split into frames.
void FramesFrontend::Connection::protocol_error(std::string_view reason) {
  if (closing_) return;
  frontend_.log_client_error(LogLevel::kNotice, key_, reason);
  stream_.write_batched(frames::encode_response(0, frames::kFailed, {}, reason));
  stop_accepting_requests();
  if (open_requests_.empty()) close_gracefully();
}

void FramesFrontend::Connection::stop_accepting_requests() {
  closing_ = true;
  frontend_.loop_.cancel(frame_timer_);
  frontend_.loop_.cancel(idle_timer_);
}

void FramesFrontend::Connection::recheck_certificate() {
  if (!certificate_ || !certificate_->is_presented()) return;
  const policy::Denial denial = certificate_->authenticate(*frontend_.tls_).denial;
  if (denial != policy::Denial::kNone) close_for_denial(denial);
}

// Sends a go-away frame; the connection closes once no request is open.
void FramesFrontend::Connection::close_for_denial(policy::Denial denial) {
  if (closing_ || denial_ != policy::Denial::kNone) return;
  denial_ = denial;
  frontend_.loop_.cancel(idle_timer_);
  send_go_away();
  update_idle_state();
}

void FramesFrontend::Connection::close_gracefully() {
  if (std::exchange(close_started_, true)) return;
  frame_in_progress_ = false;
  frame_memory_.release();
  stop_accepting_requests();
  frontend_.closing_.push_back(key_);
  stream_.close_gracefully(frontend_.linger_timeout_);
}

void FramesFrontend::Connection::close_after_responses() {
  read_now();
  if (open_requests_.empty()) return close_gracefully();
  stop_accepting_requests();
}

}  // namespace rookproxy
