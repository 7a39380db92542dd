/// A service discovery server for tests.
#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <thread>
#include <vector>

#include "discovery/dns.h"
#include "net/file_descriptor.h"
#include "net/socket_address.h"
#include "net/sockets.h"

namespace rookproxy::test {

/// Answers DNS queries over UDP with the endpoint list that it was last given, on a thread of its own. Its
/// functions may be called from any thread.
class FakeDiscoveryServer {
 public:
  /// Throws std::runtime_error if no port is free.
  explicit FakeDiscoveryServer(std::uint32_t version = 1);
  ~FakeDiscoveryServer();
  FakeDiscoveryServer(const FakeDiscoveryServer&) = delete;
  FakeDiscoveryServer& operator=(const FakeDiscoveryServer&) = delete;

  [[nodiscard]] std::uint16_t port() const { return local_port(socket_); }

  /// Replaces the list and raises its version by one.
  void set_endpoints(std::vector<EngineEndpoint> endpoints);
  [[nodiscard]] std::uint32_t version();

 private:
  void serve();
  void answer_next_query();

  FileDescriptor socket_;
  std::mutex mutex_;
  std::vector<EngineEndpoint> endpoints_;
  std::uint32_t version_;
  std::atomic<bool> stop_requested_{false};
  std::thread thread_;
};

}  // namespace rookproxy::test
