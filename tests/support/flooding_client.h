// A client that sends at full speed.
#pragma once

#include <atomic>
#include <functional>
#include <string>
#include <thread>

#include "fakes/test_connection.h"

namespace rookproxy::test {

// What a flooding client does with the responses.
enum class ResponseUse { kRead, kLeaveUnread };

// Sends on a connection, on a thread of its own, until it is destroyed. Opens a new connection when one ends.
class FloodingClient {
 public:
  using Connect = std::function<TestConnection()>;
  // Returns the next bytes to send on the connection.
  using MakeBytes = std::function<std::string()>;

  FloodingClient(Connect connect, MakeBytes make_bytes, ResponseUse use);
  ~FloodingClient();
  FloodingClient(const FloodingClient&) = delete;
  FloodingClient& operator=(const FloodingClient&) = delete;

  // Opens no further connections.
  void stop_connecting() { may_connect_ = false; }

 private:
  void run();
  void flood(TestConnection connection);

  Connect connect_;
  MakeBytes make_bytes_;
  ResponseUse use_;
  std::atomic<bool> may_connect_{true};
  std::atomic<bool> stop_requested_{false};
  std::thread thread_;
};

}  // namespace rookproxy::test
