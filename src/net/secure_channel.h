// The interface of an encryption layer, such as TLS, between a stream and its socket.
#pragma once

#include <string>
#include <string_view>

namespace rookproxy {

// Converts between plain and encrypted bytes, without any I/O.
class SecureChannel {
 public:
  virtual ~SecureChannel() = default;

  // Processes bytes received from the socket. The side that starts the handshake first calls it with no
  // bytes. Appends decrypted bytes to `plain` and bytes to send to `out`. Returns false if the channel has
  // ended, for the reason that end_reason() returns; `out` may still contain a last record to send.
  [[nodiscard]] virtual bool receive(std::string_view bytes, std::string& plain, std::string& out) = 0;
  // Encrypts plain bytes and appends the result to `out`. The handshake must be complete.
  virtual void seal(std::string_view plain, std::string& out) = 0;
  // Appends the closing message of this side, by which the peer detects truncation.
  virtual void finish(std::string& out) = 0;
  [[nodiscard]] virtual bool is_handshake_complete() const = 0;
  [[nodiscard]] virtual std::string end_reason() const = 0;
};

}  // namespace rookproxy
