// A service discovery server for tests.
#pragma once

#include <netinet/in.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string_view>
#include <thread>
#include <vector>

#include "discovery/dns.h"
#include "net/file_descriptor.h"
#include "net/socket_address.h"
#include "net/sockets.h"

namespace rookproxy::test {

// Answers DNS queries over UDP with the current endpoint list, on its own thread. Thread-safe.
class FakeDiscoveryServer {
 public:
  // Throws std::runtime_error if no port is free.
  explicit FakeDiscoveryServer(std::uint32_t version = 1);
  ~FakeDiscoveryServer();
  FakeDiscoveryServer(const FakeDiscoveryServer&) = delete;
  FakeDiscoveryServer& operator=(const FakeDiscoveryServer&) = delete;

  [[nodiscard]] std::uint16_t port() const { return local_port(socket_); }

  // How the server responds to polls.
  enum class ResponseMode {
    kCurrentList,
    kOlderList,        // the list before the current one, as from a server that lags behind
    kLost,             // no response arrives: the one with the current list is lost
    kOlderThenCurrent  // two responses to the same query, the older list first
  };

  // Replaces the list and raises its version by one.
  void set_endpoints(std::vector<EngineEndpoint> endpoints);
  // Sets the response mode from the next poll on.
  void set_response_mode(ResponseMode mode);
  // Responds to the next poll only with another list, like a delayed response to a previous run of the
  // dispatcher, whose version numbers had another starting value.
  void answer_once_with(std::uint32_t version, std::vector<EngineEndpoint> endpoints);
  // Returns the number of polls since the response mode was last set.
  [[nodiscard]] int polls_in_mode();
  // Returns when the first response with the current list was sent, including a lost one, or nothing if none
  // was.
  [[nodiscard]] std::optional<std::chrono::steady_clock::time_point> current_list_sent_at();
  [[nodiscard]] std::uint32_t version();

 private:
  struct VersionedList {
    std::uint32_t version;
    std::vector<EngineEndpoint> endpoints;
  };

  void serve();
  void answer_next_query();
  void send_list(std::string_view query, const sockaddr_in& client, std::uint32_t version,
                 const std::vector<EngineEndpoint>& endpoints);

  FileDescriptor socket_;
  std::mutex mutex_;
  std::vector<EngineEndpoint> endpoints_;
  std::vector<EngineEndpoint> previous_endpoints_;
  std::uint32_t version_;
  ResponseMode response_mode_ = ResponseMode::kCurrentList;
  int polls_in_mode_ = 0;
  std::optional<VersionedList> single_response_;
  std::optional<std::chrono::steady_clock::time_point> current_list_sent_at_;
  std::atomic<bool> stop_requested_{false};
  std::thread thread_;
};

}  // namespace rookproxy::test
