// The side of TLS that connects, for stand-in clients. It trusts anybody: what is tested is the other side.
#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <string_view>

struct ssl_st;

namespace rookproxy::test {

class TlsClientSession {
 public:
  // Begins on a connected non-blocking socket, which lives longer; `certificate` and `key` in PEM, or empty.
  // Throws std::runtime_error if the handshake fails.
  TlsClientSession(int fd, const std::string& certificate, const std::string& key);
  bool send(std::string_view bytes);
  // What comes within that time: > 0 bytes, 0 the end (or a fault), -1 nothing.
  int read(char* bytes, int room, std::chrono::milliseconds within);

 private:
  bool wait_for_handshake_io(int outcome, std::chrono::milliseconds within);
  int fd_;
  std::shared_ptr<ssl_st> ssl_;
};

}  // namespace rookproxy::test
