#include "fakes/test_connection.h"
#include "net/file_descriptor.h"
#include "net/sockets.h"

#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <cstdint>

namespace rookproxy::test {
namespace {

constexpr std::size_t kPlainReadSize = 64 * 1024;
constexpr std::size_t kTlsReadSize = 16 * 1024;  // the maximum size of a TLS record

// Waits until the socket is writable. Returns false if it has ended or is not writable within kWaitLimit.
bool wait_until_writable(const FileDescriptor& fd) {
  pollfd request{fd.get(), POLLOUT, 0};
  const auto limit = std::chrono::milliseconds(kWaitLimit);
  if (::poll(&request, 1, static_cast<int>(limit.count())) <= 0) return false;
  return (request.revents & (POLLERR | POLLHUP)) == 0;
}

}  // namespace

TestConnection TestConnection::connect(std::uint16_t port) {
  return TestConnection(connect_tcp({kLoopbackAddress, port}));
}

void TestConnection::start_tls(const std::string& certificate, const std::string& key) {
  tls_ = std::make_unique<TlsClientSession>(fd_.get(), certificate, key);
}

void TestConnection::send(std::string_view bytes) {
  if (tls_) {
    if (!tls_->send(bytes)) ended_ = true;
    return;
  }
  while (!bytes.empty()) {
    const ssize_t sent = ::send(fd_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent > 0) {
      bytes.remove_prefix(static_cast<std::size_t>(sent));
      continue;
    }
    if (!wait_until_writable(fd_)) return;
  }
}

bool TestConnection::read_more(std::chrono::milliseconds within) {
  if (ended_ || !fd_) return false;
  if (tls_) return read_more_tls(within);
  if (!wait_until_readable(fd_, within)) return false;
  std::array<char, kPlainReadSize> chunk;
  const ssize_t received = ::recv(fd_.get(), chunk.data(), chunk.size(), 0);
  ended_ = received <= 0;
  reset_ = received < 0;
  if (ended_) return false;
  buffer_.append(chunk.data(), static_cast<std::size_t>(received));
  return true;
}

bool TestConnection::read_more_tls(std::chrono::milliseconds within) {
  std::array<char, kTlsReadSize> chunk;
  const int received = tls_->read(chunk.data(), static_cast<int>(chunk.size()), within);
  ended_ = received == 0;
  if (received <= 0) return false;
  buffer_.append(chunk.data(), static_cast<std::size_t>(received));
  return true;
}

bool TestConnection::wait_for_bytes(std::size_t bytes, std::chrono::milliseconds within) {
  while (buffer_.size() < bytes) {
    if (!read_more(within)) return false;
  }
  return true;
}

bool TestConnection::wait_for_end(std::chrono::milliseconds within) {
  while (!ended_ && read_more(within)) continue;
  return ended_;
}

std::string TestConnection::take(std::size_t bytes) {
  std::string taken = buffer_.substr(0, bytes);
  buffer_.erase(0, bytes);
  return taken;
}

std::optional<mysql::Message> read_mysql_message(TestConnection& connection) {
  for (;;) {
    mysql::Message message = mysql::parse_message(connection.buffer(), SIZE_MAX);
    if (message.consumed > 0) {
      connection.take(message.consumed);
      return message;
    }
    if (!connection.read_more()) return std::nullopt;
  }
}

}  // namespace rookproxy::test
