// The client side of TLS, for tests.
#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <string_view>

struct ssl_st;

namespace rookproxy::test {

// A TLS client that accepts any server certificate, because tests examine the server side. Not thread-safe.
class TlsClientSession {
 public:
  // Performs the handshake on a connected non-blocking socket, which must outlive the session. `certificate`
  // and `key` are in PEM, or empty for a client without a certificate. Throws std::runtime_error if the
  // handshake fails.
  TlsClientSession(int fd, const std::string& certificate, const std::string& key);

  // Sends all bytes. Returns false if the connection ends or is not writable within kWaitLimit.
  [[nodiscard]] bool send(std::string_view bytes);

  // Reads into `buffer`. Returns the number of bytes, 0 at the end of the stream or after an error, or -1 if
  // no data arrived within the time limit.
  [[nodiscard]] int read(char* buffer, int size, std::chrono::milliseconds within);

 private:
  void use_certificate(const std::string& certificate, const std::string& key);
  [[nodiscard]] bool wait_for_io(int outcome, std::chrono::milliseconds within);

  int fd_;
  std::shared_ptr<ssl_st> ssl_;
};

}  // namespace rookproxy::test
