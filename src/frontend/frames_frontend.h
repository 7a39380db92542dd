// The frontend for clients that use binary frames. Accepts their connections and submits their requests to
// the dispatcher.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "auth/certificate_authenticator.h"
#include "dispatcher/dispatcher.h"
#include "frontend/connection_table.h"
#include "frontend/frame_codec.h"
#include "frontend/turn_scheduler.h"
#include "log/log_rate_limiter.h"
#include "net/acceptor.h"
#include "net/event_loop.h"
#include "net/file_descriptor.h"
#include "net/slot_map.h"
#include "net/stream.h"

namespace rookproxy {

// Serves binary frames over TCP or TLS. Must be used on the event loop's thread. Everything passed to the
// constructor by reference or pointer must outlive it.
class FramesFrontend final : public ResponseHandler {
 public:
  // Limits of the clients' resource usage and inactivity.
  struct Limits {
    std::size_t max_connections = 400;
    // The limit for one connection.
    std::size_t max_open_requests = 32;
    // The number of unread response bytes of one client above which its frames are not handled.
    std::size_t max_unread_bytes_per_connection = 256 * 1024;
    Duration idle_timeout = std::chrono::seconds(60);
    // A connection without a frame after this time is closed. Must be less than the 3 s within which the
    // protocol requires faulty clients to be disconnected.
    Duration first_request_timeout = std::chrono::milliseconds(2500);
    // A frame must be complete this long after its first byte. Must be more than the 2 s that clients may
    // take to write a frame.
    Duration frame_timeout = std::chrono::milliseconds(2600);
  };

  // Accepts no connections until set_accepting(true) is called. Without an authenticator callers are not
  // identified. With `tls` every connection is encrypted from its first byte.
  FramesFrontend(EventLoop& loop, Logger& log, Dispatcher& dispatcher, TurnScheduler& turns,
                 FileDescriptor listener, Limits limits, auth::Authenticator* authenticator = nullptr,
                 std::shared_ptr<const tls::ServerContext> tls = nullptr,
                 std::shared_ptr<policy::MemoryLedger> memory = nullptr);
  ~FramesFrontend();
  FramesFrontend(const FramesFrontend&) = delete;
  FramesFrontend& operator=(const FramesFrontend&) = delete;

  ResponseStatus on_response(std::uint64_t correlation_id, Response response) override;
  // Tells all clients that this process is no longer ready. Requests that still arrive are served.
  void drain();
  // Applies new TLS settings to new connections and checks the certificates of open connections again.
  void update_tls_context(std::shared_ptr<const tls::ServerContext> tls);
  // Stops accepting connections and closes each connection once its open requests have their responses.
  // Requests that arrive before that are rejected; requests that arrive after this side was shut down are
  // ignored. A connection whose client does not close its side within `timeout` is closed.
  void close_all_gracefully(Duration timeout);
  [[nodiscard]] bool has_connections() const { return connections_.size() > 0; }
  void set_accepting(bool accepting) { accepting ? acceptor_.start() : acceptor_.stop(); }
  // Changes the limit on connections. Connections above it are evicted when new clients connect.
  void set_max_connections(std::size_t max_connections) { limits_.max_connections = max_connections; }
  // Returns true if no bytes are queued for any client and no request waits for a token check or a turn.
  [[nodiscard]] bool is_flushed() const;
  // Returns true if a frame is being received on any connection.
  [[nodiscard]] bool is_receiving() const;
  [[nodiscard]] std::uint16_t port() const { return acceptor_.port(); }

 private:
  class Connection;
  // A request without a response. The dispatcher identifies it by its correlation id.
  struct PendingRequest {
    SlotKey connection = 0;
    std::uint32_t stream_id = 0;
    RequestKey request = 0;
    std::string call_id;
    // The pending check of the request's token; 0 if there is none.
    auth::Authenticator::CheckId check = 0;
    // The wait until the statement may be read; 0 if there is none.
    TurnScheduler::WaitId turn_wait = 0;
    // What it holds during the check or the wait.
    policy::MemoryHolding memory{};
  };
  void accept(FileDescriptor fd);
  void log_client_error(LogLevel level, SlotKey connection, std::string_view reason);
  void drop(SlotKey key);
  // Returns the number of client descriptors that are reserved for connections that are closing gracefully.
  [[nodiscard]] std::size_t max_closing() const {
    return std::max<std::size_t>(1, limits_.max_connections / 8);
  }
  [[nodiscard]] bool is_full() const;
  void evict_idle_connection();
  void client_disconnected(SlotKey key);
  std::optional<PendingRequest> take_pending_request(SlotKey correlation_id);
  void cancel_request(SlotKey correlation_id);
  [[nodiscard]] bool try_hold_unsubmitted(PendingRequest& request, policy::MemoryUse use,
                                          std::size_t bytes) const;
  static void end_wait(PendingRequest& request);
  [[nodiscard]] bool has_too_many_unread_bytes() const;
  [[nodiscard]] bool has_unsubmitted_requests() const;

  EventLoop& loop_;
  Logger& log_;
  Dispatcher& dispatcher_;
  TurnScheduler& turns_;
  Limits limits_;
  // Null if callers are not identified.
  auth::Authenticator* authenticator_;
  std::shared_ptr<const tls::ServerContext> tls_;
  std::shared_ptr<policy::MemoryLedger> memory_;
  ConnectionTable<Connection> connections_;
  SlotMap<PendingRequest> pending_requests_;
  // The connections that are closing gracefully, in the order in which they are dropped.
  std::vector<SlotKey> closing_;
  std::unordered_set<std::string> open_call_ids_;
  bool draining_ = false;
  static constexpr int kClientErrorLinesPerSecond = 20;
  LogRateLimiter client_error_log_limiter_{kClientErrorLinesPerSecond};
  // How long a client may take to close its side after the dispatcher's side was shut down.
  Duration linger_timeout_ = std::chrono::milliseconds(300);
  Acceptor acceptor_;
};

}  // namespace rookproxy
