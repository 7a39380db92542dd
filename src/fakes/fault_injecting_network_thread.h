// A fault-injecting network with its own event loop and thread.
#pragma once

#include <cstdint>
#include <functional>
#include <future>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include "fakes/fault_injecting_network.h"
#include "net/event_loop.h"
#include "net/file_descriptor.h"
#include "net/socket_address.h"
#include "net/sockets.h"

namespace rookproxy::test {

// Runs a FaultInjectingNetwork on a separate thread. run_on_thread is thread-safe.
class FaultInjectingNetworkThread {
 public:
  // Throws std::system_error if the event descriptor can't be created.
  explicit FaultInjectingNetworkThread(std::uint64_t seed);
  ~FaultInjectingNetworkThread();
  FaultInjectingNetworkThread(const FaultInjectingNetworkThread&) = delete;
  FaultInjectingNetworkThread& operator=(const FaultInjectingNetworkThread&) = delete;

  // Calls `action` with the network on the network's thread, waits for it and returns its result. Rethrows an
  // exception of the action.
  template <class Action>
  auto run_on_thread(Action action) {
    using Result = decltype(action(std::declval<FaultInjectingNetwork&>()));
    std::packaged_task<Result()> task([this, &action] { return action(*network_); });
    auto result = task.get_future();
    post([&task] { task(); });
    return result.get();
  }

 private:
  void post(std::function<void()> task);
  void run(std::uint64_t seed, std::promise<void>& ready);
  void run_posted_tasks(EventLoop& loop);

  std::mutex mutex_;
  std::vector<std::function<void()>> tasks_;  // an empty task stops the thread
  FileDescriptor wakeup_;                     // an eventfd
  FaultInjectingNetwork* network_ = nullptr;  // owned by the thread's function
  std::thread thread_;
};

}  // namespace rookproxy::test
