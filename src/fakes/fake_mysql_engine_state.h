/// What the connections of one fake MySQL engine share.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace rookproxy::test {

/// The engine's connections by id, and a record of what ran on them. Its functions may be called from any
/// thread.
class FakeMysqlEngineState {
 public:
  using KillFlag = std::shared_ptr<std::atomic<bool>>;

  /// A new connection: its id, and the flag that KILL QUERY sets.
  struct Registration {
    std::uint32_t connection_id;
    KillFlag kill_flag;
  };
  [[nodiscard]] Registration register_connection();

  /// Asks that connection to end its statement; nothing if there is none with the id.
  void kill_query(std::uint32_t connection_id);

  void record_executed(const std::string& statement);
  void record_prepared(const std::string& statement);
  [[nodiscard]] std::vector<std::string> executed_statements();
  [[nodiscard]] std::vector<std::string> prepared_statements();

  /// Asks all connections to end; they look every few milliseconds.
  void request_stop() { stop_requested_ = true; }
  [[nodiscard]] bool is_stop_requested() const { return stop_requested_; }

 private:
  std::mutex mutex_;
  std::uint32_t next_connection_id_ = 1;
  std::map<std::uint32_t, KillFlag> kill_flags_;
  std::vector<std::string> executed_statements_;
  std::vector<std::string> prepared_statements_;
  std::atomic<bool> stop_requested_{false};
};

}  // namespace rookproxy::test
