// One client connection of the frames frontend. Only for the frontend's own sources.
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

#include "frontend/byte_reservation.h"
#include "frontend/frame_request.h"
#include "frontend/frames_frontend.h"
#include "net/file_descriptor.h"
#include "net/slot_map.h"

namespace rookproxy {

/// Reads a client's frames, writes its responses and ends the connection by itself: when it is idle, when a
/// frame stays incomplete, after a protocol error and when its credentials lose their validity.
class FramesFrontend::Connection final : public StreamHandler {
 public:
  /// Which connection is evicted first: the least in this order, the longest silent one of each class.
  enum class EvictionClass { kNoRequestYet, kStalledFrame, kIdle, kReceiving };
  /// The place of a connection in the order of eviction.
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
  // Nothing of a client that has gone is sent on, not even what it sent before.
  void on_hangup() override { frontend_.client_disconnected(key_); }

  /// Writes the one response to the request on this stream.
  void respond(std::uint32_t stream_id, frames::ResponseCode code, const frames::Fields& fields,
               std::string_view body);
  void send_go_away() { write(frames::encode_frame(frames::kGoAway, 0, "")); }

  /// Whether no request is open and it is not closing already.
  [[nodiscard]] bool is_closable() const { return open_requests_.empty() && !closing_; }
  /// The same, once there was time to read what the client sent with its connection.
  [[nodiscard]] bool is_evictable(Time now) const;
  [[nodiscard]] EvictionOrder eviction_order() const;
  [[nodiscard]] std::size_t unread_response_bytes() const { return stream_.queued_bytes(); }
  [[nodiscard]] bool is_flushed() const { return stream_.queued_bytes() == 0; }
  /// Whether a frame has begun whose bytes still come.
  [[nodiscard]] bool is_receiving() const;

  /// Tells a client to go away whose certificate has lost its validity, whether it sends a request or not.
  void recheck_certificate();
  /// Handles what has arrived but was not read yet. Called before a decision to close: it was sent to a
  /// connection that was open.
  void read_now() { stream_.read_now(); }
  /// Reads and writes nothing more, but for what is queued. All closes are graceful, except where a client
  /// does not read its responses (FramesFrontend::drop).
  void close_gracefully();
  /// Closes gracefully once the open requests have their responses.
  void close_when_answered();
  /// Closes at once.
  void close() { stream_.close(); }
  /// The correlation ids of all open requests, which are not open any more.
  std::vector<SlotKey> take_open_requests();

 private:
  // Reading.
  std::size_t skip_bytes(std::string_view bytes);
  std::size_t handle_partial_frame(std::string_view bytes);
  std::size_t handle_oversized_frame(const frames::Frame& frame, std::size_t frame_size,
                                     std::string_view bytes);
  std::size_t lose_framing(std::string_view reason, std::string_view bytes);
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
  void submit(SlotKey correlation_id, const IncomingRequest& incoming);
  void authenticate(SlotKey correlation_id, IncomingRequest incoming, std::optional<std::string_view> token);
  void check_token(SlotKey correlation_id, IncomingRequest incoming, std::string_view token);
  auth::AuthenticationResult authenticate_by_certificate();
  void authorize(SlotKey correlation_id, IncomingRequest incoming, auth::AuthenticationResult authentication);
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
  std::unique_ptr<auth::CertificateAuthenticator> certificate_;  // null without TLS
  std::map<std::uint32_t, SlotKey> open_requests_;               // correlation id by stream id
  std::size_t bytes_to_skip_ = 0;                                // of an oversized frame
  bool closing_ = false;                                         // no request is accepted any more
  bool framing_lost_ = false;        // nothing is read: where the next frame starts is unknown
  bool close_started_ = false;       // nothing is written either
  bool waiting_for_reader_ = false;  // nothing is handled until the client has read its responses
  policy::Denial denial_ = policy::Denial::kNone;  // for which the connection closes
  bool frame_in_progress_ = false;                 // a frame has begun and is not complete
  ByteReservation reserved_bytes_;                 // of the budget for large partial frames
  Time accepted_at_;
  Time last_bytes_at_;
  Time last_frame_at_;  // a default one: no frame yet
  TimerId idle_timer_{};
  TimerId frame_timer_{};
  Stream stream_;
};

}  // namespace rookproxy
