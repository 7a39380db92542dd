#include "admin/admin_client.h"
#include "net/event_loop.h"
#include "net/file_descriptor.h"
#include "net/socket_address.h"
#include "net/sockets.h"

#include <utility>

namespace rookproxy {
namespace {

constexpr std::size_t kMaxResponseBytes = 64 * 1024;

}  // namespace

AdminClient::AdminClient(EventLoop& loop, const SocketAddress& address, std::string_view command,
                         Duration timeout, Callback callback)
    : loop_(loop), callback_(std::move(callback)) {
  timer_ = loop_.run_at(loop_.now() + timeout, [this] { finish(""); });
  FileDescriptor fd = connect_tcp(address);
  // A failure to connect is reported only after the timeout, which limits the rate of retries.
  if (!fd) return;
  stream_ = std::make_unique<Stream>(loop_, std::move(fd), *this, true, kMaxResponseBytes);
  stream_->write(std::string(command) + "\n");
}

AdminClient::~AdminClient() { loop_.cancel(timer_); }

std::size_t AdminClient::on_bytes(std::string_view bytes) {
  if (response_.size() < kMaxResponseBytes) response_ += bytes;
  return bytes.size();
}

// The response is complete once the dispatcher has closed the connection.
void AdminClient::on_closed(std::string_view) {
  if (response_.ends_with('\n')) finish(std::move(response_));
}

void AdminClient::finish(std::string response) {
  loop_.cancel(timer_);
  if (callback_) std::exchange(callback_, nullptr)(std::move(response));
}

}  // namespace rookproxy
