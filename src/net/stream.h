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

class StreamUser {
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
  ~StreamUser() = default;
};

class Stream final : private Watcher {
 public:
  // Names a piece that was written, so that one of which no byte has left can be taken back.
  using Ticket = std::uint64_t;
  static constexpr std::size_t kReadShare =
      64 * 1024;  // bytes a turn, so that one peer can't starve the others

  // `channel`: what the bytes pass through from the first one on; none: they pass as they are.
  Stream(Loop& loop, Fd fd, StreamUser& user, bool connecting, std::size_t input_limit,
         std::unique_ptr<Channel> channel = nullptr);
  ~Stream();
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  // `written` counts up once the last byte of it is with the kernel.
  Ticket write(std::string bytes, std::uint64_t* written = nullptr);
  // True if no byte of that piece had left: it is gone, and the peer never saw it.
  bool take_back(Ticket ticket);
  // Has a byte of it been handed to the kernel? From then on the peer may have seen it.
  bool has_begun(Ticket ticket) const { return ticket < first_unbegun_; }
  // From here on bytes pass through the channel, also those that have come and are not used up. Called from
  // within on_bytes, with nothing queued.
  void secure(std::unique_ptr<Channel> channel);
  const Channel* channel() const { return secured_ ? secured_->channel.get() : nullptr; }
  void close();
  // Nothing more is written after what is queued; the peer sees the end once that has left.
  void end_writing();
  // An end that takes nothing with it: what is queued still leaves, then the peer sees our end (a
  // half-close), and what it still sends is read and dropped, since a close over unread bytes resets the
  // connection and may take with it what was just written. Once the peer ends too, or after `bound`, the
  // stream closes and the user hears of that, and of nothing before. What is written from here on is dropped.
  void end_in_order(Duration bound);
  // What has come is handed to the user now, not in its turn: whoever is about to end the stream for its
  // silence looks once more.
  void read_now();
  // Stops reading (and so makes the peer wait), or goes on.
  void hold_reading(bool hold);
  // The user is ready for bytes that it left in the buffer.
  void look_again();
  bool is_open() const { return static_cast<bool>(fd_); }
  bool is_connected() const { return !connecting_; }
  std::size_t queued() const { return queued_ + (secured_ ? secured_->sealed.size() - secured_->sent : 0); }

 private:
  struct Piece {
    Ticket ticket;
    std::string bytes;
    std::uint64_t* written;
  };
  void on_ready(std::uint32_t events) override;
  void read_some();
  void deliver();
  void flush();
  void flush_secured();
  void take_in(std::string_view bytes);
  bool send_sealed();
  void fail(std::string why);
  void half_close();

  Loop& loop_;
  Fd fd_;
  StreamUser& user_;
  SlotKey key_ = 0;
  bool connecting_;
  bool held_ = false, ended_ = false, finishing_ = false;
  bool leaving_ = false;      // ending in order: nothing is handed to the user
  bool half_closed_ = false;  // the peer has been told our end
  bool peer_ended_ = false;   // and has told its own
  TimerKey leave_timer_{};
  std::size_t input_limit_;
  std::string input_;
  std::deque<Piece> output_;
  // What a channel needs; a stream without one has none of it.
  struct Secured {
    std::unique_ptr<Channel> channel;
    std::string sealed;  // on its way to the kernel
    std::size_t sent = 0;
    std::vector<std::uint64_t*> whole;  // counters of pieces whose last byte is in `sealed`
    bool said_end = false;
  };
  std::unique_ptr<Secured> secured_;
  std::size_t front_sent_ = 0, queued_ = 0;
  Ticket next_ = 1, first_unbegun_ = 1;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// Accepts until the kernel has no more, a fair share a turn, or until there is no `room`: then it asks again
// a little later, and who waits is kept by the kernel. When descriptors run out, it takes the connection on a
// descriptor kept in reserve and closes it, so that the peer is told and the listener does not spin.
class Acceptor final : private Watcher {
 public:
  Acceptor(Loop& loop, Fd listener, std::function<void(Fd)> taken, bool accepting = true,
           std::function<bool()> room = nullptr);
  ~Acceptor();
  // Stopped, it leaves what waits to whoever else holds the listening socket, or to a later start.
  void start();
  void stop();
  std::uint16_t port() const { return local_port(listener_); }

 private:
  void on_ready(std::uint32_t events) override;
  Loop& loop_;
  Fd listener_, reserve_;
  SlotKey key_ = 0;
  TimerKey retry_{};
  std::function<void(Fd)> taken_;
  std::function<bool()> room_;
};

}  // namespace rookproxy
