// The frontend for the platform's clients: accepts their connections and passes requests on to the
// dispatcher.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include "auth/certificate_authenticator.h"
#include "dispatcher/dispatcher.h"
#include "frontend/connection_table.h"
#include "frontend/frame_codec.h"
#include "net/acceptor.h"
#include "net/event_loop.h"
#include "net/file_descriptor.h"
#include "net/slot_map.h"
#include "net/stream.h"

namespace rookproxy {

/// Serves binary frames over TCP, or over TLS. Lives on the event loop's thread; what is passed to the
/// constructor by reference or pointer must outlive it.
class FramesFrontend final : public ResponseHandler {
 public:
  /// What the clients may take up, and how long they may be silent.
  struct Limits {
    std::size_t max_connections = 400;
    std::size_t max_open_requests = 32;  // of one connection
    /// Response bytes that one client has not read, above which nothing more is read from it.
    std::size_t max_unread_bytes_per_connection = 256 * 1024;
    /// For all connections together: large frames that have only partly arrived, and unread response bytes.
    std::size_t max_partial_frame_bytes = 4u << 20;
    std::size_t max_unread_response_bytes = 8u << 20;
    Duration idle_timeout = std::chrono::seconds(60);
    /// A client that has sent no frame by then is closed, and a frame must be complete so long after its
    /// first byte. Clients write one in up to 2 s, and bad ones are owed a close within 3 s of connecting.
    Duration first_request_timeout = std::chrono::milliseconds(2500);
    Duration frame_timeout = std::chrono::milliseconds(2600);
  };

  /// Accepts nothing until set_accepting(true). Without an authenticator callers are not identified; with
  /// `tls` every connection is encrypted from its first byte.
  FramesFrontend(EventLoop& loop, Logger& log, Dispatcher& dispatcher, FileDescriptor listener, Limits limits,
                 auth::Authenticator* authenticator = nullptr,
                 std::shared_ptr<const tls::ServerContext> tls = nullptr);
  ~FramesFrontend();
  FramesFrontend(const FramesFrontend&) = delete;
  FramesFrontend& operator=(const FramesFrontend&) = delete;

  ResponseStatus on_response(std::uint64_t correlation_id, Response response) override;
  /// Tells every client that this process is no longer ready; requests that still arrive are served.
  void drain();
  /// Takes new TLS settings for new connections, and checks the certificates of open ones anew.
  void update_tls_context(std::shared_ptr<const tls::ServerContext> tls);
  /// Accepts nobody any more and closes each connection once its open requests have their responses. A
  /// request that arrives meanwhile is rejected, one that arrives behind our end is ignored. A client that
  /// does not close its side within `timeout` is closed.
  void close_all_gracefully(Duration timeout);
  [[nodiscard]] bool has_connections() const { return connections_.size() > 0; }
  void set_accepting(bool accepting) { accepting ? acceptor_.start() : acceptor_.stop(); }
  /// Changes the limits that depend on how many processes share the dispatcher's resources; what exceeds them
  /// goes as new clients come.
  void set_resource_limits(std::size_t max_connections, std::size_t max_partial_frame_bytes,
                           std::size_t max_unread_response_bytes);
  /// Whether nothing is queued for any client and no token waits to be checked.
  [[nodiscard]] bool is_flushed() const;
  /// Whether a request is arriving on any connection.
  [[nodiscard]] bool is_receiving() const;
  [[nodiscard]] std::uint16_t port() const { return acceptor_.port(); }

 private:
  class Connection;
  /// A request that has no response yet, by the correlation id that the dispatcher knows it by.
  struct PendingRequest {
    SlotKey connection = 0;
    std::uint32_t stream_id = 0;
    RequestKey request = 0;
    std::string call_id;
    auth::Authenticator::CheckId check = 0;  // of its token, while that is being checked; 0: none
    std::size_t bytes_in_check = 0;
  };
  void accept(FileDescriptor fd);
  void drop(SlotKey key);
  // This part of the descriptors for clients is kept for connections that are closing gracefully, while
  // others have come.
  [[nodiscard]] std::size_t max_closing() const {
    return std::max<std::size_t>(1, limits_.max_connections / 8);
  }
  [[nodiscard]] bool is_full() const;
  void evict_idle_connection();
  void client_disconnected(SlotKey key);
  std::optional<PendingRequest> take_pending_request(SlotKey correlation_id);
  void cancel_request(SlotKey correlation_id);
  void finish_check(PendingRequest& request);
  [[nodiscard]] std::size_t pending_check_count() const;

  EventLoop& loop_;
  Logger& log_;
  Dispatcher& dispatcher_;
  Limits limits_;
  auth::Authenticator* authenticator_;  // null: callers are not identified
  std::shared_ptr<const tls::ServerContext> tls_;
  std::size_t partial_frame_bytes_ = 0;  // announced by large frames that have only partly arrived
  std::size_t bytes_in_check_ = 0;       // of requests whose tokens are being checked
  ConnectionTable<Connection> connections_;
  SlotMap<PendingRequest> pending_requests_;
  std::vector<SlotKey> closing_;  // connections that close gracefully, the first to be dropped first
  std::unordered_set<std::string> open_call_ids_;
  bool draining_ = false;
  // For a client to close its side after we have closed ours.
  Duration linger_timeout_ = std::chrono::milliseconds(300);
  Acceptor acceptor_;
};

}  // namespace rookproxy
