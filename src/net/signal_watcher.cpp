#include "net/signal_watcher.h"

#include <sys/signalfd.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <system_error>
#include <utility>

namespace rookproxy {
namespace {

sigset_t to_signal_set(std::initializer_list<int> signals) {
  sigset_t set;
  sigemptyset(&set);
  for (const int signal : signals) sigaddset(&set, signal);
  return set;
}

}  // namespace

void block_signals(std::initializer_list<int> signals) {
  std::signal(SIGPIPE, SIG_IGN);
  const sigset_t set = to_signal_set(signals);
  ::sigprocmask(SIG_BLOCK, &set, nullptr);
}

SignalWatcher::SignalWatcher(EventLoop& loop, std::initializer_list<int> signals,
                             std::function<void(int)> on_signal)
    : loop_(loop), on_signal_(std::move(on_signal)) {
  block_signals(signals);
  const sigset_t set = to_signal_set(signals);
  signal_descriptor_ = FileDescriptor(::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC));
  if (signal_descriptor_) key_ = loop_.watch(signal_descriptor_.get(), *this);
  if (key_ == 0) throw std::system_error(errno, std::generic_category(), "signalfd");
}

SignalWatcher::~SignalWatcher() { loop_.unwatch(key_, signal_descriptor_.get()); }

void SignalWatcher::on_ready(std::uint32_t) {
  signalfd_siginfo info;
  while (::read(signal_descriptor_.get(), &info, sizeof info) == static_cast<ssize_t>(sizeof info)) {
    on_signal_(static_cast<int>(info.ssi_signo));
  }
}

}  // namespace rookproxy
