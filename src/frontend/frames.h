// The platform's front: binary frames over TCP (PROTOCOL, "Clients to dispatchers").
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "auth/certificate_authenticator.h"
#include "dispatcher/dispatcher.h"
#include "net/stream.h"
#include "net/sweep.h"

namespace rookproxy {

namespace frames {

enum FrameType : std::uint8_t {
  kRequest = 2,
  kResponse = 4,
  kCancel = 8,
  kReadinessQuery = 16,
  kReadiness = 32,
  kGoAway = 64
};
enum ResponseCode : std::uint8_t { kServed = 0, kRejected = 1, kFailed = 2 };
constexpr std::size_t kHeaderSize = 9, kMinFrameLength = 5, kMaxFrameLength = 262'144;
// A frame longer than allowed is still skipped, so that its stream can be told, up to this length.
constexpr std::size_t kMaxSkippedLength = 1u << 20;

struct Frame {
  std::uint8_t type = 0;
  std::uint32_t stream_id = 0;
  std::string_view payload;
};
// Of a whole header: its frame's type, stream and whole length in bytes.
std::size_t frame_length(std::string_view header, Frame& frame);
enum class ParseStatus { kIncomplete, kComplete, kOversized, kMalformed };
// Takes one frame off the front of `bytes`. Oversized: `used` is its whole length, type and stream are known.
ParseStatus parse_frame(std::string_view bytes, Frame& frame, std::size_t& used);

using Fields = std::map<std::string, std::string, std::less<>>;
// Reads the fields and leaves the body in `payload`; false if they can't be read or one comes twice.
bool parse_fields(std::string_view& payload, Fields& fields);

std::string encode_frame(std::uint8_t type, std::uint32_t stream, std::string_view payload);
std::string encode_response(std::uint32_t stream, ResponseCode code, const Fields& fields,
                            std::string_view body);

}  // namespace frames

class FramesFrontend final : public ResponseHandler {
 public:
  struct Limits {
    std::size_t max_connections = 400, max_open_requests = 32;
    std::size_t max_unread_bytes_per_connection =
        256 * 1024;  // bytes not taken by a client, over which we stop reading from it
    // For all connections together: frames that have begun and are larger than usual; answers not taken.
    std::size_t max_partial_frame_bytes = 4u << 20, max_unread_response_bytes = 8u << 20;
    Duration idle_timeout = std::chrono::seconds(60);
    // Who has not said a byte by then is closed; a frame is whole so long after its first byte. Clients write
    // one in up to 2 s, and bad ones are owed a close within 3 s of connecting.
    Duration first_request_timeout = std::chrono::milliseconds(2500),
             frame_timeout = std::chrono::milliseconds(2600);
  };
  // Accepts nothing until it is told to.
  // `gate`: identifies callers; without one nobody is told apart. `tls`: for every connection, from its first
  // byte.
  FramesFrontend(EventLoop& loop, Logger& log, Dispatcher& core, FileDescriptor listener, Limits limits,
                 auth::Authenticator* gate = nullptr,
                 std::shared_ptr<const tls::ServerContext> tls = nullptr);
  ~FramesFrontend();

  ResponseStatus on_response(std::uint64_t ticket, Response answer) override;
  // No longer ready: every connection is told; what still comes is served.
  void drain();
  // Keys, lists or rights have changed, and this is for new connections: those that are open are looked at
  // anew.
  void credentials_changed(std::shared_ptr<const tls::ServerContext> tls);
  // The process is about to end: nobody is accepted any more, and every connection ends in order, each once
  // what is open on it has its answers. A request that comes meanwhile is refused, one that comes behind our
  // end is left alone. Clients that don't end their side are closed after `bound`.
  void close_all_gracefully(Duration bound);
  bool has_connections() const { return connections_.size() > 0; }
  void set_accepting(bool accepting) { accepting ? acceptor_.start() : acceptor_.stop(); }
  // Other shares of what the dispatcher may hold; what is over them goes as others come.
  void set_resource_limits(std::size_t most_connections, std::size_t most_unfinished,
                           std::size_t most_untaken);
  // Nothing queued for a client, nor a token that waits to be checked; a request that is on its way in.
  bool is_flushed();
  bool is_receiving() const;
  std::uint16_t port() const { return acceptor_.port(); }

 private:
  class Connection;
  struct PendingRequest {
    SlotKey connection;
    std::uint32_t stream_id;
    RequestKey request;
    std::string call_id;
    auth::Authenticator::CheckId check = 0;  // its token waits to be checked
    std::size_t bytes_in_check = 0;          // bytes that are held meanwhile
  };
  void accept(FileDescriptor fd);
  void drop(SlotKey key);
  // Of the descriptors for clients this part is kept for connections on their way out: they end in order, and
  // meanwhile others have come.
  std::size_t max_closing() const { return std::max<std::size_t>(1, limits_.max_connections / 8); }
  bool is_full() const;
  void evict_idle_connection();
  void client_disconnected(SlotKey key);
  SlotKey eviction_candidate() const;  // of those that may go; 0: none
  std::optional<PendingRequest> take_pending_request(SlotKey key);
  void cancel_request(SlotKey ticket);  // its client waits no more
  void finish_check(PendingRequest& ticket);
  std::size_t pending_check_count() const;
  std::size_t unread_response_bytes() const;
  Connection* find(SlotKey key) const;

  EventLoop& loop_;
  Logger& log_;
  Dispatcher& dispatcher_;
  Limits limits_;
  auth::Authenticator* authenticator_;
  std::shared_ptr<const tls::ServerContext> tls_;
  std::unique_ptr<IncrementalScan> certificate_scan_;  // made when it is first needed
  SlotMap<std::unique_ptr<Connection>> connections_;
  SlotMap<PendingRequest> pending_requests_;
  std::vector<SlotKey> closing_;  // of the connections, the first to go first
  std::unordered_set<std::string> open_call_ids_;
  std::size_t bytes_in_check_ = 0;       // bytes of requests whose tokens wait to be checked
  std::size_t partial_frame_bytes_ = 0;  // announced lengths of large frames that have begun
  bool draining_ = false;
  Duration linger_timeout_ =
      std::chrono::milliseconds(300);  // for a client to end its side after we have ended ours
  Acceptor acceptor_;
};

}  // namespace rookproxy
