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

constexpr std::size_t kInputBufferSize = 16 * 1024;
constexpr std::size_t kReadChunkSize = 16 * 1024;
// The maximum number of bytes that a channel encrypts at a time.
constexpr std::size_t kMaxRecordSize = 16 * 1024;
constexpr std::size_t kPartsPerCall = 32;
// The size up to which batched bytes are stored together, and above which they are sent at once.
constexpr std::size_t kMaxBatchSize = 16 * 1024;

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
  if (key_ == 0) fail("cannot register the socket with epoll");
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

// Reports the error in a deferred task, because the handler may be in the middle of a write to this stream.
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

// Calls shutdown() only once. Each call causes another write event, so calling it for every write event would
// keep the event loop busy until the connection closes.
void Stream::half_close() {
  if (std::exchange(half_closed_, true)) return;
  ::shutdown(socket_.get(), SHUT_WR);
  if (peer_closed_) fail("closed by the peer");
}

void Stream::close_gracefully(Duration timeout) {
  if (!socket_ || failed_ || closing_gracefully_) return;
  if (connecting_) return fail("closed before the connection was established");
  closing_gracefully_ = true;
  read_paused_ = false;
  close_timer_.set(loop_.now() + timeout, [this] {
    close_timer_.mark_as_run();
    fail("the peer did not close its side in time");
  });
  shutdown_write();
  schedule_read();  // The end of the peer's data follows any unread bytes.
}

void Stream::read_now() {
  const EventLoop::TurnLimit limit(loop_);
  on_input_turn();
}

void Stream::on_input_turn() {
  if (socket_ && !connecting_) read_available();
}

std::string_view Stream::PendingWrite::part_at(std::size_t offset) const {
  if (offset < head.size()) return std::string_view{head}.substr(offset);
  return body.bytes.substr(offset - head.size());
}

Stream::WriteId Stream::write(std::string head, SharedBytes body, std::uint64_t* completed_counter) {
  const WriteId id = next_write_id_++;
  if (closing_gracefully_) return id;
  queued_bytes_ += head.size() + body.bytes.size();
  PendingWrite& pending = pending_writes_.emplace_back();
  pending.id = id;
  pending.head = std::move(head);
  pending.body = std::move(body);
  pending.completed_counter = completed_counter;
  if (!connecting_ && pending_writes_.size() == 1) flush();
  return id;
}

void Stream::write_batched(std::string bytes) {
  if (closing_gracefully_) return;
  queued_bytes_ += bytes.size();
  const bool is_first = pending_writes_.empty();
  if (!is_first && pending_writes_.back().is_batch &&
      pending_writes_.back().head.size() + bytes.size() <= kMaxBatchSize) {
    pending_writes_.back().head += bytes;
  } else {
    PendingWrite& pending = pending_writes_.emplace_back();
    pending.id = next_write_id_++;
    pending.head = std::move(bytes);
    pending.is_batch = true;
  }
  const bool sends_now = delivering_input_ ? queued_bytes_ >= kMaxBatchSize : is_first;
  if (sends_now && !connecting_ && !write_blocked_) flush();
}

