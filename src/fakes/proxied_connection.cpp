#include "fakes/proxied_connection.h"

#include <sys/epoll.h>
#include <sys/socket.h>

#include <cerrno>

#include "fakes/sockets.h"
#include "net/event_loop.h"
#include "net/file_descriptor.h"
#include "net/sockets.h"

namespace rookproxy::test {
namespace {

constexpr std::size_t kMaxBufferedBytes = 1 << 20;  // per direction; reading stops at this limit
constexpr std::size_t kMaxBytesReadPerIteration = 256 * 1024;
constexpr std::size_t kReadSize = 16 * 1024;

bool would_block() { return errno == EAGAIN || errno == EWOULDBLOCK; }

}  // namespace

ProxiedConnection::ProxiedConnection(EventLoop& loop, LinkRules& rules, std::uint64_t id, const Route& route,
                                     FileDescriptor client_fd)
    : loop_(loop), rules_(rules), id_(id), route_(route) {
  client_.node = route.client;
  target_.node = route.target;
  attach(client_, std::move(client_fd));
}

ProxiedConnection::~ProxiedConnection() {
  for (Side* side : {&client_, &target_}) {
    if (side->resume) loop_.cancel(*side->resume);
  }
}

void ProxiedConnection::attach(Side& side, FileDescriptor fd) {
  side.fd = std::move(fd);
  side.callback = std::make_unique<FdCallback>(loop_, side.fd.get(), [this] { forward_bytes(); });
}

bool ProxiedConnection::connect_target() {
  FileDescriptor fd = connect_tcp(route_.target_address);
  if (!fd) return false;
  attach(target_, std::move(fd));
  return true;
}

void ProxiedConnection::forward_bytes() {
  if (is_closed_) return;
  if (!target_.fd) {
    // A partition hides the connection attempt from the target.
    if (rules_.rule_for(client_.node, target_.node).is_partitioned) return;
    if (!connect_target()) return close(true);
  }
  forward_bytes_from(client_, target_);
  if (!is_closed_) forward_bytes_from(target_, client_);
  if (client_.is_write_closed && target_.is_write_closed) close(false);
}

void ProxiedConnection::forward_bytes_from(Side& source, Side& sink) {
  if (rules_.rule_for(source.node, sink.node).is_partitioned) return;
  read_available(source, sink);
  if (!is_closed_) send_due_segments(source, sink);
}

void ProxiedConnection::read_available(Side& source, const Side& sink) {
  const LinkRule& rule = rules_.rule_for(source.node, sink.node);
  LinkDirection& direction = rules_.direction(source.node, sink.node);
  std::size_t bytes_read = 0;
  while (!source.is_read_closed && source.queued_bytes < kMaxBufferedBytes) {
    if (bytes_read >= kMaxBytesReadPerIteration) return source.callback->requeue(EPOLLIN);
    std::array<char, kReadSize> chunk;
    const ssize_t received = ::recv(source.fd.get(), chunk.data(), chunk.size(), 0);
    if (received < 0 && errno == EINTR) continue;
    if (received < 0 && would_block()) return;
    if (received < 0) return close(true);
    const auto size = static_cast<std::size_t>(received);
    source.queue.push_back({loop_.now() + direction.draw_delay(rule), std::string(chunk.data(), size)});
    source.queued_bytes += size;
    bytes_read += size;
    source.is_read_closed = received == 0;
  }
}

void ProxiedConnection::send_due_segments(Side& source, Side& sink) {
  while (!source.queue.empty()) {
    const Segment& segment = source.queue.front();
    if (segment.due_at > loop_.now()) return resume_at(source, segment.due_at);
    if (segment.bytes.empty()) {
      ::shutdown(sink.fd.get(), SHUT_WR);
      source.is_write_closed = true;
      return source.queue.pop_front();
    }
    if (!send_first_segment(source, sink)) return;
  }
}

// Sends as much of the first segment as the sink accepts. Returns false if it accepts no more or the
// connection has closed.
bool ProxiedConnection::send_first_segment(Side& source, Side& sink) {
  const std::string& bytes = source.queue.front().bytes;
  const std::size_t offset = source.bytes_sent_of_first_segment;
  const ssize_t sent = ::send(sink.fd.get(), bytes.data() + offset, bytes.size() - offset, MSG_NOSIGNAL);
  if (sent < 0 && errno == EINTR) return true;
  if (sent < 0 && would_block()) return false;
  if (sent < 0) {
    close(true);
    return false;
  }
  const auto size = static_cast<std::size_t>(sent);
  rules_.direction(source.node, sink.node).statistics.bytes_forwarded += size;
  source.queued_bytes -= size;
  source.bytes_sent_of_first_segment += size;
  if (source.bytes_sent_of_first_segment < bytes.size()) return true;
  source.bytes_sent_of_first_segment = 0;
  source.queue.pop_front();
  // The buffer may have room again, which an edge-triggered descriptor does not report.
  if (!source.is_read_closed) source.callback->requeue(EPOLLIN);
  return true;
}

void ProxiedConnection::resume_at(Side& source, Time due_at) {
  if (source.resume) return;
  source.resume = loop_.run_at(due_at, [this, &source] {
    source.resume.reset();
    forward_bytes();
  });
}

void ProxiedConnection::close(bool by_reset) {
  if (is_closed_) return;
  is_closed_ = true;
  for (Side* side : {&client_, &target_}) {
    if (side->callback) side->callback->stop();
    if (side->fd && by_reset) set_reset_on_close(side->fd);
    side->fd.reset();
  }
  rules_.on_connection_closed(id_);
}

}  // namespace rookproxy::test
