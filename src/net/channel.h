// What may stand between a stream's bytes and its socket's, as TLS does. It does no I/O of its own.
#pragma once

#include <string>
#include <string_view>

namespace rookproxy {

class SecureChannel {
 public:
  virtual ~SecureChannel() = default;
  // Bytes as they came from the socket; none at first, where this side speaks first. What they yield is
  // appended to `plain`, what must be sent for it to `out`. False: it is over, for the reason that why()
  // gives; `out` may still hold a last word.
  virtual bool receive(std::string_view bytes, std::string& plain, std::string& out) = 0;
  // Bytes of the user's, once is_ready(); sealed, they are appended to `out`.
  virtual void seal(std::string_view plain, std::string& out) = 0;
  // The end of this side's bytes, told so that the peer can know that nothing was cut off.
  virtual void finish(std::string& out) = 0;
  virtual bool is_handshake_complete() const = 0;
  virtual std::string end_reason() const = 0;
};

}  // namespace rookproxy