bool Stream::cancel_write(WriteId id) {
  if (has_write_started(id)) return false;
  const auto found = std::find_if(pending_writes_.begin(), pending_writes_.end(),
                                  [&](const PendingWrite& pending) { return pending.id == id; });
  if (found == pending_writes_.end()) return false;
  queued_bytes_ -= found->size();
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

// Passes received bytes through the channel. Bytes that the channel has to send are sent before any other
// output.
void Stream::receive_through_channel(std::string_view bytes) {
  const bool channel_is_open = secure_->channel->receive(bytes, input_, secure_->encrypted);
  flush();
  if (!input_.empty() && !read_paused_) deliver_input();
  if (!channel_is_open) fail(secure_->channel->end_reason());
}

// Returns false if the kernel's buffer is full or the stream has failed.
bool Stream::send_encrypted() {
  SecureState& state = *secure_;
  while (state.sent < state.encrypted.size()) {
    const ssize_t sent = ::send(socket_.get(), state.encrypted.data() + state.sent,
                                state.encrypted.size() - state.sent, MSG_NOSIGNAL);
    if (sent < 0) {
      if (errno == EINTR) continue;
      write_blocked_ = would_block(errno);
      if (!write_blocked_) fail(std::string("write: ") + std::strerror(errno));
      return false;
    }
    state.sent += static_cast<std::size_t>(sent);
  }
  state.encrypted.clear();
  state.sent = 0;
  for (std::uint64_t* counter : std::exchange(state.completed_counters, {})) ++*counter;
  return true;
}

// Moves the next queued bytes into `record`. A write has started once the channel has received some of its
// bytes, because the peer may receive them from then on.
void Stream::fill_record(std::string& record) {
  record.clear();
  while (!pending_writes_.empty() && record.size() < kMaxRecordSize) {
    PendingWrite& front = pending_writes_.front();
    const std::string_view part = front.part_at(front_bytes_sent_).substr(0, kMaxRecordSize - record.size());
    record += part;
    front_bytes_sent_ += part.size();
    queued_bytes_ -= part.size();
    first_unstarted_write_ = front.id + 1;
    if (front_bytes_sent_ < front.size()) continue;
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
      // Queued bytes can't be sent without a complete handshake.
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

// Removes the bytes that the kernel has accepted from the front of the queue.
void Stream::remove_sent(std::size_t bytes) {
  queued_bytes_ -= bytes;
  front_bytes_sent_ += bytes;
  while (!pending_writes_.empty() && front_bytes_sent_ >= pending_writes_.front().size()) {
    PendingWrite& front = pending_writes_.front();
    front_bytes_sent_ -= front.size();
    first_unstarted_write_ = front.id + 1;
    if (front.completed_counter) ++*front.completed_counter;
    pending_writes_.pop_front();
  }
  if (front_bytes_sent_ > 0) first_unstarted_write_ = pending_writes_.front().id + 1;
}

// Sends the first pending writes with one system call. Returns false if the kernel's buffer is full or the
// stream has failed.
bool Stream::send_pending() {
  iovec parts[kPartsPerCall];
  std::size_t count = 0;
  std::size_t offset = front_bytes_sent_;
  for (auto pending = pending_writes_.begin(); pending != pending_writes_.end() && count < kPartsPerCall;) {
    const std::string_view part = pending->part_at(offset);
    // The kernel doesn't change what it sends.
    parts[count++] = {const_cast<char*>(part.data()), part.size()};
    offset += part.size();
    if (offset < pending->size()) continue;
    ++pending;
    offset = 0;
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
  write_blocked_ = would_block(errno);
  if (!write_blocked_) fail(std::string("write: ") + std::strerror(errno));
  return false;
}

void Stream::flush() {
  if (secure_) return flush_secure();
  while (!pending_writes_.empty() && socket_ && !failed_) {
    if (!send_pending()) return;
  }
  if (write_shutdown_requested_ && pending_writes_.empty() && socket_ && !failed_) half_close();
}

void Stream::deliver_input() {
  const bool is_nested = std::exchange(delivering_input_, true);
  pass_input_to_handler();
  delivering_input_ = is_nested;
  if (!is_nested && socket_ && !connecting_ && !write_blocked_) flush();
}

// The handler may close this stream, write to it, or be called again through it, but must not destroy it.
void Stream::pass_input_to_handler() {
  std::size_t consumed = 0;
  while (consumed < input_.size() && socket_ && !read_paused_ && !closing_gracefully_) {
    const bool was_secure = secure_ != nullptr;
    const std::size_t consumed_now = handler_.on_bytes(std::string_view{input_}.substr(consumed));
    if (consumed_now == 0) break;
    consumed += consumed_now;
    // read_available() continues in the next turn.
    if (consumed < input_.size() && loop_.is_turn_over()) break;
    if (secure_ && !was_secure) {
      // The handler installed a channel; the remaining bytes belong to it.
      const std::string remaining = std::exchange(input_, "").substr(consumed);
      return receive_through_channel(remaining);
    }
  }
  if (closing_gracefully_) consumed = input_.size();
  input_.erase(0, consumed);
  // Releases the memory of a large message, also if a part of the next one has followed it.
  const bool is_large_unused = input_.capacity() > 2 * kInputBufferSize && input_.size() <= kInputBufferSize;
  if (consumed > 0 && is_large_unused) input_.shrink_to_fit();
}

void Stream::handle_received_bytes(std::string_view bytes) {
  if (closing_gracefully_) return;
  if (secure_) return receive_through_channel(bytes);
  input_.append(bytes);
  deliver_input();
}

void Stream::on_end_of_stream() {
  if (closing_gracefully_ && !half_closed_) {
    peer_closed_ = true;  // The peer may still read queued bytes.
    return;
  }
  // A channel that was closed properly has already failed the stream with its own reason.
  fail(secure_ ? "closed by the peer without ending the secure channel" : "closed by the peer");
}

void Stream::read_available() {
  const bool had_input = !input_.empty() && !read_paused_;
  if (had_input) deliver_input();
  std::size_t bytes_read = 0;
  while (socket_ && !read_paused_ && !failed_) {
    const bool has_used_turn = (had_input || bytes_read > 0) && loop_.is_turn_over();
    if (has_used_turn || bytes_read >= kReadBytesPerIteration) return loop_.requeue(key_, EPOLLIN);
    if (input_.size() >= input_limit_) return fail("message larger than the input buffer");
    char chunk[kReadChunkSize];
    const std::size_t capacity = std::min(sizeof chunk, input_limit_ - input_.size());
    const ssize_t received = ::recv(socket_.get(), chunk, capacity, 0);
    if (received == 0) return on_end_of_stream();
    if (received < 0) {
      if (errno == EINTR) continue;
      if (!would_block(errno)) fail(std::string("read: ") + std::strerror(errno));
      return;
    }
    const std::string_view bytes(chunk, static_cast<std::size_t>(received));
    bytes_read += bytes.size();
    handle_received_bytes(bytes);
  }
}

// Returns false if the connection is not established yet or has failed.
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
    fail("connect: the peer hung up");
    return false;
  }
  connecting_ = false;
  // The connecting side starts the handshake.
  if (secure_) receive_through_channel({});
  handler_.on_connected();
  return true;
}

void Stream::on_ready(std::uint32_t events) {
  constexpr std::uint32_t kHangUpEvents = EPOLLRDHUP | EPOLLHUP | EPOLLERR;
  if (connecting_ && !finish_connecting(events)) return;
  if (socket_ && !closing_gracefully_ && (events & kHangUpEvents) != 0) handler_.on_hangup();
  if (socket_ && (events & (EPOLLIN | kHangUpEvents)) != 0) loop_.schedule_input(key_);
  if (socket_ && (events & EPOLLOUT) != 0) {
    write_blocked_ = false;
    flush();
    if (queued_bytes() == 0 && !failed_ && !closing_gracefully_) handler_.on_flushed();
  }
}

}  // namespace rookproxy
