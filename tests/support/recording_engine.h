/// An engine that keeps all that reaches it, for tests that decide in which order events happen.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "fakes/sockets.h"
#include "fakes/test_connection.h"
#include "net/file_descriptor.h"
#include "net/socket_address.h"
#include "net/sockets.h"
#include "support/accept_queue_filler.h"

namespace rookproxy::test {

/// Listens on 127.0.0.1 and sends what the test says, in the line protocol. For one thread.
class RecordingEngine {
 public:
  [[nodiscard]] const SocketAddress& address() const { return address_; }
  [[nodiscard]] const FileDescriptor& listener() const { return listener_; }
  [[nodiscard]] std::size_t connection_count() const { return connections_.size(); }
  /// A connection waits to be accepted.
  [[nodiscard]] bool has_waiting_connection() const { return wait_until_readable(listener_, {}); }

  /// The kernel drops attempts to connect, and clients try again a second later.
  void block_connects() { accept_queue_.fill(listener_); }
  void unblock_connects();

  void add_connection(TestConnection connection) { connections_.push_back(std::move(connection)); }

  /// Accepts and reads whatever has come.
  void read_all();

  /// The ids of all requests that have reached it, connection by connection.
  std::vector<std::string> ids();
  bool has(const std::string& id);
  /// So many requests, and no more, have reached it.
  bool has_requests(std::size_t count) { return ids().size() == count; }

  /// The connection on which a request came; throws std::runtime_error if none did.
  TestConnection& connection_of(const std::string& id);

  /// Sends the body "ok\n" for the request.
  void serve(const std::string& id);
  /// Resets the request's connection.
  void reset(const std::string& id);

 private:
  FileDescriptor listener_ = listen_on_free_port();
  SocketAddress address_{kLoopbackAddress, local_port(listener_)};
  std::vector<TestConnection> connections_;
  AcceptQueueFiller accept_queue_;
};

}  // namespace rookproxy::test
