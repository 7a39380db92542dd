// The admin address: each connection sends one command line and gets the response.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>

#include "admin/admin_source.h"
#include "net/acceptor.h"
#include "net/event_loop.h"
#include "net/file_descriptor.h"
#include "net/slot_map.h"
#include "net/stream.h"

namespace rookproxy {

// Accepts connections of operators. Used only on the event loop's thread; the source must outlive it.
class AdminServer {
 public:
  // Limits on the resources that clients may use.
  struct Limits {
    // At the limit, the oldest connection is closed, so that idle connections can't lock out other clients.
    std::size_t max_clients = 16;
    // The length of a command line.
    std::size_t max_command_bytes = 256;
    // The time for receiving the command and sending the response.
    Duration timeout = std::chrono::seconds(5);
  };

  AdminServer(EventLoop& loop, FileDescriptor listener, const AdminSource& source, Limits limits);
  ~AdminServer();

  [[nodiscard]] std::uint16_t port() const { return acceptor_.port(); }

 private:
  class Client;

  void accept(FileDescriptor fd);
  void close_client(SlotKey key);

  EventLoop& loop_;
  const AdminSource& source_;
  Limits limits_;
  SlotMap<std::unique_ptr<Client>> clients_;
  Acceptor acceptor_;
};

}  // namespace rookproxy
