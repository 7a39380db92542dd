// A buffered byte stream on a non-blocking socket.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "net/event_loop.h"
#include "net/file_descriptor.h"
#include "net/secure_channel.h"
#include "net/timer.h"

namespace rookproxy {

// Bytes that are written without being copied. The owner keeps them alive and unchanged.
struct SharedBytes {
  std::shared_ptr<const void> owner;
  std::string_view bytes;
};

// Receives the events of a stream on the event loop's thread. It may close the stream or write to it in any
// call, but must not destroy it.
class StreamHandler {
 public:
  virtual void on_connected() {}
  // Receives the unconsumed bytes in order and returns how many it consumed. Must consume bytes if the buffer
  // is full.
  virtual std::size_t on_bytes(std::string_view bytes) = 0;
  // Called when the peer has closed the stream or an error occurred, but not after close().
  virtual void on_closed(std::string_view reason) = 0;
  // Called when the kernel has accepted all queued bytes.
  virtual void on_flushed() {}
  // Called when the peer has closed its side or the connection, even while reading is paused. Unread bytes
  // are delivered afterwards unless the handler closes the stream in this call.
  virtual void on_hangup() {}

 protected:
  ~StreamHandler() = default;
};

// Reads from and writes to a connected or connecting socket, which it owns. Must be used on the event loop's
// thread; the loop and the handler must outlive it.
class Stream final : private EventHandler {
 public:
  // Identifies a write, so that it can be cancelled before any of its bytes is sent.
  using WriteId = std::uint64_t;
  // The number of bytes after which reading is interrupted until the next iteration, even if the turn is not
  // over.
  static constexpr std::size_t kReadBytesPerIteration = 64 * 1024;

  // `connecting` is true if the connection is still being established. `input_limit` is the maximum number of
  // bytes that are buffered for the handler. If `channel` is not null, all bytes pass through it.
  Stream(EventLoop& loop, FileDescriptor socket, StreamHandler& handler, bool connecting,
         std::size_t input_limit, std::unique_ptr<SecureChannel> channel = nullptr);
  ~Stream();
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  // Queues the bytes. `completed_counter`, if not null, is incremented once the kernel has accepted the last
  // byte; it must live until then.
  WriteId write(std::string bytes, std::uint64_t* completed_counter = nullptr) {
    return write(std::move(bytes), {}, completed_counter);
  }
  // Queues the bytes of `head` and `body` as one write.
  WriteId write(std::string head, SharedBytes body, std::uint64_t* completed_counter = nullptr);
  // Queues bytes that need no id. Small ones are stored together, and those that the handler writes while it
  // handles input are sent together afterwards.
  void write_batched(std::string bytes);
  // Cancels a write of which no byte was sent. Returns false if it has started or is unknown.
  bool cancel_write(WriteId id);
  // Returns true once a byte of the write was passed to the kernel or to the channel: the peer may have
  // received it.
  [[nodiscard]] bool has_write_started(WriteId id) const { return id < first_unstarted_write_; }

  // Makes all further bytes pass through the channel, including received bytes that are not consumed. Must be
  // called from within on_bytes(), with no bytes queued.
  void install_channel(std::unique_ptr<SecureChannel> channel);
  // Returns null if there is no channel.
  [[nodiscard]] const SecureChannel* channel() const { return secure_ ? secure_->channel.get() : nullptr; }

  // Closes the socket immediately.
  void close();
  // Shuts down this side once all queued bytes are sent.
  void shutdown_write();
  // Closes the stream without losing written data. Sends the queued bytes and shuts down this side. Until the
  // peer closes its side, received bytes are read and discarded, because closing a socket with unread bytes
  // resets the connection and may discard sent data. Then, or after `timeout`, the stream closes and calls
  // on_closed(); no other callback is called before. Later writes are discarded.
  void close_gracefully(Duration timeout);

  // Reads available bytes immediately instead of at the next event, for no longer than a turn. Used to check
  // for input before a stream is closed as idle.
  void read_now();
  // Pauses or resumes reading. While reading is paused, the peer's data stays in the kernel's buffer.
  void set_read_paused(bool paused);
  // Makes room for `bytes` unconsumed bytes, so that the buffer takes no more than that. Invalidates the view
  // that was passed to the handler.
  void reserve_input(std::size_t bytes) { input_.reserve(bytes); }
  // Passes the remaining bytes in the buffer to the handler again in the next iteration.
  void schedule_read();

  [[nodiscard]] bool is_open() const { return static_cast<bool>(socket_); }
  [[nodiscard]] bool is_connected() const { return !connecting_; }
  // Returns the number of bytes that the kernel has not accepted yet.
  [[nodiscard]] std::size_t queued_bytes() const {
    return queued_bytes_ + (secure_ ? secure_->encrypted.size() - secure_->sent : 0);
  }

 private:
  // Queued bytes, and the counter to increment once the kernel has accepted them.
  struct PendingWrite {
    WriteId id = 0;
    std::string head;
    SharedBytes body;
    std::uint64_t* completed_counter = nullptr;
    // True if further batched bytes may be appended to `head`.
    bool is_batch = false;

    [[nodiscard]] std::size_t size() const { return head.size() + body.bytes.size(); }
    // Returns the part of the bytes that begins at `offset` and is contiguous in memory.
    [[nodiscard]] std::string_view part_at(std::size_t offset) const;
  };
  // The state of the channel, which exists only if there is one.
  struct SecureState {
    std::unique_ptr<SecureChannel> channel;
    // Encrypted bytes to send.
    std::string encrypted;
    // The number of bytes of `encrypted` that the kernel has accepted.
    std::size_t sent = 0;
    // The counters of the writes whose last byte is in `encrypted`.
    std::vector<std::uint64_t*> completed_counters;
    bool close_notify_sent = false;
  };

  void on_ready(std::uint32_t events) override;
  void on_input_turn() override;
  bool finish_connecting(std::uint32_t events);
  void read_available();
  void handle_received_bytes(std::string_view bytes);
  void on_end_of_stream();
  void deliver_input();
  void pass_input_to_handler();
  void receive_through_channel(std::string_view bytes);
  void flush();
  bool send_pending();
  void remove_sent(std::size_t bytes);
  void flush_secure();
  bool send_encrypted();
  void fill_record(std::string& record);
  void fail(std::string reason);
  void half_close();

  EventLoop& loop_;
  FileDescriptor socket_;
  StreamHandler& handler_;
  SlotKey key_ = 0;
  bool connecting_;
  bool read_paused_ = false;
  // True while the handler handles input.
  bool delivering_input_ = false;
  // True if the kernel accepts no more bytes until it reports that it does.
  bool write_blocked_ = false;
  bool failed_ = false;
  bool write_shutdown_requested_ = false;
  // True after close_gracefully(); received bytes are no longer passed to the handler.
  bool closing_gracefully_ = false;
  // True once this side was shut down.
  bool half_closed_ = false;
  // True once the peer has closed its side.
  bool peer_closed_ = false;
  Timer close_timer_;
  std::size_t input_limit_;
  std::string input_;
  std::deque<PendingWrite> pending_writes_;
  std::unique_ptr<SecureState> secure_;
  // The number of bytes of the first pending write that were sent.
  std::size_t front_bytes_sent_ = 0;
  std::size_t queued_bytes_ = 0;
  WriteId next_write_id_ = 1;
  WriteId first_unstarted_write_ = 1;
  // Deferred tasks check this flag, which is false once the stream is destroyed.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace rookproxy
