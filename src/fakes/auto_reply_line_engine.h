/// An engine for load tests that speaks the line protocol and answers every request at once.
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

/// Serves any number of connections on one thread of its own and counts the statements by their text. Its
/// functions may be called from any thread.
class AutoReplyLineEngine {
 public:
  AutoReplyLineEngine();
  ~AutoReplyLineEngine();
  AutoReplyLineEngine(const AutoReplyLineEngine&) = delete;
  AutoReplyLineEngine& operator=(const AutoReplyLineEngine&) = delete;

  [[nodiscard]] std::uint16_t port() const { return port_; }
  [[nodiscard]] std::uint64_t response_count() const { return response_count_; }

  /// Records statements and their times from now on; otherwise only responses are counted.
  void record_statements() { records_statements_ = true; }

  /// How many recorded statements hold this text.
  [[nodiscard]] std::uint64_t count_statements_containing(const std::string& text);

  /// When each recorded statement came.
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
