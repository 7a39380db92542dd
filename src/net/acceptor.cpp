#include "net/acceptor.h"

#include <fcntl.h>
#include <sys/epoll.h>

#include <cerrno>
#include <chrono>
#include <system_error>
#include <utility>

namespace rookproxy {
namespace {

constexpr int kAcceptsPerIteration = 16;  // what they sent is read before more are accepted
constexpr Duration kCapacityRetryInterval = std::chrono::milliseconds(5);
constexpr Duration kResourceRetryInterval = std::chrono::milliseconds(50);

FileDescriptor open_reserve_descriptor() { return FileDescriptor(::open("/dev/null", O_RDONLY | O_CLOEXEC)); }

}  // namespace

Acceptor::Acceptor(EventLoop& loop, FileDescriptor listener, std::function<void(FileDescriptor)> on_accepted,
                   bool accepting, std::function<bool()> has_capacity)
    : loop_(loop),
      listener_(std::move(listener)),
      reserve_descriptor_(open_reserve_descriptor()),
      retry_timer_(loop),
      on_accepted_(std::move(on_accepted)),
      has_capacity_(std::move(has_capacity)) {
  if (accepting) start();
}

Acceptor::~Acceptor() { stop(); }

void Acceptor::start() {
  if (key_ != 0) return;
  key_ = loop_.watch(listener_.get(), *this);
  if (key_ == 0) throw std::system_error(errno, std::generic_category(), "watching a listener");
}

void Acceptor::stop() {
  retry_timer_.cancel();
  loop_.unwatch(std::exchange(key_, 0), listener_.get());
}

void Acceptor::on_ready(std::uint32_t) {
  // A reserve that was lost (below) is replaced before anything is accepted: without it no peer could be
  // told.
  if (!reserve_descriptor_) reserve_descriptor_ = open_reserve_descriptor();
  for (int accepted = 0;; ++accepted) {
    if (key_ == 0) return;  // stopped by the callback
    if (accepted == kAcceptsPerIteration) return loop_.requeue(key_, EPOLLIN);
    if (has_capacity_ && !has_capacity_()) return retry_after(kCapacityRetryInterval);
    FileDescriptor connection = accept_connection(listener_);
    if (connection) {
      on_accepted_(std::move(connection));
    } else if (!handle_accept_error(errno)) {
      return;
    }
  }
}

// True: accepting goes on at once.
bool Acceptor::handle_accept_error(int error) {
  if (error == EINTR || error == ECONNABORTED || error == EPROTO) return true;
  const bool out_of_descriptors = error == EMFILE || error == ENFILE;
  if (out_of_descriptors && reserve_descriptor_ && reject_with_reserve()) return true;
  // Out of descriptors with no reserve, or of kernel memory: the connections that wait cause no further edge.
  if (error != EAGAIN && error != EWOULDBLOCK) retry_after(kResourceRetryInterval);
  return false;
}

// Closes the next connection right after accepting it on the reserve's descriptor. False: something else in
// this process took the descriptor meanwhile, so that trying on at once is of no use.
bool Acceptor::reject_with_reserve() {
  reserve_descriptor_.reset();
  const bool rejected = static_cast<bool>(accept_connection(listener_));
  reserve_descriptor_ = open_reserve_descriptor();
  return rejected;
}

void Acceptor::retry_after(Duration interval) {
  retry_timer_.set(loop_.now() + interval, [this] { on_ready(EPOLLIN); });
}

}  // namespace rookproxy
