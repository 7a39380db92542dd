// A client connection of the frames frontend. This header is internal to the frontend.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "frontend/frame_request.h"
#include "frontend/frames_frontend.h"
#include "net/file_descriptor.h"
#include "net/slot_map.h"

namespace rookproxy {

// Reads a client's frames and writes the responses. Closes itself when it is idle, when a frame stays
// incomplete, after a protocol error, and when the client's credentials become invalid.
class FramesFrontend::Connection final : public StreamHandler {
 public:
  // Classes of connections in the order in which they are evicted. Within a class, the connection that has
  // been silent for the longest time is evicted first.
  enum class EvictionClass { kNoRequestYet, kStalledFrame, kIdle, kReceiving };
  // The sort key of a connection in eviction order.
  struct EvictionOrder {
    EvictionClass eviction_class = EvictionClass::kIdle;
    Time last_bytes_at;
    auto operator<=>(const EvictionOrder&) const = default;
  };

  Connection(FramesFrontend& frontend, SlotKey key, FileDescriptor fd,
             std::unique_ptr<tls::ServerChannel> channel);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  std::size_t on_bytes(std::string_view bytes) override;
  void on_closed(std::string_view) override { frontend_.drop(key_); }
  void on_flushed() override;
  // Unread requests of a disconnected client are discarded.
  void on_hangup() override { frontend_.client_disconnected(key_); }

  // Writes the response to the request on this stream.
  void respond(std::uint32_t stream_id, frames::ResponseCode code, const frames::Fields& fields,
               std::string_view body);
  void send_go_away() { write(frames::encode_frame(frames::kGoAway, 0, "")); }

  // Returns true if no request is open and the connection is not closing.
  [[nodiscard]] bool is_closable() const { return open_requests_.empty() && !closing_; }
  // Returns true if the connection is closable and its first bytes could be read since it was accepted.
  [[nodiscard]] bool is_evictable(Time now) const;
  [[nodiscard]] EvictionOrder eviction_order() const;
  // Counts the response bytes that the client has not read.
  void update_unread_memory() { unread_memory_.set(stream_.queued_bytes()); }
  [[nodiscard]] bool is_flushed() const { return stream_.queued_bytes() == 0; }
  // Returns true if a partial frame has been received and has not stalled.
  [[nodiscard]] bool is_receiving() const;

  // Closes the connection if the client's certificate is no longer valid, even without a new request.
  void recheck_certificate();
  // Handles bytes that have arrived but were not read yet. Called before a decision to close the connection,
  // so that requests sent while it was open are served.
  void read_now() { stream_.read_now(); }
  // Stops reading and writing, except for queued output. Connections are closed gracefully unless the client
  // does not read its responses (see FramesFrontend::drop).
  void close_gracefully();
  // Closes gracefully once the open requests have their responses.
  void close_after_responses();
  // Closes the connection immediately.
  void close() { stream_.close(); }
  // Returns the correlation ids of all open requests and marks them as no longer open.
  std::vector<SlotKey> take_open_requests();

 private:
  // The caller of a request; null if callers are not identified.
  using Credential = std::shared_ptr<const policy::VerifiedCredential>;
  // A request that waits until its statement may be read, and the authenticator's revision under which its
  // credential was verified.
  struct WaitingRequest {
    IncomingRequest incoming;
    Credential credential;
    std::uint64_t revision = 0;
  };

  // Reading.
  std::size_t skip_bytes(std::string_view bytes);
  std::size_t handle_partial_frame(std::string_view bytes);
  std::size_t handle_oversized_frame(const frames::Frame& frame, std::size_t frame_size,
                                     std::string_view bytes);
  std::size_t handle_framing_error(std::string_view reason, std::string_view bytes);
  [[nodiscard]] bool starts_request(std::uint8_t type, std::uint32_t stream_id) const;
  void scan_for_cancellations(std::string_view bytes);
  void frame_started();
  void frame_finished();
  void handle_frame(const frames::Frame& frame);
  void handle_frame_while_closing(const frames::Frame& frame);

  // Requests.
  void handle_request(const frames::Frame& frame);
  void deny_request(std::uint32_t stream_id, const FrameRequest& request);
  void open_request(std::uint32_t stream_id, FrameRequest& request);
  void cancel_request(std::uint32_t stream_id);
  void authenticate(SlotKey correlation_id, IncomingRequest incoming, std::optional<std::string_view> token);
  void check_token(SlotKey correlation_id, IncomingRequest incoming, std::string_view token);
  auth::AuthenticationResult authenticate_by_certificate();
  void finish_authentication(SlotKey correlation_id, IncomingRequest incoming,
                             const auth::AuthenticationResult& authentication);
  void deny_caller(SlotKey correlation_id, const IncomingRequest& incoming,
                   const auth::AuthenticationResult& authentication);
  [[nodiscard]] auth::AuthenticationResult revalidate(const policy::VerifiedCredential& credential);
  bool refresh_class(SlotKey correlation_id, IncomingRequest& incoming);
  void request_turn(SlotKey correlation_id, IncomingRequest incoming, Credential credential);
  void wait_for_turn(SlotKey correlation_id, IncomingRequest incoming, Credential credential);
  void end_wait_for_turn(SlotKey correlation_id, WaitingRequest waiting, TurnDecision decision);
  void read_statement(SlotKey correlation_id, IncomingRequest incoming, const Credential& credential);
  [[nodiscard]] policy::Denial authorize(const IncomingRequest& incoming, const policy::Identity& identity);
  void reject_for_overload(SlotKey correlation_id, const IncomingRequest& incoming, std::string_view reason);
  void reject_denied(SlotKey correlation_id, const IncomingRequest& incoming, policy::Denial denial,
                     std::optional<Duration> retry_after = std::nullopt);
  void fail_request(std::uint32_t stream_id, std::string_view reason);

  // Writing and closing.
  void write(std::string bytes);
  void start_frame_timer(Duration timeout);
  void update_idle_state();
  void protocol_error(std::string_view reason);
  void close_for_denial(policy::Denial denial);
  void stop_accepting_requests();

  FramesFrontend& frontend_;
  SlotKey key_;
  // Null without TLS.
  std::unique_ptr<auth::CertificateAuthenticator> certificate_;
  // The correlation ids of the open requests by stream id.
  std::map<std::uint32_t, SlotKey> open_requests_;
  // The number of bytes left to skip of an oversized frame.
  std::size_t bytes_to_skip_ = 0;
  // True if no new requests are accepted.
  bool closing_ = false;
  // True if the start of the next frame is unknown; all further input is discarded.
  bool framing_failed_ = false;
  // True once the graceful close has started; nothing more is written.
  bool close_started_ = false;
  // True if no frames are handled until the client has read its responses.
  bool paused_for_unread_responses_ = false;
  // The denial that causes the connection to close.
  policy::Denial denial_ = policy::Denial::kNone;
  // True if a frame was received only in part.
  bool frame_in_progress_ = false;
  // What a large partial frame holds.
  policy::MemoryHolding frame_memory_;
  // What the client has not read, counted while it is much.
  policy::MemoryHolding unread_memory_;
  Time accepted_at_;
  Time last_bytes_at_;
  // Default-initialized until the first frame has arrived.
  Time last_frame_at_;
  TimerId idle_timer_{};
  TimerId frame_timer_{};
  Stream stream_;
};

}  // namespace rookproxy
