#include "fakes/fault_injecting_network_thread.h"

#include <sys/eventfd.h>

#include <cerrno>
#include <system_error>

#include "fakes/fd_callback.h"
#include "net/event_loop.h"

namespace rookproxy::test {

FaultInjectingNetworkThread::FaultInjectingNetworkThread(std::uint64_t seed)
    : wakeup_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  if (!wakeup_) throw std::system_error(errno, std::generic_category(), "failed to create an eventfd");
  std::promise<void> ready;
  auto is_ready = ready.get_future();
  thread_ = std::thread([this, seed, &ready] { run(seed, ready); });
  is_ready.get();
}

FaultInjectingNetworkThread::~FaultInjectingNetworkThread() {
  post(nullptr);
  thread_.join();
}

void FaultInjectingNetworkThread::post(std::function<void()> task) {
  {
    const std::lock_guard lock(mutex_);
    tasks_.push_back(std::move(task));
  }
  ::eventfd_write(wakeup_.get(), 1);
}

void FaultInjectingNetworkThread::run(std::uint64_t seed, std::promise<void>& ready) {
  EventLoop loop;
  FaultInjectingNetwork network(loop, seed);
  network_ = &network;
  const FdCallback callback(loop, wakeup_.get(), [this, &loop] { run_posted_tasks(loop); });
  ready.set_value();
  loop.run();
}

void FaultInjectingNetworkThread::run_posted_tasks(EventLoop& loop) {
  eventfd_t count = 0;
  ::eventfd_read(wakeup_.get(), &count);
  std::vector<std::function<void()>> tasks;
  {
    const std::lock_guard lock(mutex_);
    tasks.swap(tasks_);
  }
  for (const auto& task : tasks) {
    if (task) {
      task();
    } else {
      loop.stop();
    }
  }
}

}  // namespace rookproxy::test
