#include "support/flooding_client.h"

#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <exception>
#include <utility>

namespace rookproxy::test {
namespace {

constexpr int kPollMilliseconds = 20;
constexpr std::size_t kReadChunkSize = 256 * 1024;

// Returns false once the connection has ended.
bool send_some(const FileDescriptor& fd, std::string& bytes) {
  const ssize_t sent = ::send(fd.get(), bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  if (sent < 0) return errno == EAGAIN || errno == EINTR;
  bytes.erase(0, static_cast<std::size_t>(sent));
  return true;
}

bool discard_input(const FileDescriptor& fd) {
  static thread_local std::array<char, kReadChunkSize> chunk;
  const ssize_t received = ::recv(fd.get(), chunk.data(), chunk.size(), MSG_DONTWAIT);
  return received > 0 || (received < 0 && (errno == EAGAIN || errno == EINTR));
}

}  // namespace

FloodingClient::FloodingClient(Connect connect, MakeBytes make_bytes, ResponseUse use)
    : connect_(std::move(connect)),
      make_bytes_(std::move(make_bytes)),
      use_(use),
      thread_([this] { run(); }) {}

FloodingClient::~FloodingClient() {
  stop_requested_ = true;
  thread_.join();
}

void FloodingClient::run() {
  while (!stop_requested_ && may_connect_) {
    try {
      flood(connect_());
    } catch (const std::exception&) {
      continue;  // The dispatcher closed the connection during its login.
    }
  }
}

void FloodingClient::flood(TestConnection connection) {
  const bool reads = use_ == ResponseUse::kRead;
  std::string bytes;
  while (!stop_requested_) {
    if (bytes.empty()) bytes = make_bytes_();
    pollfd ready{connection.fd().get(), static_cast<short>(reads ? POLLIN | POLLOUT : POLLOUT), 0};
    ::poll(&ready, 1, kPollMilliseconds);
    if ((ready.revents & (POLLERR | POLLNVAL)) != 0) return;
    if ((ready.revents & POLLOUT) != 0 && !send_some(connection.fd(), bytes)) return;
    if (reads && (ready.revents & (POLLIN | POLLHUP)) != 0 && !discard_input(connection.fd())) return;
  }
}

}  // namespace rookproxy::test
