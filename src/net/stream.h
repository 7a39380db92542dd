// A buffered byte stream on a non-blocking socket.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "net/event_loop.h"
#include "net/file_descriptor.h"
#include "net/secure_channel.h"
#include "net/timer.h"

namespace rookproxy {

// Receives what happens on a stream. It is called on the loop's thread, may close the stream or write to it
// in any call, and must not destroy it there.
class StreamHandler {
 public:
  virtual void on_connected() {}
  // Bytes that have not been consumed, in order; returns how many are consumed now. Must consume something of
  // a full buffer.
  virtual std::size_t on_bytes(std::string_view bytes) = 0;
  // The stream has ended, by the peer or by an error. Not called after close().
  virtual void on_closed(std::string_view reason) = 0;
  // Everything that was queued has left.
  virtual void on_flushed() {}
  // The peer has ended its side or is gone, perhaps behind bytes that are still unread; also called while
  // reading is paused. Those bytes are handed over as usual, unless the handler closes the stream here.
  virtual void on_hangup() {}

 protected:
  ~StreamHandler() = default;
};

// Reads from and writes to one connected (or connecting) socket, which it owns. Belongs to the loop's thread;
// the loop and the handler must outlive it.
class Stream final : private EventHandler {
 public:
  // Identifies one write, so that it can be cancelled while none of its bytes has left.
  using WriteId = std::uint64_t;
  // What one peer may send in an iteration before others are served.
  static constexpr std::size_t kReadBytesPerIteration = 64 * 1024;

  // `connecting`: the socket's connection is still being set up. `input_limit`: the most bytes that are
  // buffered for the handler. `channel`: what the bytes pass through from the first one on; none: they pass
  // unchanged.
  Stream(EventLoop& loop, FileDescriptor socket, StreamHandler& handler, bool connecting,
         std::size_t input_limit, std::unique_ptr<SecureChannel> channel = nullptr);
  ~Stream();
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  // Queues the bytes. `completed_counter`, if there is one, is incremented once their last byte is with the
  // kernel; it must live until then.
  WriteId write(std::string bytes, std::uint64_t* completed_counter = nullptr);
  // True if no byte of that write had left: it is dropped, and the peer never saw any of it.
  bool cancel_write(WriteId id);
  // True once a byte of it was handed to the kernel (or to the channel): from then on the peer may have seen
  // it.
  [[nodiscard]] bool has_write_started(WriteId id) const { return id < first_unstarted_write_; }

  // From here on bytes pass through the channel, also those that have come and are not consumed. To be called
  // from within on_bytes(), with nothing queued.
  void install_channel(std::unique_ptr<SecureChannel> channel);
  // Null if there is none.
  [[nodiscard]] const SecureChannel* channel() const { return secure_ ? secure_->channel.get() : nullptr; }

  // Closes the socket at once.
  void close();
  // Ends this side once what is queued has left.
  void shutdown_write();
  // A lingering close, which loses nothing that was written: what is queued still leaves, then this side is
  // ended, and what the peer still sends is read and dropped, since closing a socket with unread bytes resets
  // the connection, which may discard what was just written. Once the peer ends its side too, or after
  // `timeout`, the stream closes and the handler is told so, and of nothing before. Later writes are dropped.
  void close_gracefully(Duration timeout);

  // Reads what has come at once, not at the stream's next event: for one last look before the stream is
  // closed as idle.
  void read_now();
  // Stops reading, which makes the peer wait, or goes on.
  void set_read_paused(bool paused);
  // Offers the handler in the next iteration what it left in the buffer.
  void schedule_read();

  [[nodiscard]] bool is_open() const { return static_cast<bool>(socket_); }
  [[nodiscard]] bool is_connected() const { return !connecting_; }
  // Bytes that wait for the kernel.
  [[nodiscard]] std::size_t queued_bytes() const {
    return queued_bytes_ + (secure_ ? secure_->encrypted.size() - secure_->sent : 0);
  }

 private:
  // Bytes that wait for the kernel, and the counter to increment once it has them.
  struct PendingWrite {
    WriteId id;
    std::string bytes;
    std::uint64_t* completed_counter;
  };
  // What a channel needs; a stream without one has none of it.
  struct SecureState {
    std::unique_ptr<SecureChannel> channel;
    std::string encrypted;  // on its way to the kernel
    std::size_t sent = 0;   // bytes of it that the kernel has
    // Of the writes whose last byte is in `encrypted`.
    std::vector<std::uint64_t*> completed_counters;
    bool close_notify_sent = false;
  };

  void on_ready(std::uint32_t events) override;
  bool finish_connecting(std::uint32_t events);
  void read_available();
  void take_chunk(std::string_view bytes);
  void on_read_end();
  void deliver_input();
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
  bool failed_ = false;
  bool write_shutdown_requested_ = false;
  bool closing_gracefully_ = false;  // nothing more is handed to the handler
  bool half_closed_ = false;         // the peer has been sent this side's end
  bool peer_closed_ = false;         // the peer has ended its side
  Timer close_timer_;
  std::size_t input_limit_;
  std::string input_;
  std::deque<PendingWrite> pending_writes_;
  std::unique_ptr<SecureState> secure_;
  std::size_t front_bytes_sent_ = 0;  // of the first pending write
  std::size_t queued_bytes_ = 0;
  WriteId next_write_id_ = 1;
  WriteId first_unstarted_write_ = 1;
  // False once this is destroyed: for deferred tasks.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace rookproxy
