#include "net/stream.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <iterator>
#include <utility>

namespace rookproxy {
namespace {

constexpr std::size_t kUsualInputCapacity = 16 * 1024;
constexpr std::size_t kReadChunkSize = 16 * 1024;
constexpr std::size_t kRecordSize = 16 * 1024;  // the most that a channel is given at once
constexpr std::size_t kWritesPerCall = 32;

bool would_block(int error) { return error == EAGAIN || error == EWOULDBLOCK; }

}  // namespace

Stream::Stream(EventLoop& loop, FileDescriptor socket, StreamHandler& handler, bool connecting,
               std::size_t input_limit, std::unique_ptr<SecureChannel> channel)
    : loop_(loop),
      socket_(std::move(socket)),
      handler_(handler),
      connecting_(connecting),
      close_timer_(loop),
      input_limit_(input_limit) {
  if (channel) install_channel(std::move(channel));
  key_ = loop_.watch(socket_.get(), *this);
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
  close_timer_.cancel();
  if (!socket_) return;
  loop_.unwatch(key_, socket_.get());
  socket_.reset();
}

// The handler is told of an error only at the iteration's end: it may be in the middle of a write to this
// very stream.
void Stream::fail(std::string reason) {
  if (failed_) return;
  failed_ = true;
  loop_.defer([this, alive = alive_, reason = std::move(reason)] {
    if (!*alive || !socket_) return;
    close();
    handler_.on_closed(reason);
  });
}

void Stream::shutdown_write() {
  write_shutdown_requested_ = true;
  flush();
}

// Only once: after shutdown() the socket reports itself writable, and each further shutdown() makes another
// such edge, so that one for each edge would keep the loop from waiting until the connection closes.
void Stream::half_close() {
  if (std::exchange(half_closed_, true)) return;
  ::shutdown(socket_.get(), SHUT_WR);
  if (peer_closed_) fail("closed by the peer");
}

void Stream::close_gracefully(Duration timeout) {
  if (!socket_ || failed_ || closing_gracefully_) return;
  if (connecting_) return fail("ended before it was connected");
  closing_gracefully_ = true;
  read_paused_ = false;
  close_timer_.set(loop_.now() + timeout, [this] {
    close_timer_.mark_as_run();
    fail("the peer did not end in time");
  });
  shutdown_write();
  schedule_read();  // the peer's end is behind whatever came before
}

void Stream::read_now() {
  if (socket_ && !connecting_) read_available();
}

Stream::WriteId Stream::write(std::string bytes, std::uint64_t* completed_counter) {
  const WriteId id = next_write_id_++;
  if (closing_gracefully_) return id;
  queued_bytes_ += bytes.size();
  pending_writes_.push_back({id, std::move(bytes), completed_counter});
  if (!connecting_ && pending_writes_.size() == 1) flush();
  return id;
}

bool Stream::cancel_write(WriteId id) {
  if (has_write_started(id)) return false;
  const auto found = std::find_if(pending_writes_.begin(), pending_writes_.end(),
                                  [&](const PendingWrite& pending) { return pending.id == id; });
  if (found == pending_writes_.end()) return false;
  queued_bytes_ -= found->bytes.size();
  pending_writes_.erase(found);
  return true;
}

void Stream::set_read_paused(bool paused) {
  if (closing_gracefully_) return;
  if (std::exchange(read_paused_, paused) && !paused) schedule_read();
}

void Stream::schedule_read() {
  if (socket_) loop_.requeue(key_, EPOLLIN);
}

// Bytes from the socket go through the channel, and what it has to send goes out before anything else.
void Stream::receive_through_channel(std::string_view bytes) {
  const bool goes_on = secure_->channel->receive(bytes, input_, secure_->encrypted);
  flush();
  if (!input_.empty() && !read_paused_) deliver_input();
  if (!goes_on) fail(secure_->channel->end_reason());
}

// False: the kernel takes no more for now, or the stream has failed.
bool Stream::send_encrypted() {
  SecureState& state = *secure_;
  while (state.sent < state.encrypted.size()) {
    const ssize_t sent = ::send(socket_.get(), state.encrypted.data() + state.sent,
                                state.encrypted.size() - state.sent, MSG_NOSIGNAL);
    if (sent < 0) {
      if (errno == EINTR) continue;
      if (!would_block(errno)) fail(std::string("write: ") + std::strerror(errno));
      return false;
    }
    state.sent += static_cast<std::size_t>(sent);
  }
  state.encrypted.clear();
  state.sent = 0;
  for (std::uint64_t* counter : std::exchange(state.completed_counters, {})) ++*counter;
  return true;
}

// Moves the next bytes from the queue into `record`. A write has started once the channel has some of it:
// from then on the peer may come to see it.
void Stream::fill_record(std::string& record) {
  record.clear();
  while (!pending_writes_.empty() && record.size() < kRecordSize) {
    PendingWrite& front = pending_writes_.front();
    const std::size_t part = std::min(kRecordSize - record.size(), front.bytes.size() - front_bytes_sent_);
    record.append(front.bytes, front_bytes_sent_, part);
    front_bytes_sent_ += part;
    queued_bytes_ -= part;
    first_unstarted_write_ = front.id + 1;
    if (front_bytes_sent_ < front.bytes.size()) break;
    if (front.completed_counter) secure_->completed_counters.push_back(front.completed_counter);
    pending_writes_.pop_front();
    front_bytes_sent_ = 0;
  }
}

void Stream::flush_secure() {
  SecureState& state = *secure_;
  std::string record;
  while (socket_ && !failed_ && send_encrypted()) {
    if (!state.channel->is_handshake_complete()) {
      // What waits for the end of a handshake that is cut short could never be read.
      if (closing_gracefully_) half_close();
      return;
    }
    if (pending_writes_.empty()) {
      if (!write_shutdown_requested_) return;
      if (std::exchange(state.close_notify_sent, true)) return half_close();
      state.channel->finish(state.encrypted);
      continue;
    }
    fill_record(record);
    state.channel->seal(record, state.encrypted);
  }
}

// Removes what the kernel has taken from the front of the queue.
void Stream::remove_sent(std::size_t bytes) {
  queued_bytes_ -= bytes;
  front_bytes_sent_ += bytes;
  while (!pending_writes_.empty() && front_bytes_sent_ >= pending_writes_.front().bytes.size()) {
    PendingWrite& front = pending_writes_.front();
    front_bytes_sent_ -= front.bytes.size();
    first_unstarted_write_ = front.id + 1;
    if (front.completed_counter) ++*front.completed_counter;
    pending_writes_.pop_front();
  }
  if (front_bytes_sent_ > 0) first_unstarted_write_ = pending_writes_.front().id + 1;
}

// One call to the kernel with the first pending writes. False: it takes no more for now, or the stream has
// failed.
bool Stream::send_pending() {
  iovec parts[kWritesPerCall];
  std::size_t count = 0;
  for (auto& pending : pending_writes_) {
    if (count == kWritesPerCall) break;
    const std::size_t skip = count == 0 ? front_bytes_sent_ : 0;
    parts[count] = {pending.bytes.data() + skip, pending.bytes.size() - skip};
    ++count;
  }
  msghdr message{};
  message.msg_iov = parts;
  message.msg_iovlen = count;
  const ssize_t sent = ::sendmsg(socket_.get(), &message, MSG_NOSIGNAL);
  if (sent >= 0) {
    remove_sent(static_cast<std::size_t>(sent));
    return true;
  }
  if (errno == EINTR) return true;
  if (!would_block(errno)) fail(std::string("write: ") + std::strerror(errno));
  return false;
}

void Stream::flush() {
  if (secure_) return flush_secure();
  while (!pending_writes_.empty() && socket_ && !failed_) {
    if (!send_pending()) return;
  }
  if (write_shutdown_requested_ && pending_writes_.empty() && socket_ && !failed_) half_close();
}

// The handler may close this stream, write to it or be called again through it; it must not destroy it here.
void Stream::deliver_input() {
  std::size_t consumed = 0;
  while (consumed < input_.size() && socket_ && !read_paused_ && !closing_gracefully_) {
    const bool was_secure = secure_ != nullptr;
    const std::size_t consumed_now = handler_.on_bytes(std::string_view(input_).substr(consumed));
    if (consumed_now == 0) break;
    consumed += consumed_now;
    if (secure_ && !was_secure) {
      // The handler installed a channel: the bytes behind what it has consumed are the channel's.
      const std::string remaining = std::exchange(input_, "").substr(consumed);
      return receive_through_channel(remaining);
    }
  }
  if (closing_gracefully_) consumed = input_.size();
  input_.erase(0, consumed);
  // One large message must not keep its memory for the connection's life.
  if (input_.empty() && input_.capacity() > 2 * kUsualInputCapacity) input_.shrink_to_fit();
}

void Stream::take_chunk(std::string_view bytes) {
  if (closing_gracefully_) return;
  if (secure_) return receive_through_channel(bytes);
  input_.append(bytes);
  deliver_input();
}

void Stream::on_read_end() {
  if (closing_gracefully_ && !half_closed_) {
    peer_closed_ = true;  // it may still take what is queued
    return;
  }
  // A channel that was ended properly has failed the stream already, with a reason of its own.
  fail(secure_ ? "cut off by the peer" : "closed by the peer");
}

void Stream::read_available() {
  if (!input_.empty() && !read_paused_) deliver_input();
  std::size_t bytes_read = 0;
  while (socket_ && !read_paused_ && !failed_) {
    if (bytes_read >= kReadBytesPerIteration) return loop_.requeue(key_, EPOLLIN);
    if (input_.size() >= input_limit_) return fail("a message larger than the buffer");
    char chunk[kReadChunkSize];
    const std::size_t capacity = std::min(sizeof chunk, input_limit_ - input_.size());
    const ssize_t received = ::recv(socket_.get(), chunk, capacity, 0);
    if (received == 0) return on_read_end();
    if (received < 0) {
      if (errno == EINTR) continue;
      if (!would_block(errno)) fail(std::string("read: ") + std::strerror(errno));
      return;
    }
    const std::string_view bytes(chunk, static_cast<std::size_t>(received));
    bytes_read += bytes.size();
    take_chunk(bytes);
  }
}

// False: the connection is not set up yet, or has failed.
bool Stream::finish_connecting(std::uint32_t events) {
  if ((events & (EPOLLOUT | EPOLLERR | EPOLLHUP)) == 0) return false;
  int error = 0;
  socklen_t size = sizeof error;
  ::getsockopt(socket_.get(), SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0) {
    fail(std::string("connect: ") + std::strerror(error));
    return false;
  }
  if ((events & EPOLLOUT) == 0) {
    fail("connect: hung up");
    return false;
  }
  connecting_ = false;
  if (secure_) receive_through_channel({});  // the side that connects speaks first
  handler_.on_connected();
  return true;
}

void Stream::on_ready(std::uint32_t events) {
  constexpr std::uint32_t kHangUpEvents = EPOLLRDHUP | EPOLLHUP | EPOLLERR;
  if (connecting_ && !finish_connecting(events)) return;
  if (socket_ && !closing_gracefully_ && (events & kHangUpEvents) != 0) handler_.on_hangup();
  if (socket_ && (events & (EPOLLIN | kHangUpEvents)) != 0) read_available();
  if (socket_ && (events & EPOLLOUT) != 0) {
    flush();
    if (queued_bytes() == 0 && !failed_ && !closing_gracefully_) handler_.on_flushed();
  }
}

}  // namespace rookproxy
