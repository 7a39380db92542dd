// An event loop in a thread of its own, for tests that act as the peers of what runs on it.
#pragma once

#include <sys/eventfd.h>
#include <unistd.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <future>
#include <mutex>
#include <thread>
#include <utility>

#include "fakes/sockets.h"
#include "net/event_loop.h"
#include "net/file_descriptor.h"

namespace rookproxy::test {

// Runs a loop until it is finished. It waits for nothing but what the test makes happen.
class EventLoopThread final : private EventHandler {
 public:
  EventLoopThread() : wake_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
    loop.watch(wake_.get(), *this);
    loop.on_iteration_end([this] {
      ++iterations;
      if (on_iteration_end) on_iteration_end();
    });
    thread_ = std::thread([this] { loop.run(); });
  }
  ~EventLoopThread() { finish(); }
  EventLoopThread(const EventLoopThread&) = delete;
  EventLoopThread& operator=(const EventLoopThread&) = delete;

  // Runs the task on the loop's thread and returns its result once it is done.
  template <class Task>
  auto run(Task task) {
    std::packaged_task<decltype(task())()> packaged(std::move(task));
    auto result = packaged.get_future();
    {
      const std::lock_guard lock(mutex_);
      tasks_.push_back([&packaged] { packaged(); });
    }
    const std::uint64_t one = 1;
    REQUIRE(::write(wake_.get(), &one, sizeof one) == sizeof one);
    return result.get();
  }
  // Runs `last`, which destroys what is registered with the loop, and ends the thread.
  void finish(std::function<void()> last = {}) {
    if (!thread_.joinable()) return;
    run([&] {
      if (last) last();
      loop.stop();
    });
    thread_.join();
  }
  // Whether the condition holds, on the loop's thread, within that time.
  bool until(const std::function<bool()>& condition, std::chrono::milliseconds within = kWaitLimit) {
    const auto end = std::chrono::steady_clock::now() + within;
    while (std::chrono::steady_clock::now() < end) {
      if (run(condition)) return true;
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return false;
  }

  EventLoop loop;
  std::function<void()> on_iteration_end;
  std::atomic<int> iterations{0};

 private:
  void on_ready(std::uint32_t) override {
    std::uint64_t count = 0;
    while (::read(wake_.get(), &count, sizeof count) > 0) {
    }
    for (;;) {
      std::function<void()> task;
      {
        const std::lock_guard lock(mutex_);
        if (tasks_.empty()) return;
        task = std::move(tasks_.front());
        tasks_.pop_front();
      }
      task();
    }
  }

  FileDescriptor wake_;
  std::mutex mutex_;
  std::deque<std::function<void()>> tasks_;
  std::thread thread_;
};

}  // namespace rookproxy::test
