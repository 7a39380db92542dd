// A flood of requests with invalid tokens.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

#include "net/file_descriptor.h"

namespace rookproxy::bench {

// Sends requests at a steady rate from a thread of its own until it is stopped or destroyed, each with
// another invalid token, over connections that are opened anew as the dispatcher closes them.
class TokenFlood {
 public:
  // The invalid tokens are variations of `token`.
  TokenFlood(std::uint16_t port, double requests_per_second, std::string token);
  ~TokenFlood();
  TokenFlood(const TokenFlood&) = delete;
  TokenFlood& operator=(const TokenFlood&) = delete;

  // Returns once the thread has ended.
  void stop();
  // Requests that were sent whole or in part.
  [[nodiscard]] std::uint64_t sent() const { return sent_; }

 private:
  // A client connection and its stream ids.
  struct Connection {
    FileDescriptor socket;
    std::uint32_t last_stream_id = 0;
  };

  void run();
  void send_request(std::uint64_t number);
  [[nodiscard]] std::string invalid_token(std::uint64_t number) const;

  std::uint16_t port_;
  double requests_per_second_;
  std::string token_;
  std::vector<Connection> connections_;
  std::atomic<bool> stopped_{false};
  std::atomic<std::uint64_t> sent_{0};
  std::thread thread_;
};

}  // namespace rookproxy::bench
