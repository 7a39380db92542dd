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
constexpr std::size_t kUsualInput = 16 * 1024;
constexpr std::size_t kRecord = 16 * 1024;  // what a channel is given at once
constexpr int kAcceptShare = 16;            // connections a turn: what they sent is read before the next
constexpr Duration kNoRoom = std::chrono::milliseconds(5);
}  // namespace

Stream::Stream(Loop& loop, Fd fd, StreamUser& user, bool connecting, std::size_t input_limit,
               std::unique_ptr<Channel> channel)
    : loop_(loop), fd_(std::move(fd)), user_(user), connecting_(connecting), input_limit_(input_limit) {
  if (channel) secure(std::move(channel));
  key_ = loop_.watch(fd_.get(), *this);
  if (key_ == 0) fail("could not be watched");
}

Stream::~Stream() {
  *alive_ = false;
  close();
}

void Stream::secure(std::unique_ptr<Channel> channel) {
  secured_ = std::make_unique<Secured>();
  secured_->channel = std::move(channel);
}

void Stream::close() {
  loop_.cancel(leave_timer_);
  if (!fd_) return;
  loop_.unwatch(key_, fd_.get());
  fd_.reset();
}

// The user hears of a fault only at the turn's end: it may be in the middle of a write to this very stream.
void Stream::fail(std::string why) {
  if (ended_) return;
  ended_ = true;
  loop_.defer([this, alive = alive_, why = std::move(why)] {
    if (!*alive || !fd_) return;
    close();
    user_.on_closed(why);
  });
}

void Stream::end_writing() {
  finishing_ = true;
  flush();
}

// Once: shutdown() wakes whoever watches the socket, with an edge that says 'writable' for ever after, so one
// for each edge would keep the loop turning with no wait until the connection closes.
void Stream::half_close() {
  if (std::exchange(half_closed_, true)) return;
  ::shutdown(fd_.get(), SHUT_WR);
  if (peer_ended_) fail("closed by the peer");
}

void Stream::end_in_order(Duration bound) {
  if (!fd_ || ended_ || leaving_) return;
  if (connecting_) return fail("ended before it was connected");
  leaving_ = true;
  held_ = false;
  leave_timer_ = loop_.at(loop_.now() + bound, [this] {
    leave_timer_ = {};
    fail("the peer did not end in time");
  });
  end_writing();
  look_again();  // what came before is in the way of the peer's end
}

void Stream::read_now() {
  if (fd_ && !connecting_) read_some();
}

Stream::Ticket Stream::write(std::string bytes, std::uint64_t* written) {
  const Ticket ticket = next_++;
  if (leaving_) return ticket;
  queued_ += bytes.size();
  output_.push_back({ticket, std::move(bytes), written});
  if (!connecting_ && output_.size() == 1) flush();
  return ticket;
}

bool Stream::take_back(Ticket ticket) {
  if (has_begun(ticket)) return false;
  const auto found =
      std::find_if(output_.begin(), output_.end(), [&](const Piece& p) { return p.ticket == ticket; });
  if (found == output_.end()) return false;
  queued_ -= found->bytes.size();
  output_.erase(found);
  return true;
}

void Stream::hold_reading(bool hold) {
  if (leaving_) return;
  if (std::exchange(held_, hold) && !hold) look_again();
}

void Stream::look_again() {
  if (fd_) loop_.again(key_, EPOLLIN);
}

// Bytes from the socket go through the channel, and what it has to say goes out before anything else.
void Stream::take_in(std::string_view bytes) {
  const bool goes_on = secured_->channel->receive(bytes, input_, secured_->sealed);
  flush();
  if (!input_.empty() && !held_) deliver();
  if (!goes_on) fail(secured_->channel->why());
}

// False: the kernel takes no more for now, or the stream has failed.
bool Stream::send_sealed() {
  Secured& s = *secured_;
  while (s.sent < s.sealed.size()) {
    const ssize_t sent = ::send(fd_.get(), s.sealed.data() + s.sent, s.sealed.size() - s.sent, MSG_NOSIGNAL);
    if (sent < 0) {
      if (errno == EINTR) continue;
      if (errno != EAGAIN && errno != EWOULDBLOCK) fail(std::string("write: ") + std::strerror(errno));
      return false;
    }
    s.sent += static_cast<std::size_t>(sent);
  }
  s.sealed.clear();
  s.sent = 0;
  for (std::uint64_t* counter : std::exchange(s.whole, {})) ++*counter;
  return true;
}

// A piece has begun once the channel has some of it: from then on the peer may come to see it.
void Stream::flush_secured() {
  Secured& s = *secured_;
  std::string record;
  while (fd_ && !ended_ && send_sealed()) {
    if (!s.channel->is_ready()) {
      // A handshake that is cut short: what waits for its end could never be read.
      if (leaving_) half_close();
      return;
    }
    if (output_.empty()) {
      if (!finishing_) return;
      if (std::exchange(s.said_end, true)) return half_close();
      s.channel->finish(s.sealed);
      continue;
    }
    record.clear();
    while (!output_.empty() && record.size() < kRecord) {
      Piece& piece = output_.front();
      const std::size_t part = std::min(kRecord - record.size(), piece.bytes.size() - front_sent_);
      record.append(piece.bytes, front_sent_, part);
      front_sent_ += part;
      queued_ -= part;
      first_unbegun_ = piece.ticket + 1;
      if (front_sent_ < piece.bytes.size()) break;
      if (piece.written) s.whole.push_back(piece.written);
      output_.pop_front();
      front_sent_ = 0;
    }
    s.channel->seal(record, s.sealed);
  }
}

