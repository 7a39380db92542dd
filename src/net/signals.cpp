#include "net/signals.h"

#include <sys/signalfd.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <system_error>

namespace rookproxy {

namespace {
sigset_t to_signal_set(std::initializer_list<int> signals) {
  sigset_t set;
  sigemptyset(&set);
  for (const int one : signals) sigaddset(&set, one);
  return set;
}
}  // namespace

void block_signals(std::initializer_list<int> signals) {
  std::signal(SIGPIPE, SIG_IGN);
  const sigset_t set = to_signal_set(signals);
  ::sigprocmask(SIG_BLOCK, &set, nullptr);
}

SignalWatcher::SignalWatcher(EventLoop& loop, std::initializer_list<int> signals,
                             std::function<void(int)> taken)
    : loop_(loop), on_signal_(std::move(taken)) {
  block_signals(signals);
  const sigset_t set = to_signal_set(signals);
  fd_ = FileDescriptor(::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC));
  if (fd_) key_ = loop_.watch(fd_.get(), *this);
  if (key_ == 0) throw std::system_error(errno, std::generic_category(), "signalfd");
}

SignalWatcher::~SignalWatcher() { loop_.unwatch(key_, fd_.get()); }

void SignalWatcher::on_ready(std::uint32_t) {
  signalfd_siginfo info;
  while (::read(fd_.get(), &info, sizeof info) == static_cast<ssize_t>(sizeof info)) {
    on_signal_(static_cast<int>(info.ssi_signo));
  }
}

}  // namespace rookproxy
