/// A blocking client connection for tests, in plain TCP or TLS.
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

/// A connection with a buffer for what was received. Every read has a time limit; false means that nothing
/// came within it. Owns its socket; for one thread.
class TestConnection {
 public:
  explicit TestConnection(FileDescriptor fd) : fd_(std::move(fd)) {}

  /// Starts to connect to a port of 127.0.0.1; a refused connection shows as one that has ended.
  static TestConnection connect(std::uint16_t port);

  /// Continues in TLS, with that client certificate in PEM if there is one. Throws std::runtime_error if the
  /// handshake fails.
  void start_tls(const std::string& certificate = "", const std::string& key = "");

  /// Sends all of it, unless the connection ends first.
  void send(std::string_view bytes);

  /// Reads what has come into the buffer; false at the end of the stream or of the time.
  bool read_more(std::chrono::milliseconds within = kWaitLimit);

  /// Reads until the buffer holds so many bytes; false at the end of the stream or of the time.
  [[nodiscard]] bool wait_for_bytes(std::size_t bytes, std::chrono::milliseconds within = kWaitLimit);

  /// Reads up to the end of the stream; false if a read finds nothing within the time.
  [[nodiscard]] bool wait_for_end(std::chrono::milliseconds within = kWaitLimit);

  [[nodiscard]] bool has_ended() const { return ended_; }
  [[nodiscard]] bool was_reset() const { return reset_; }

  /// Removes the first bytes from the buffer and returns them.
  std::string take(std::size_t bytes);

  /// What was received and not yet taken.
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

/// Reads one MySQL message from the connection; nothing if none came within kWaitLimit.
std::optional<mysql::Message> read_mysql_message(TestConnection& connection);

}  // namespace rookproxy::test
