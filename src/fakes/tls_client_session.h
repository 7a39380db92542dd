/// The connecting side of TLS, for test clients.
#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <string_view>

struct ssl_st;

namespace rookproxy::test {

/// A TLS client that accepts any server certificate: what is tested is the server's side. For one thread.
class TlsClientSession {
 public:
  /// Does the handshake on a connected non-blocking socket, which has to live longer; `certificate` and `key`
  /// are PEM, or empty for a client without a certificate. Throws std::runtime_error if the handshake fails.
  TlsClientSession(int fd, const std::string& certificate, const std::string& key);

  /// Sends all of it; false if the connection ends or takes nothing for too long.
  [[nodiscard]] bool send(std::string_view bytes);

  /// Reads into `buffer`: the count of bytes, 0 at the end of the stream or after an error, -1 if nothing
  /// came within the time.
  [[nodiscard]] int read(char* buffer, int size, std::chrono::milliseconds within);

 private:
  void use_certificate(const std::string& certificate, const std::string& key);
  [[nodiscard]] bool wait_for_io(int outcome, std::chrono::milliseconds within);

  int fd_;
  std::shared_ptr<ssl_st> ssl_;
};

}  // namespace rookproxy::test
