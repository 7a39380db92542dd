#include "support/cluster_client.h"

#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstddef>

#include "fakes/sockets.h"
#include "support/require.h"

namespace rookproxy::test {
namespace {

constexpr int kSmallReceiveBuffer = 2048;
constexpr std::size_t kReadSize = 64 * 1024;

}  // namespace

ClusterClient::ClusterClient(const SocketAddress& frontend, bool small_buffers)
    : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  if (small_buffers) {
    ::setsockopt(socket_.get(), SOL_SOCKET, SO_RCVBUF, &kSmallReceiveBuffer, sizeof kSmallReceiveBuffer);
  }
  const sockaddr_in address = frontend.to_sockaddr();
  const int outcome = ::connect(socket_.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address);
  require(outcome == 0, "no connection to the frontend");
}

void ClusterClient::send(std::string_view bytes) {
  if (::send(socket_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL) < 0) saw_end_ = true;
}

void ClusterClient::disconnect(CloseKind kind) {
  disconnected_ = true;
  if (kind == CloseKind::kHalfClose) {
    ::shutdown(socket_.get(), SHUT_WR);
    return;
  }
  if (kind == CloseKind::kReset) set_reset_on_close(socket_);
  socket_.reset();
}

bool ClusterClient::read_frames(const std::function<void(const frames::Frame&)>& on_frame) {
  if (!socket_ || saw_end_ || !is_reading_) return false;
  std::array<char, kReadSize> chunk;
  const ssize_t received = ::recv(socket_.get(), chunk.data(), chunk.size(), MSG_DONTWAIT);
  if (received < 0 && (errno == EAGAIN || errno == EINTR)) return false;
  if (received <= 0) {
    saw_end_ = true;
    return true;
  }
  received_.append(chunk.data(), static_cast<std::size_t>(received));
  frames::ParsedFrame parsed = frames::parse_frame(received_);
  while (parsed.status == frames::ParseStatus::kComplete) {
    on_frame(parsed.frame);
    received_.erase(0, parsed.frame_size);
    parsed = frames::parse_frame(received_);
  }
  return true;
}

}  // namespace rookproxy::test
