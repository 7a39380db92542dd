// What may stand between a stream's bytes and its socket's, as TLS does.
#pragma once

#include <string>
#include <string_view>

namespace rookproxy {

// Translates between plain bytes and those on the wire. It does no I/O of its own.
class SecureChannel {
 public:
  virtual ~SecureChannel() = default;

  // Takes bytes as they came from the socket; none at first, where this side speaks first. Appends what they
  // decrypt to to `plain`, and what has to be sent to `out`. False: the channel has ended, for the reason
  // that end_reason() gives; `out` may still hold a last record to send.
  [[nodiscard]] virtual bool receive(std::string_view bytes, std::string& plain, std::string& out) = 0;
  // Encrypts plain bytes and appends the result to `out`; only once the handshake is done.
  virtual void seal(std::string_view plain, std::string& out) = 0;
  // Appends the announcement of this side's end, by which the peer knows that nothing was cut off.
  virtual void finish(std::string& out) = 0;
  [[nodiscard]] virtual bool is_handshake_complete() const = 0;
  [[nodiscard]] virtual std::string end_reason() const = 0;
};

}  // namespace rookproxy
