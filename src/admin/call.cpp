#include "admin/call.h"

namespace rookproxy {
namespace {
constexpr std::size_t kMaxResponseBytes = 64 * 1024;
}

AdminClient::AdminClient(EventLoop& loop, const SocketAddress& at, std::string_view call, Duration within,
                         Callback done)
    : loop_(loop), callback_(std::move(done)) {
  timer_ = loop_.run_at(loop_.now() + within, [this] { finish(""); });
  FileDescriptor fd = connect_tcp(at);
  if (!fd) return;  // nobody there: told when the time is up, so that a caller who asks on asks no faster
  stream_ = std::make_unique<Stream>(loop_, std::move(fd), *this, true, kMaxResponseBytes);
  stream_->write(std::string(call) + "\n");
}

AdminClient::~AdminClient() { loop_.cancel(timer_); }

std::size_t AdminClient::on_bytes(std::string_view bytes) {
  if (response_.size() < kMaxResponseBytes) response_ += bytes;
  return bytes.size();
}

// The answer is whole once the dispatcher has closed the connection behind it.
void AdminClient::on_closed(std::string_view) {
  if (response_.ends_with('\n')) finish(std::move(response_));
}

void AdminClient::finish(std::string answer) {
  loop_.cancel(timer_);
  if (callback_) std::exchange(callback_, nullptr)(std::move(answer));
}

}  // namespace rookproxy
