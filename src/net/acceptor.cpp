#include "net/acceptor.h"

#include <fcntl.h>
#include <sys/epoll.h>

#include <cerrno>
#include <chrono>
#include <system_error>
#include <utility>

#include "net/system_error_class.h"

namespace rookproxy {
namespace {

// Bounded, so that the data of accepted connections is read before more connections are accepted.
constexpr int kAcceptsPerIteration = 16;
constexpr Duration kCapacityRetryInterval = std::chrono::milliseconds(5);
constexpr Duration kResourceRetryInterval = std::chrono::milliseconds(50);

constexpr Duration kTransientShortageRetryInterval = std::chrono::milliseconds(5);

FileDescriptor open_reserve_descriptor() { return FileDescriptor(::open("/dev/null", O_RDONLY | O_CLOEXEC)); }

bool can_open_descriptor() { return static_cast<bool>(open_reserve_descriptor()); }

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
  if (key_ == 0) throw std::system_error(errno, std::generic_category(), "epoll_ctl on a listening socket");
}

void Acceptor::stop() {
  retry_timer_.cancel();
  loop_.unwatch(std::exchange(key_, 0), listener_.get());
}

void Acceptor::on_ready(std::uint32_t) {
  // If the reserve descriptor was lost, it is reopened before a connection is accepted. Without it, peers
  // can't be rejected when descriptors run out.
  if (!reserve_descriptor_) reserve_descriptor_ = open_reserve_descriptor();
  for (int accepted = 0;; ++accepted) {
    if (key_ == 0) return;  // The callback called stop().
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

// Returns true if the next connection can be accepted immediately.
bool Acceptor::handle_accept_error(int error) {
  const SystemErrorClass error_class = classify_system_error(error);
  if (error_class == SystemErrorClass::kTransient) return true;
  if (error_class == SystemErrorClass::kWouldBlock) return false;
  // Waiting connections trigger no further edge, so a timer retries. Connections are rejected only if this
  // process has no descriptor left; a shortage that is transient or concerns the whole host usually ends
  // before a rejected client would reconnect.
  const bool process_is_exhausted =
      error_class == SystemErrorClass::kProcessExhausted && !can_open_descriptor();
  if (process_is_exhausted && reserve_descriptor_ && reject_with_reserve()) return true;
  retry_after(process_is_exhausted ? kResourceRetryInterval : kTransientShortageRetryInterval);
  return false;
}

// Accepts the next connection with the reserve descriptor and closes it immediately. Returns false if
// something else in this process took the descriptor, so that an immediate retry would fail.
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
