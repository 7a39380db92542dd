// An engine for load tests that speaks the line protocol and responds to every request immediately.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace rookproxy::test {

// Serves any number of connections on its own thread and counts the statements by text. Thread-safe.
class AutoReplyLineEngine {
 public:
  AutoReplyLineEngine();
  ~AutoReplyLineEngine();
  AutoReplyLineEngine(const AutoReplyLineEngine&) = delete;
  AutoReplyLineEngine& operator=(const AutoReplyLineEngine&) = delete;

  [[nodiscard]] std::uint16_t port() const { return port_; }
  [[nodiscard]] std::uint64_t response_count() const { return response_count_; }

  // Starts recording statements and their arrival times. Without it only responses are counted.
  void record_statements() { records_statements_ = true; }

  // Returns how many recorded statements contain the text.
  [[nodiscard]] std::uint64_t count_statements_containing(const std::string& text);

  // Returns the arrival times of the recorded statements.
  [[nodiscard]] std::vector<std::chrono::steady_clock::time_point> arrival_times();

 private:
  class Server;

  void run();
  void on_statement(std::string_view statement);

  std::uint16_t port_ = 0;
  std::atomic<bool> stop_requested_{false};
  std::atomic<bool> records_statements_{false};
  std::atomic<std::uint64_t> response_count_{0};
  std::mutex mutex_;
  std::map<std::string, std::uint64_t> statement_counts_;
  std::vector<std::chrono::steady_clock::time_point> arrival_times_;
  std::atomic<bool> started_{false};
  std::thread thread_;
};

}  // namespace rookproxy::test
