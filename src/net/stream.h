// A buffered byte stream on a non-blocking socket, and the acceptor that makes them.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "net/channel.h"
#include "net/loop.h"

namespace rookproxy {

class StreamHandler {
 public:
  virtual void on_connected() {}
  // Bytes not yet used up, in order; returns how many are used up now. Must use up something of a full
  // buffer.
  virtual std::size_t on_bytes(std::string_view bytes) = 0;
  // The stream has ended, by the peer or by a fault. Not called after close().
  virtual void on_closed(std::string_view why) = 0;
  // What was queued has left.
  virtual void on_flushed() {}
  // The peer has ended its side or is gone, perhaps behind bytes that are still unread, also while reading is
  // held. Those bytes are handed over as usual, unless the user ends the stream here.
  virtual void on_hangup() {}

 protected:
  ~StreamHandler() = default;
};

class Stream final : private EventHandler {
 public:
  // Names a piece that was written, so that one of which no byte has left can be taken back.
  using WriteId = std::uint64_t;
  static constexpr std::size_t kReadBytesPerIteration =
      64 * 1024;  // bytes a turn, so that one peer can't starve the others

  // `channel`: what the bytes pass through from the first one on; none: they pass as they are.
  Stream(EventLoop& loop, FileDescriptor fd, StreamHandler& user, bool connecting, std::size_t input_limit,
         std::unique_ptr<SecureChannel> channel = nullptr);
  ~Stream();
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  // `written` counts up once the last byte of it is with the kernel.
  WriteId write(std::string bytes, std::uint64_t* written = nullptr);
  // True if no byte of that piece had left: it is gone, and the peer never saw it.
  bool cancel_write(WriteId ticket);
  // Has a byte of it been handed to the kernel? From then on the peer may have seen it.
  bool has_write_started(WriteId ticket) const { return ticket < first_unstarted_write_; }
  // From here on bytes pass through the channel, also those that have come and are not used up. Called from
  // within on_bytes, with nothing queued.
  void install_channel(std::unique_ptr<SecureChannel> channel);
  const SecureChannel* channel() const { return secure_ ? secure_->channel.get() : nullptr; }
  void close();
  // Nothing more is written after what is queued; the peer sees the end once that has left.
  void shutdown_write();
  // An end that takes nothing with it: what is queued still leaves, then the peer sees our end (a
  // half-close), and what it still sends is read and dropped, since a close over unread bytes resets the
  // connection and may take with it what was just written. Once the peer ends too, or after `bound`, the
  // stream closes and the user hears of that, and of nothing before. What is written from here on is dropped.
  void close_gracefully(Duration bound);
  // What has come is handed to the user now, not in its turn: whoever is about to end the stream for its
  // silence looks once more.
  void read_now();
  // Stops reading (and so makes the peer wait), or goes on.
  void set_read_paused(bool hold);
  // The user is ready for bytes that it left in the buffer.
  void schedule_read();
  bool is_open() const { return static_cast<bool>(fd_); }
  bool is_connected() const { return !connecting_; }
  std::size_t queued_bytes() const {
    return queued_bytes_ + (secure_ ? secure_->encrypted.size() - secure_->sent : 0);
  }

 private:
  struct PendingWrite {
    WriteId id;
    std::string bytes;
    std::uint64_t* completed_counter;
  };
  void on_ready(std::uint32_t events) override;
  void read_available();
  void deliver_input();
  void flush();
  void flush_secured();
  void receive_through_channel(std::string_view bytes);
  bool send_encrypted();
  void fail(std::string why);
  void half_close();

  EventLoop& loop_;
  FileDescriptor fd_;
  StreamHandler& handler_;
  SlotKey key_ = 0;
  bool connecting_;
  bool read_paused_ = false, failed_ = false, write_shutdown_requested_ = false;
  bool closing_gracefully_ = false;  // ending in order: nothing is handed to the user
  bool half_closed_ = false;         // the peer has been told our end
  bool peer_closed_ = false;         // and has told its own
  TimerId close_timer_{};
  std::size_t input_limit_;
  std::string input_;
  std::deque<PendingWrite> pending_writes_;
  // What a channel needs; a stream without one has none of it.
  struct SecureState {
    std::unique_ptr<SecureChannel> channel;
    std::string encrypted;  // on its way to the kernel
    std::size_t sent = 0;
    std::vector<std::uint64_t*> completed_counters;  // counters of pieces whose last byte is in `sealed`
    bool close_notify_sent = false;
  };
  std::unique_ptr<SecureState> secure_;
  std::size_t front_bytes_sent_ = 0, queued_bytes_ = 0;
  WriteId next_write_id_ = 1, first_unstarted_write_ = 1;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// Accepts until the kernel has no more, a fair share a turn, or until there is no `room`: then it asks again
// a little later, and who waits is kept by the kernel. When descriptors run out, it takes the connection on a
// descriptor kept in reserve and closes it, so that the peer is told and the listener does not spin.
class Acceptor final : private EventHandler {
 public:
  Acceptor(EventLoop& loop, FileDescriptor listener, std::function<void(FileDescriptor)> taken,
           bool accepting = true, std::function<bool()> room = nullptr);
  ~Acceptor();
  // Stopped, it leaves what waits to whoever else holds the listening socket, or to a later start.
  void start();
  void stop();
  std::uint16_t port() const { return local_port(listener_); }

 private:
  void on_ready(std::uint32_t events) override;
  EventLoop& loop_;
  FileDescriptor listener_, reserve_descriptor_;
  SlotKey key_ = 0;
  TimerId retry_timer_{};
  std::function<void(FileDescriptor)> on_accepted_;
  std::function<bool()> has_capacity_;
};

}  // namespace rookproxy
