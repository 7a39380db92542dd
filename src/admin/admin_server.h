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

// Accepts connections of operators. Used by the event loop's thread alone; the source must outlive it.
class AdminServer {
 public:
  // Bounds on what its clients may take.
  struct Limits {
    // At the limit the oldest connection is closed: clients that hold theirs open must not shut others out.
    std::size_t max_clients = 16;
    // Of a command line.
    std::size_t max_command_bytes = 256;
    // For the command, and for the response to be read.
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