void Stream::flush() {
  if (secured_) return flush_secured();
  while (!output_.empty() && fd_ && !ended_) {
    iovec parts[32];
    int count = 0;
    for (auto& piece : output_) {
      if (count == static_cast<int>(std::size(parts))) break;
      const std::size_t skip = count == 0 ? front_sent_ : 0;
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
    queued_ -= static_cast<std::size_t>(sent);
    front_sent_ += static_cast<std::size_t>(sent);
    while (!output_.empty() && front_sent_ >= output_.front().bytes.size()) {
      front_sent_ -= output_.front().bytes.size();
      first_unbegun_ = output_.front().ticket + 1;
      if (output_.front().written) ++*output_.front().written;
      output_.pop_front();
    }
    if (front_sent_ > 0) first_unbegun_ = output_.front().ticket + 1;
  }
  if (finishing_ && output_.empty() && fd_ && !ended_) half_close();
}

void Stream::deliver() {
  // The user may close this stream, write to it or be called again through it; it must not be destroyed here.
  std::size_t used = 0;
  while (used < input_.size() && fd_ && !held_ && !leaving_) {
    const bool was_secured = secured_ != nullptr;
    const std::size_t now = user_.on_bytes(std::string_view(input_).substr(used));
    if (now == 0) break;
    used += now;
    if (secured_ && !was_secured) {
      // What came behind the word to go on in secret is no word of the user's, but the channel's.
      const std::string rest = std::exchange(input_, "").substr(used);
      return take_in(rest);
    }
  }
  if (leaving_) used = input_.size();
  input_.erase(0, used);
  // One large message must not keep its room for the connection's life.
  if (input_.empty() && input_.capacity() > 2 * kUsualInput) input_.shrink_to_fit();
}

void Stream::read_some() {
  if (!input_.empty() && !held_) deliver();
  for (std::size_t share = 0; fd_ && !held_ && !ended_;) {
    if (share >= kReadShare) return loop_.again(key_, EPOLLIN);
    if (input_.size() >= input_limit_) return fail("a message larger than the buffer");
    char chunk[16 * 1024];
    const std::size_t room = std::min(sizeof chunk, input_limit_ - input_.size());
    const ssize_t got = ::recv(fd_.get(), chunk, room, 0);
    if (got > 0) {
      share += static_cast<std::size_t>(got);
      if (leaving_) continue;
      if (secured_) {
        take_in({chunk, static_cast<std::size_t>(got)});
        continue;
      }
      input_.append(chunk, static_cast<std::size_t>(got));
      deliver();
      continue;
    }
    if (got == 0 && leaving_ && !half_closed_) {
      peer_ended_ = true;  // it may still take what is queued
      return;
    }
    // A channel that ended well has said so before.
    if (got == 0) return fail(secured_ ? "cut off by the peer" : "closed by the peer");
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
    if (secured_) take_in({});  // the one who connects speaks first
    user_.on_connected();
  }
  if (fd_ && !leaving_ && (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0) user_.on_hangup();
  if (fd_ && (events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0) read_some();
  if (fd_ && (events & EPOLLOUT) != 0) {
    flush();
    if (queued() == 0 && !ended_ && !leaving_) user_.on_flushed();
  }
}

Acceptor::Acceptor(Loop& loop, Fd listener, std::function<void(Fd)> taken, bool accepting,
                   std::function<bool()> room)
    : loop_(loop),
      listener_(std::move(listener)),
      reserve_(::open("/dev/null", O_RDONLY | O_CLOEXEC)),
      taken_(std::move(taken)),
      room_(std::move(room)) {
  if (accepting) start();
}

Acceptor::~Acceptor() { stop(); }

void Acceptor::start() {
  if (key_ != 0) return;
  key_ = loop_.watch(listener_.get(), *this);
  if (key_ == 0) throw std::system_error(errno, std::generic_category(), "watching a listener");
}

void Acceptor::stop() {
  loop_.cancel(retry_);
  loop_.unwatch(std::exchange(key_, 0), listener_.get());
}

void Acceptor::on_ready(std::uint32_t) {
  for (int taken = 0;; ++taken) {
    if (key_ == 0) return;  // stopped by what was just taken
    if (taken == kAcceptShare) return loop_.again(key_, EPOLLIN);
    if (room_ && !room_()) {
      loop_.cancel(retry_);
      retry_ = loop_.at(loop_.now() + kNoRoom, [this] { on_ready(EPOLLIN); });
      return;
    }
    Fd fd = accept_from(listener_);
    if (fd) {
      taken_(std::move(fd));
      continue;
    }
    if (errno == EINTR || errno == ECONNABORTED || errno == EPROTO) continue;
    if ((errno == EMFILE || errno == ENFILE) && reserve_) {
      reserve_.reset();
      accept_from(listener_).reset();
      reserve_ = Fd(::open("/dev/null", O_RDONLY | O_CLOEXEC));
      continue;
    }
    if (errno != EAGAIN && errno != EWOULDBLOCK) {
      // Out of descriptors with no reserve, or of kernel memory: no edge will come for what waits, so look
      // again.
      loop_.cancel(retry_);
      retry_ = loop_.at(loop_.now() + std::chrono::milliseconds(50), [this] { on_ready(EPOLLIN); });
    }
    return;
  }
}

}  // namespace rookproxy
