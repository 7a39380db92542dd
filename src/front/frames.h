// The platform's front: binary frames over TCP (PROTOCOL, "Clients to dispatchers").
#pragma once

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "access/certificate.h"
#include "core/dispatcher.h"
#include "net/stream.h"
#include "net/sweep.h"

namespace rookproxy {

namespace frames {

enum Type : std::uint8_t {
  kRequest = 2,
  kAnswer = 4,
  kAbandon = 8,
  kIsReady = 16,
  kReady = 32,
  kGoAway = 64
};
enum Code : std::uint8_t { kServed = 0, kRefused = 1, kFailed = 2 };
constexpr std::size_t kHeader = 9, kLeastLength = 5, kMostLength = 262'144;
// A frame longer than allowed is still skipped, so that its stream can be told, up to this length.
constexpr std::size_t kMostSkipped = 1u << 20;

struct Frame {
  std::uint8_t type = 0;
  std::uint32_t stream = 0;
  std::string_view payload;
};
// Of a whole header: its frame's type, stream and whole length in bytes.
std::size_t frame_length(std::string_view header, Frame& frame);
enum class Parse { kMore, kOne, kOversized, kBroken };
// Takes one frame off the front of `bytes`. Oversized: `used` is its whole length, type and stream are known.
Parse parse_frame(std::string_view bytes, Frame& frame, std::size_t& used);

using Fields = std::map<std::string, std::string, std::less<>>;
// Reads the fields and leaves the body in `payload`; false if they can't be read or one comes twice.
bool parse_fields(std::string_view& payload, Fields& fields);

std::string make_frame(std::uint8_t type, std::uint32_t stream, std::string_view payload);
std::string make_answer(std::uint32_t stream, Code code, const Fields& fields, std::string_view body);

}  // namespace frames

class FramesFront final : public Asker {
 public:
  struct Limits {
    std::size_t most_connections = 400, most_open = 32;
    std::size_t most_queued = 256 * 1024;  // bytes not taken by a client, over which we stop reading from it
    // For all connections together: frames that have begun and are larger than usual; answers not taken.
    std::size_t most_unfinished = 4u << 20, most_untaken = 8u << 20;
    Duration idle = std::chrono::seconds(60);
    // Who has not said a byte by then is closed; a frame is whole so long after its first byte. Clients write
    // one in up to 2 s, and bad ones are owed a close within 3 s of connecting.
    Duration silence = std::chrono::milliseconds(2500), patience = std::chrono::milliseconds(2600);
  };
  // Accepts nothing until it is told to.
  // `gate`: identifies callers; without one nobody is told apart. `tls`: for every connection, from its first
  // byte.
  FramesFront(Loop& loop, Log& log, Dispatcher& core, Fd listener, Limits limits,
              access::Gatekeeper* gate = nullptr, std::shared_ptr<const tls::ServerContext> tls = nullptr);
  ~FramesFront();

  Verdict on_answer(std::uint64_t ticket, Answer answer) override;
  // No longer ready: every connection is told; what still comes is served.
  void drain();
  // Keys, lists or rights have changed, and this is for new connections: those that are open are looked at
  // anew.
  void credentials_changed(std::shared_ptr<const tls::ServerContext> tls);
  // The process is about to end: nobody is accepted any more, and every connection ends in order, each once
  // what is open on it has its answers. A request that comes meanwhile is refused, one that comes behind our
  // end is left alone. Clients that don't end their side are closed after `bound`.
  void end_all(Duration bound);
  bool has_connections() const { return connections_.size() > 0; }
  void accept_clients(bool accepting) { accepting ? acceptor_.start() : acceptor_.stop(); }
  // Other shares of what the dispatcher may hold; what is over them goes as others come.
  void resize(std::size_t most_connections, std::size_t most_unfinished, std::size_t most_untaken);
  // Nothing queued for a client, nor a token that waits to be checked; a request that is on its way in.
  bool is_flushed();
  bool is_receiving() const;
  std::uint16_t port() const { return acceptor_.port(); }

 private:
  class Connection;
  struct Ticket {
    SlotKey connection;
    std::uint32_t stream;
    RequestKey request;
    std::string call;
    access::Gatekeeper::CheckKey check = 0;  // its token waits to be checked
    std::size_t checking = 0;                // bytes that are held meanwhile
  };
  void accept(Fd fd);
  void drop(SlotKey key);
  // Of the descriptors for clients this part is kept for connections on their way out: they end in order, and
  // meanwhile others have come.
  std::size_t most_ending() const { return std::max<std::size_t>(1, limits_.most_connections / 8); }
  bool is_full() const;
  void evict();
  void client_gone(SlotKey key);
  SlotKey next_to_evict() const;  // of those that may go; 0: none
  std::optional<Ticket> take_ticket(SlotKey key);
  void give_up(SlotKey ticket);  // its client waits no more
  void end_check(Ticket& ticket);
  std::size_t checks_open() const;
  std::size_t untaken() const;
  Connection* find(SlotKey key) const;

  Loop& loop_;
  Log& log_;
  Dispatcher& core_;
  Limits limits_;
  access::Gatekeeper* gate_;
  std::shared_ptr<const tls::ServerContext> tls_;
  std::unique_ptr<Sweep> sweep_;  // made when it is first needed
  SlotTable<std::unique_ptr<Connection>> connections_;
  SlotTable<Ticket> tickets_;
  std::vector<SlotKey> ending_;  // of the connections, the first to go first
  std::unordered_set<std::string> open_calls_;
  std::size_t checking_ = 0;    // bytes of requests whose tokens wait to be checked
  std::size_t unfinished_ = 0;  // announced lengths of large frames that have begun
  bool draining_ = false;
  Duration linger_ = std::chrono::milliseconds(300);  // for a client to end its side after we have ended ours
  Acceptor acceptor_;
};

}  // namespace rookproxy
