#include "fakes/fake_discovery_server.h"

#include <sys/socket.h>

#include <array>
#include <chrono>
#include <stdexcept>
#include <utility>

#include "fakes/dns_response.h"
#include "fakes/sockets.h"

namespace rookproxy::test {
namespace {

constexpr std::size_t kMaxQuerySize = 1024;
constexpr ssize_t kMinQuerySize = 12;  // a DNS header
constexpr auto kStopCheckInterval = std::chrono::milliseconds(20);

}  // namespace

FakeDiscoveryServer::FakeDiscoveryServer(std::uint32_t version)
    : socket_(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0)), version_(version) {
  const sockaddr_in address = kAnyLoopbackPort.to_sockaddr();
  if (::bind(socket_.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    throw std::runtime_error("fake discovery server failed to bind a UDP port");
  }
  thread_ = std::thread([this] { serve(); });
}

FakeDiscoveryServer::~FakeDiscoveryServer() {
  stop_requested_ = true;
  thread_.join();
}

void FakeDiscoveryServer::set_endpoints(std::vector<EngineEndpoint> endpoints) {
  const std::lock_guard lock(mutex_);
  previous_endpoints_ = std::exchange(endpoints_, std::move(endpoints));
  ++version_;
  current_list_sent_at_.reset();
}

void FakeDiscoveryServer::set_response_mode(ResponseMode mode) {
  const std::lock_guard lock(mutex_);
  response_mode_ = mode;
  polls_in_mode_ = 0;
}

void FakeDiscoveryServer::answer_once_with(std::uint32_t version, std::vector<EngineEndpoint> endpoints) {
  const std::lock_guard lock(mutex_);
  single_response_ = {version, std::move(endpoints)};
}

int FakeDiscoveryServer::polls_in_mode() {
  const std::lock_guard lock(mutex_);
  return polls_in_mode_;
}

std::optional<std::chrono::steady_clock::time_point> FakeDiscoveryServer::current_list_sent_at() {
  const std::lock_guard lock(mutex_);
  return current_list_sent_at_;
}

std::uint32_t FakeDiscoveryServer::version() {
  const std::lock_guard lock(mutex_);
  return version_;
}

void FakeDiscoveryServer::serve() {
  while (!stop_requested_) {
    if (wait_until_readable(socket_, kStopCheckInterval)) answer_next_query();
  }
}

void FakeDiscoveryServer::answer_next_query() {
  std::array<char, kMaxQuerySize> query;
  sockaddr_in client{};
  socklen_t client_size = sizeof client;
  const ssize_t received = ::recvfrom(socket_.get(), query.data(), query.size(), 0,
                                      reinterpret_cast<sockaddr*>(&client), &client_size);
  if (received < kMinQuerySize) return;
  const std::string_view query_bytes(query.data(), static_cast<std::size_t>(received));
  const std::lock_guard lock(mutex_);
  ++polls_in_mode_;
  if (const auto single = std::exchange(single_response_, std::nullopt)) {
    return send_list(query_bytes, client, single->version, single->endpoints);
  }
  const ResponseMode mode = response_mode_;
  if (mode == ResponseMode::kOlderList || mode == ResponseMode::kOlderThenCurrent) {
    send_list(query_bytes, client, version_ - 1, previous_endpoints_);
  }
  if (mode == ResponseMode::kOlderList) return;
  if (!current_list_sent_at_) current_list_sent_at_ = std::chrono::steady_clock::now();
  if (mode != ResponseMode::kLost) send_list(query_bytes, client, version_, endpoints_);
}

void FakeDiscoveryServer::send_list(std::string_view query, const sockaddr_in& client, std::uint32_t version,
                                    const std::vector<EngineEndpoint>& endpoints) {
  const std::string response = make_dns_response(std::string(query), version, endpoints);
  ::sendto(socket_.get(), response.data(), response.size(), 0, reinterpret_cast<const sockaddr*>(&client),
           sizeof client);
}

}  // namespace rookproxy::test
