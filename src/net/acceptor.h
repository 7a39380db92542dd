// Accepts the connections of a listening socket.
#pragma once

#include <cstdint>
#include <functional>

#include "net/event_loop.h"
#include "net/file_descriptor.h"
#include "net/sockets.h"
#include "net/timer.h"

namespace rookproxy {

// Accepts until the kernel has no more, up to a fair share an iteration, or until `has_capacity` says no:
// then it asks again a little later, and connections wait in the kernel. When descriptors run out, it accepts
// on a descriptor kept in reserve and closes the connection, so that the peer is told and the listener does
// not spin. Belongs to the loop's thread.
class Acceptor final : private EventHandler {
 public:
  // `on_accepted` gets each connection and may call stop(). Owns `listener`. Without `accepting` it waits for
  // start(). Without `has_capacity` there is always capacity.
  Acceptor(EventLoop& loop, FileDescriptor listener, std::function<void(FileDescriptor)> on_accepted,
           bool accepting = true, std::function<bool()> has_capacity = nullptr);
  ~Acceptor();
  Acceptor(const Acceptor&) = delete;
  Acceptor& operator=(const Acceptor&) = delete;

  // Throws std::system_error if the listener can't be watched.
  void start();
  // Leaves connections that wait to whoever else holds the listening socket, or to a later start().
  void stop();
  // The port of the listener.
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
