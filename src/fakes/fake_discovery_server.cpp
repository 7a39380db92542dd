#include "fakes/fake_discovery_server.h"

#include <sys/socket.h>

#include <array>
#include <chrono>
#include <stdexcept>

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
    throw std::runtime_error("no port for the fake discovery server");
  }
  thread_ = std::thread([this] { serve(); });
}

FakeDiscoveryServer::~FakeDiscoveryServer() {
  stop_requested_ = true;
  thread_.join();
}

void FakeDiscoveryServer::set_endpoints(std::vector<EngineEndpoint> endpoints) {
  const std::lock_guard lock(mutex_);
  endpoints_ = std::move(endpoints);
  ++version_;
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
  const std::lock_guard lock(mutex_);
  const std::string response =
      make_dns_response({query.data(), static_cast<std::size_t>(received)}, version_, endpoints_);
  ::sendto(socket_.get(), response.data(), response.size(), 0, reinterpret_cast<const sockaddr*>(&client),
           client_size);
}

}  // namespace rookproxy::test
