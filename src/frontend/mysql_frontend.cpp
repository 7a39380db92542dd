#include "frontend/mysql_frontend.h"

#include <utility>

#include "frontend/mysql_connection.h"
#include "net/acceptor.h"
#include "net/event_loop.h"
#include "net/file_descriptor.h"
#include "net/slot_map.h"
#include "net/sockets.h"

namespace rookproxy {
namespace {

constexpr std::size_t kCallIdLength = 16;
constexpr std::size_t kBitsPerHexDigit = 4;
// An odd increment, so that the sequence visits all 64-bit numbers before it repeats.
constexpr std::uint64_t kCallIdStep = 0x9e3779b97f4a7c15ULL;

}  // namespace

MysqlFrontend::MysqlFrontend(EventLoop& loop, Logger& log, Dispatcher& dispatcher, TurnScheduler& turns,
                             FileDescriptor listener, MysqlFrontendConfig config, std::uint64_t seed,
                             auth::Authenticator* authenticator,
                             std::shared_ptr<const tls::ServerContext> tls, bool tls_required,
                             std::shared_ptr<policy::MemoryLedger> memory)
    : loop_(loop),
      log_(log),
      dispatcher_(dispatcher),
      turns_(turns),
      config_(std::move(config)),
      authenticator_(authenticator),
      tls_(std::move(tls)),
      tls_required_(tls_required),
      memory_(std::move(memory)),
      call_id_state_(seed ^ static_cast<std::uint64_t>(loop.now().time_since_epoch().count())),
      connections_(loop),
      port_(local_port(listener)),
      acceptor_(std::make_unique<Acceptor>(
          loop, std::move(listener), [this](FileDescriptor fd) { accept(std::move(fd)); }, false)) {}

MysqlFrontend::~MysqlFrontend() = default;

// Generates an id of 16 hex digits, like the ids of the frame protocol. Ids are unique within a process and
// unlikely to collide with those of other processes.
std::string MysqlFrontend::new_call_id() {
  call_id_state_ += kCallIdStep;
  std::string id;
  id.reserve(kCallIdLength);
  for (std::size_t digit = kCallIdLength; digit > 0; --digit) {
    id += "0123456789abcdef"[call_id_state_ >> (kBitsPerHexDigit * (digit - 1)) & 15];
  }
  return id;
}

// At the connection limit, evicts the oldest connection that has not logged in, so that silent clients can't
// lock out others. Returns false if none can be evicted.
bool MysqlFrontend::ensure_capacity() {
  if (connections_.size() < config_.max_connections) return true;
  const SlotKey oldest = connections_.eviction_candidate();
  if (oldest == 0) return false;
  Connection* connection = connections_.find(oldest);
  // A login may have arrived unread. Otherwise only the greeting was written, and its loss does no harm.
  connection->read_now();
  if (!connection->is_logged_in()) drop(oldest);
  return connections_.size() < config_.max_connections;
}

void MysqlFrontend::accept(FileDescriptor fd) {
  if (!ensure_capacity()) {
    // Sends the same error as a server, so that the client's library can report the reason.
    std::uint8_t sequence = 0;
    const std::string packet = mysql::split_into_packets(
        mysql::error_payload(mysql::kTooManyConnections, "Too many connections"), sequence);
    send_best_effort(fd, packet);
    return;
  }
  connections_.emplace(*this, std::move(fd));
}

// Cancels the client's open command immediately. Responses that were already written are still delivered.
void MysqlFrontend::client_disconnected(SlotKey key) {
  Connection* connection = connections_.find(key);
  if (!connection) return;
  connection->close_gracefully();
  if (const auto request = connection->take_open_request()) dispatcher_.cancel_request(*request);
}

void MysqlFrontend::drop(SlotKey key) {
  Connection* connection = connections_.find(key);
  if (!connection) return;
  if (const auto request = connection->take_open_request()) dispatcher_.cancel_request(*request);
  connection->close();
  connections_.remove(key);
}

ResponseStatus MysqlFrontend::on_response(std::uint64_t correlation_id, Response response) {
  Connection* connection = connections_.find(correlation_id);
  return connection ? connection->handle_response(std::move(response)) : response.status;
}

void MysqlFrontend::reload(MysqlFrontendConfig config) {
  config.listen = config_.listen;
  config_ = std::move(config);
}

void MysqlFrontend::update_tls_context(std::shared_ptr<const tls::ServerContext> tls) {
  tls_ = std::move(tls);
  if (tls_) connections_.recheck_certificates();
}

void MysqlFrontend::set_accepting(bool accepting) {
  if (!acceptor_) return;
  accepting ? acceptor_->start() : acceptor_->stop();
}

// Connections count what their clients have not read when they write; what clients have read since is found
// out only if the limit seems to be exceeded.
bool MysqlFrontend::has_too_many_unread_bytes() const {
  if (!memory_ || !memory_->is_exceeded(policy::MemoryUse::kUnreadResponses)) return false;
  connections_.update_unread_memory();
  return memory_->is_exceeded(policy::MemoryUse::kUnreadResponses);
}

void MysqlFrontend::close_after_next_response() {
  set_accepting(false);
  closing_after_response_ = true;
}

void MysqlFrontend::close_all_gracefully(Duration timeout) {
  linger_timeout_ = timeout;
  shutting_down_ = true;
  close_after_next_response();
  connections_.close_after_responses();
}

// The acceptor is destroyed in a deferred task, because the signal may arrive during one of its own calls.
void MysqlFrontend::stop_listening() {
  loop_.defer([this] { acceptor_.reset(); });
}

bool MysqlFrontend::is_flushed() const { return connections_.is_flushed(); }

}  // namespace rookproxy
