// Accepts connections on a listening socket.
#pragma once

#include <cstdint>
#include <functional>

#include "net/event_loop.h"
#include "net/file_descriptor.h"
#include "net/sockets.h"
#include "net/timer.h"

namespace rookproxy {

// Accepts connections until none is pending, the limit per iteration is reached, or `has_capacity` returns
// false; it then retries after a short interval, and connections wait in the kernel. When descriptors run
// out, it uses a reserve descriptor to accept and close a connection, so that the peer is notified and the
// event loop does not spin. Must be used on the event loop's thread.
class Acceptor final : private EventHandler {
 public:
  // Takes ownership of `listener`. `on_accepted` receives each connection and may call stop(). If `accepting`
  // is false, no connection is accepted before start(). Without `has_capacity` the capacity is unlimited.
  Acceptor(EventLoop& loop, FileDescriptor listener, std::function<void(FileDescriptor)> on_accepted,
           bool accepting = true, std::function<bool()> has_capacity = nullptr);
  ~Acceptor();
  Acceptor(const Acceptor&) = delete;
  Acceptor& operator=(const Acceptor&) = delete;

  // Throws std::system_error if the listening socket can't be registered with epoll.
  void start();
  // Stops accepting. Pending connections are left to other processes that hold the listening socket, or to a
  // later start().
  void stop();
  // Returns the port of the listening socket.
  [[nodiscard]] std::uint16_t port() const { return local_port(listener_); }

 private:
  void on_ready(std::uint32_t events) override;
  bool handle_accept_error(int error);
  bool reject_with_reserve();
  void retry_after(Duration interval);

  EventLoop& loop_;
  FileDescriptor listener_;
  FileDescriptor reserve_descriptor_;
  SlotKey key_ = 0;
  Timer retry_timer_;
  std::function<void(FileDescriptor)> on_accepted_;
  std::function<bool()> has_capacity_;
};

}  // namespace rookproxy
