#include "ops/call.h"

namespace rookproxy {
namespace {
constexpr std::size_t kLongestAnswer = 64 * 1024;
}

OpsCall::OpsCall(Loop& loop, const Endpoint& at, std::string_view call, Duration within, Done done)
    : loop_(loop), done_(std::move(done)) {
  timer_ = loop_.at(loop_.now() + within, [this] { end(""); });
  Fd fd = connect_tcp(at);
  if (!fd) return;  // nobody there: told when the time is up, so that a caller who asks on asks no faster
  stream_ = std::make_unique<Stream>(loop_, std::move(fd), *this, true, kLongestAnswer);
  stream_->write(std::string(call) + "\n");
}

OpsCall::~OpsCall() { loop_.cancel(timer_); }

std::size_t OpsCall::on_bytes(std::string_view bytes) {
  if (answer_.size() < kLongestAnswer) answer_ += bytes;
  return bytes.size();
}

// The answer is whole once the dispatcher has closed the connection behind it.
void OpsCall::on_closed(std::string_view) {
  if (answer_.ends_with('\n')) end(std::move(answer_));
}

void OpsCall::end(std::string answer) {
  loop_.cancel(timer_);
  if (done_) std::exchange(done_, nullptr)(std::move(answer));
}

}  // namespace rookproxy
