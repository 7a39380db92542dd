#include "net/stream.h"

#include <fcntl.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <system_error>

namespace rookproxy {
namespace {
constexpr std::size_t kUsualInputCapacity = 16 * 1024;
constexpr std::size_t kRecordSize = 16 * 1024;  // what a channel is given at once
constexpr int kAcceptsPerIteration = 16;        // connections a turn: what they sent is read before the next
constexpr Duration kCapacityRetryInterval = std::chrono::milliseconds(5);
}  // namespace

Stream::Stream(EventLoop& loop, FileDescriptor fd, StreamHandler& user, bool connecting,
               std::size_t input_limit, std::unique_ptr<SecureChannel> channel)
    : loop_(loop), fd_(std::move(fd)), handler_(user), connecting_(connecting), input_limit_(input_limit) {
  if (channel) install_channel(std::move(channel));
  key_ = loop_.watch(fd_.get(), *this);
  if (key_ == 0) fail("could not be watched");
}

Stream::~Stream() {
  *alive_ = false;
  close();
}

void Stream::install_channel(std::unique_ptr<SecureChannel> channel) {
  secure_ = std::make_unique<SecureState>();
  secure_->channel = std::move(channel);
}

void Stream::close() {
  loop_.cancel(close_timer_);
  if (!fd_) return;
  loop_.unwatch(key_, fd_.get());
  fd_.reset();
}

// The user hears of a fault only at the turn's end: it may be in the middle of a write to this very stream.
void Stream::fail(std::string why) {
  if (failed_) return;
  failed_ = true;
  loop_.defer([this, alive = alive_, why = std::move(why)] {
    if (!*alive || !fd_) return;
    close();
    handler_.on_closed(why);
  });
}

void Stream::shutdown_write() {
  write_shutdown_requested_ = true;
  flush();
}

// Once: shutdown() wakes whoever watches the socket, with an edge that says 'writable' for ever after, so one
// for each edge would keep the loop turning with no wait until the connection closes.
void Stream::half_close() {
  if (std::exchange(half_closed_, true)) return;
  ::shutdown(fd_.get(), SHUT_WR);
  if (peer_closed_) fail("closed by the peer");
}

void Stream::close_gracefully(Duration bound) {
  if (!fd_ || failed_ || closing_gracefully_) return;
  if (connecting_) return fail("ended before it was connected");
  closing_gracefully_ = true;
  read_paused_ = false;
  close_timer_ = loop_.run_at(loop_.now() + bound, [this] {
    close_timer_ = {};
    fail("the peer did not end in time");
  });
  shutdown_write();
  schedule_read();  // what came before is in the way of the peer's end
}

void Stream::read_now() {
  if (fd_ && !connecting_) read_available();
}

Stream::WriteId Stream::write(std::string bytes, std::uint64_t* written) {
  const WriteId ticket = next_write_id_++;
  if (closing_gracefully_) return ticket;
  queued_bytes_ += bytes.size();
  pending_writes_.push_back({ticket, std::move(bytes), written});
  if (!connecting_ && pending_writes_.size() == 1) flush();
  return ticket;
}

bool Stream::cancel_write(WriteId ticket) {
  if (has_write_started(ticket)) return false;
  const auto found = std::find_if(pending_writes_.begin(), pending_writes_.end(),
                                  [&](const PendingWrite& p) { return p.id == ticket; });
  if (found == pending_writes_.end()) return false;
  queued_bytes_ -= found->bytes.size();
  pending_writes_.erase(found);
  return true;
}

void Stream::set_read_paused(bool hold) {
  if (closing_gracefully_) return;
  if (std::exchange(read_paused_, hold) && !hold) schedule_read();
}

void Stream::schedule_read() {
  if (fd_) loop_.requeue(key_, EPOLLIN);
}

// Bytes from the socket go through the channel, and what it has to say goes out before anything else.
void Stream::receive_through_channel(std::string_view bytes) {
  const bool goes_on = secure_->channel->receive(bytes, input_, secure_->encrypted);
  flush();
  if (!input_.empty() && !read_paused_) deliver_input();
  if (!goes_on) fail(secure_->channel->end_reason());
}

// False: the kernel takes no more for now, or the stream has failed.
bool Stream::send_encrypted() {
  SecureState& s = *secure_;
  while (s.sent < s.encrypted.size()) {
    const ssize_t sent =
        ::send(fd_.get(), s.encrypted.data() + s.sent, s.encrypted.size() - s.sent, MSG_NOSIGNAL);
    if (sent < 0) {
      if (errno == EINTR) continue;
      if (errno != EAGAIN && errno != EWOULDBLOCK) fail(std::string("write: ") + std::strerror(errno));
      return false;
    }
    s.sent += static_cast<std::size_t>(sent);
  }
  s.encrypted.clear();
  s.sent = 0;
  for (std::uint64_t* counter : std::exchange(s.completed_counters, {})) ++*counter;
  return true;
}

// A piece has begun once the channel has some of it: from then on the peer may come to see it.
void Stream::flush_secured() {
  SecureState& s = *secure_;
  std::string record;
  while (fd_ && !failed_ && send_encrypted()) {
    if (!s.channel->is_handshake_complete()) {
      // A handshake that is cut short: what waits for its end could never be read.
      if (closing_gracefully_) half_close();
      return;
    }
    if (pending_writes_.empty()) {
      if (!write_shutdown_requested_) return;
      if (std::exchange(s.close_notify_sent, true)) return half_close();
      s.channel->finish(s.encrypted);
      continue;
    }
    record.clear();
    while (!pending_writes_.empty() && record.size() < kRecordSize) {
      PendingWrite& piece = pending_writes_.front();
      const std::size_t part = std::min(kRecordSize - record.size(), piece.bytes.size() - front_bytes_sent_);
      record.append(piece.bytes, front_bytes_sent_, part);
      front_bytes_sent_ += part;
      queued_bytes_ -= part;
      first_unstarted_write_ = piece.id + 1;
      if (front_bytes_sent_ < piece.bytes.size()) break;
      if (piece.completed_counter) s.completed_counters.push_back(piece.completed_counter);
      pending_writes_.pop_front();
      front_bytes_sent_ = 0;
    }
    s.channel->seal(record, s.encrypted);
  }
}

void Stream::flush() {
  if (secure_) return flush_secured();
  while (!pending_writes_.empty() && fd_ && !failed_) {
    iovec parts[32];
    int count = 0;
    for (auto& piece : pending_writes_) {
      if (count == static_cast<int>(std::size(parts))) break;
      const std::size_t skip = count == 0 ? front_bytes_sent_ : 0;
      parts[count++] = {piece.bytes.data() + skip, piece.bytes.size() - skip};
    }
    msghdr message{};
    message.msg_iov = parts;
    message.msg_iovlen = static_cast<std::size_t>(count);
    const ssize_t sent = ::sendmsg(fd_.get(), &message, MSG_NOSIGNAL);
    if (sent < 0) {
      if (errno == EINTR) continue;
      if (errno == EAGAIN || errno == EWOULDBLOCK) return;
      return fail(std::string("write: ") + std::strerror(errno));
    }
    queued_bytes_ -= static_cast<std::size_t>(sent);
    front_bytes_sent_ += static_cast<std::size_t>(sent);
    while (!pending_writes_.empty() && front_bytes_sent_ >= pending_writes_.front().bytes.size()) {
      front_bytes_sent_ -= pending_writes_.front().bytes.size();
      first_unstarted_write_ = pending_writes_.front().id + 1;
      if (pending_writes_.front().completed_counter) ++*pending_writes_.front().completed_counter;
      pending_writes_.pop_front();
    }
    if (front_bytes_sent_ > 0) first_unstarted_write_ = pending_writes_.front().id + 1;
  }
  if (write_shutdown_requested_ && pending_writes_.empty() && fd_ && !failed_) half_close();
}

void Stream::deliver_input() {
  // The user may close this stream, write to it or be called again through it; it must not be destroyed here.
  std::size_t used = 0;
  while (used < input_.size() && fd_ && !read_paused_ && !closing_gracefully_) {
    const bool was_secured = secure_ != nullptr;
    const std::size_t now = handler_.on_bytes(std::string_view(input_).substr(used));
    if (now == 0) break;
    used += now;
    if (secure_ && !was_secured) {
      // What came behind the word to go on in secret is no word of the user's, but the channel's.
      const std::string rest = std::exchange(input_, "").substr(used);
      return receive_through_channel(rest);
    }
  }
  if (closing_gracefully_) used = input_.size();
  input_.erase(0, used);
  // One large message must not keep its room for the connection's life.
  if (input_.empty() && input_.capacity() > 2 * kUsualInputCapacity) input_.shrink_to_fit();
}

void Stream::read_available() {
  if (!input_.empty() && !read_paused_) deliver_input();
  for (std::size_t share = 0; fd_ && !read_paused_ && !failed_;) {
    if (share >= kReadBytesPerIteration) return loop_.requeue(key_, EPOLLIN);
    if (input_.size() >= input_limit_) return fail("a message larger than the buffer");
    char chunk[16 * 1024];
    const std::size_t room = std::min(sizeof chunk, input_limit_ - input_.size());
    const ssize_t got = ::recv(fd_.get(), chunk, room, 0);
    if (got > 0) {
      share += static_cast<std::size_t>(got);
      if (closing_gracefully_) continue;
      if (secure_) {
        receive_through_channel({chunk, static_cast<std::size_t>(got)});
        continue;
      }
      input_.append(chunk, static_cast<std::size_t>(got));
      deliver_input();
      continue;
    }
    if (got == 0 && closing_gracefully_ && !half_closed_) {
      peer_closed_ = true;  // it may still take what is queued
      return;
    }
    // A channel that ended well has said so before.
    if (got == 0) return fail(secure_ ? "cut off by the peer" : "closed by the peer");
    if (errno == EINTR) continue;
    if (errno == EAGAIN || errno == EWOULDBLOCK) return;
    return fail(std::string("read: ") + std::strerror(errno));
  }
}

void Stream::on_ready(std::uint32_t events) {
  if (connecting_) {
    if ((events & (EPOLLOUT | EPOLLERR | EPOLLHUP)) == 0) return;
    int fault = 0;
    socklen_t size = sizeof fault;
    ::getsockopt(fd_.get(), SOL_SOCKET, SO_ERROR, &fault, &size);
    if (fault != 0) return fail(std::string("connect: ") + std::strerror(fault));
    if ((events & EPOLLOUT) == 0) return fail("connect: hung up");
    connecting_ = false;
    if (secure_) receive_through_channel({});  // the one who connects speaks first
    handler_.on_connected();
  }
  if (fd_ && !closing_gracefully_ && (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0) handler_.on_hangup();
  if (fd_ && (events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0) read_available();
  if (fd_ && (events & EPOLLOUT) != 0) {
    flush();
    if (queued_bytes() == 0 && !failed_ && !closing_gracefully_) handler_.on_flushed();
  }
}

namespace {
FileDescriptor open_reserve_descriptor() { return FileDescriptor(::open("/dev/null", O_RDONLY | O_CLOEXEC)); }
}  // namespace

Acceptor::Acceptor(EventLoop& loop, FileDescriptor listener, std::function<void(FileDescriptor)> taken,
                   bool accepting, std::function<bool()> room)
    : loop_(loop),
      listener_(std::move(listener)),
      reserve_descriptor_(open_reserve_descriptor()),
      on_accepted_(std::move(taken)),
      has_capacity_(std::move(room)) {
  if (accepting) start();
}

Acceptor::~Acceptor() { stop(); }

void Acceptor::start() {
  if (key_ != 0) return;
  key_ = loop_.watch(listener_.get(), *this);
  if (key_ == 0) throw std::system_error(errno, std::generic_category(), "watching a listener");
}

void Acceptor::stop() {
  loop_.cancel(retry_timer_);
  loop_.unwatch(std::exchange(key_, 0), listener_.get());
}

void Acceptor::on_ready(std::uint32_t) {
  // One that was lost (below) is had again before anybody is let in: else nobody would be told any more.
  if (!reserve_descriptor_) reserve_descriptor_ = open_reserve_descriptor();
  for (int taken = 0;; ++taken) {
    if (key_ == 0) return;  // stopped by what was just taken
    if (taken == kAcceptsPerIteration) return loop_.requeue(key_, EPOLLIN);
    if (has_capacity_ && !has_capacity_()) {
      loop_.cancel(retry_timer_);
      retry_timer_ = loop_.run_at(loop_.now() + kCapacityRetryInterval, [this] { on_ready(EPOLLIN); });
      return;
    }
    FileDescriptor fd = accept_connection(listener_);
    if (fd) {
      on_accepted_(std::move(fd));
      continue;
    }
    const int why = errno;
    if (why == EINTR || why == ECONNABORTED || why == EPROTO) continue;
    if ((why == EMFILE || why == ENFILE) && reserve_descriptor_) {
      reserve_descriptor_.reset();
      const bool told = static_cast<bool>(accept_connection(listener_));
      reserve_descriptor_ = open_reserve_descriptor();
      if (told) continue;  // else somebody else has what was the reserve's: no use to try on at once
    }
    if (why != EAGAIN && why != EWOULDBLOCK) {
      // Out of descriptors with no reserve, or of kernel memory: no edge will come for what waits, so look
      // again.
      loop_.cancel(retry_timer_);
      retry_timer_ = loop_.run_at(loop_.now() + std::chrono::milliseconds(50), [this] { on_ready(EPOLLIN); });
    }
    return;
  }
}

}  // namespace rookproxy
