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

class AutoReplyLineEngine {
 public:
  AutoReplyLineEngine();
  ~AutoReplyLineEngine();
  std::uint16_t port() const { return port_; }
  std::uint64_t response_count() const { return response_count_; }
  // How many statements that reached it hold this text.
  std::uint64_t count_statements_containing(const std::string& text);
  // When each statement reached it.
  std::vector<std::chrono::steady_clock::time_point> arrival_times();
  // From now on the statements are kept, each with its count, and when they came.
  void record_statements() { record_statements_ = true; }

 private:
  friend class AutoReplyLineEngineLoop;
  void run();
  std::uint16_t port_ = 0;
  std::atomic<bool> stop_requested_{false}, record_statements_{false};
  std::atomic<std::uint64_t> response_count_{0};
  std::mutex mutex_;
  std::map<std::string, std::uint64_t> statement_counts_;
  std::vector<std::chrono::steady_clock::time_point> arrival_times_;
  std::atomic<bool> started_{false};
  std::thread thread_;
};

}  // namespace rookproxy::test
