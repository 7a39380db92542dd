/// A service discovery server for tests.
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

  /// How polls are answered.
  enum class ResponseMode {
    kCurrentList,
    kOlderList,        // by a server that lags: the list before the current one
    kLost,             // the response with the current list is lost on its way
    kOlderThenCurrent  // an older list overtakes the current one: both come, under the same query
  };

  /// Replaces the list and raises its version by one.
  void set_endpoints(std::vector<EngineEndpoint> endpoints);
  /// Answers so from the next poll on.
  void set_response_mode(ResponseMode mode);
  /// Answers the next poll alone with another list, as a response does that was made for a former run of the
  /// dispatcher, whose versions were counted from another start.
  void answer_once_with(std::uint32_t version, std::vector<EngineEndpoint> endpoints);
  /// How many polls have come since the response mode was set last.
  [[nodiscard]] int polls_in_mode();
  /// When the first response with the current list was sent, be it lost or not; nothing if none was.
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
