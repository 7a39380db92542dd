// An engine that speaks lines and answers everything at once, for load: one thread, any number of
// connections. What reaches it is counted by what it says.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace rookproxy::test {

class LinesEngine {
 public:
  LinesEngine();
  ~LinesEngine();
  std::uint16_t port() const { return port_; }
  std::uint64_t answered() const { return answered_; }
  // How many statements that reached it hold this text.
  std::uint64_t seen(const std::string& text);
  // When each statement reached it.
  std::vector<std::chrono::steady_clock::time_point> arrivals();
  // From now on the statements are kept, each with its count, and when they came.
  void keep_statements() { keep_ = true; }

 private:
  friend class LinesEngineLoop;
  void run();
  std::uint16_t port_ = 0;
  std::atomic<bool> stop_{false}, keep_{false};
  std::atomic<std::uint64_t> answered_{0};
  std::mutex mutex_;
  std::map<std::string, std::uint64_t> statements_;
  std::vector<std::chrono::steady_clock::time_point> arrivals_;
  std::atomic<bool> started_{false};
  std::thread thread_;
};

}  // namespace rookproxy::test
