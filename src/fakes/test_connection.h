// A blocking client connection for tests, in plain TCP or TLS.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "fakes/sockets.h"
#include "fakes/tls_client_session.h"
#include "mysql/protocol.h"
#include "net/file_descriptor.h"
#include "net/socket_address.h"
#include "net/sockets.h"

namespace rookproxy::test {

// A connection with a receive buffer. Every read has a time limit, and false means that no data arrived
// within it. Owns its socket. Not thread-safe.
class TestConnection {
 public:
  explicit TestConnection(FileDescriptor fd) : fd_(std::move(fd)) {}

  // Starts connecting to a port on 127.0.0.1. A refused connection appears as one that has ended.
  static TestConnection connect(std::uint16_t port);

  // Switches to TLS, with the client certificate in PEM if one is given. Throws std::runtime_error if the
  // handshake fails.
  void start_tls(const std::string& certificate = "", const std::string& key = "");

  // Sends all bytes unless the connection ends first.
  void send(std::string_view bytes);

  // Reads available data into the buffer. Returns false at the end of the stream or after the time limit.
  bool read_more(std::chrono::milliseconds within = kWaitLimit);

  // Reads until the buffer holds at least `bytes` bytes. Returns false at the end of the stream or after the
  // time limit.
  [[nodiscard]] bool wait_for_bytes(std::size_t bytes, std::chrono::milliseconds within = kWaitLimit);

  // Reads up to the end of the stream. Returns false if no data arrives within the time limit.
  [[nodiscard]] bool wait_for_end(std::chrono::milliseconds within = kWaitLimit);

  [[nodiscard]] bool has_ended() const { return ended_; }
  [[nodiscard]] bool was_reset() const { return reset_; }

  // Removes the first bytes from the buffer and returns them.
  std::string take(std::size_t bytes);

  // Returns the received data that was not taken yet.
  std::string& buffer() { return buffer_; }
  [[nodiscard]] const FileDescriptor& fd() const { return fd_; }
  void close() { fd_.reset(); }

 private:
  bool read_more_tls(std::chrono::milliseconds within);

  FileDescriptor fd_;
  std::unique_ptr<TlsClientSession> tls_;
  std::string buffer_;
  bool ended_ = false;
  bool reset_ = false;
};

// Reads one MySQL message from the connection. Returns nothing if no data arrives within kWaitLimit.
std::optional<mysql::Message> read_mysql_message(TestConnection& connection);

}  // namespace rookproxy::test
