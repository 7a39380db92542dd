// An event loop in its own thread, for tests that act as peers of the objects that run on the loop.
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

// Runs an event loop in its own thread until finish() is called.
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

  // Runs the task on the loop's thread, waits for it and returns its result.
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
  // Runs `last` on the loop's thread and ends the thread. `last` has to destroy the objects that are
  // registered with the loop.
  void finish(std::function<void()> last = {}) {
    if (!thread_.joinable()) return;
    run([&] {
      if (last) last();
      loop.stop();
    });
    thread_.join();
  }
  // Evaluates the condition on the loop's thread every millisecond. Returns false if it does not become true
  // within that time.
  bool until(const std::function<bool()>& condition, std::chrono::milliseconds within = kWaitLimit) {
    const auto deadline = std::chrono::steady_clock::now() + within;
    while (std::chrono::steady_clock::now() < deadline) {
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
