#include "token_flood.h"

#include <sys/socket.h>

#include <array>
#include <chrono>
#include <string_view>
#include <utility>

#include "fakes/sockets.h"
#include "open_loop_load.h"

namespace rookproxy::bench {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t kConnections = 20;
constexpr auto kPause = 200us;
constexpr std::size_t kReadSize = 16'384;
// Apart from the ids of the measured requests.
constexpr std::uint64_t kFirstCallId = std::uint64_t{1} << 62U;
// The changed part of a token: so many characters, so far before its end, inside the signature.
constexpr std::size_t kChangedCharacters = 8;
constexpr std::size_t kChangedBeforeEnd = 10;
constexpr std::string_view kCharacters = "abcdefghijklmnop";

void discard_received(const FileDescriptor& socket) {
  std::array<char, kReadSize> bytes;
  while (::recv(socket.get(), bytes.data(), bytes.size(), MSG_DONTWAIT) > 0) continue;
}

}  // namespace

TokenFlood::TokenFlood(std::uint16_t port, double requests_per_second, std::string token)
    : port_(port),
      requests_per_second_(requests_per_second),
      token_(std::move(token)),
      connections_(kConnections),
      thread_([this] { run(); }) {}

TokenFlood::~TokenFlood() { stop(); }

void TokenFlood::stop() {
  stopped_ = true;
  if (thread_.joinable()) thread_.join();
}

void TokenFlood::run() {
  const auto begin = SteadyClock::now();
  std::uint64_t number = 0;
  while (!stopped_) {
    const std::chrono::duration<double> elapsed = SteadyClock::now() - begin;
    if (number < static_cast<std::uint64_t>(requests_per_second_ * elapsed.count())) {
      send_request(number++);
    } else {
      std::this_thread::sleep_for(kPause);
    }
  }
}

void TokenFlood::send_request(std::uint64_t number) {
  Connection& connection = connections_[number % connections_.size()];
  if (!connection.socket) {
    connection.socket = connect_tcp({test::kLoopbackAddress, port_});
    connection.last_stream_id = 0;
  }
  discard_received(connection.socket);
  const std::string frame =
      encode_lookup(++connection.last_stream_id, kFirstCallId + number, invalid_token(number));
  const ssize_t taken =
      ::send(connection.socket.get(), frame.data(), frame.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  if (taken < 0) {
    connection.socket.reset();
  } else {
    ++sent_;
  }
}

std::string TokenFlood::invalid_token(std::uint64_t number) const {
  std::string token = token_;
  for (std::size_t i = 0; i < kChangedCharacters; ++i) {
    token[token.size() - kChangedBeforeEnd - 1 - i] = kCharacters[number >> (4 * i) & 15U];
  }
  return token;
}

}  // namespace rookproxy::bench
