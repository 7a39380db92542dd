// State shared by the connections of a fake MySQL engine.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace rookproxy::test {

// The engine's connections by id, and the statements that ran on them. Thread-safe.
class FakeMysqlEngineState {
 public:
  using KillFlag = std::shared_ptr<std::atomic<bool>>;

  // The id of a new connection, and the flag that KILL QUERY sets.
  struct Registration {
    std::uint32_t connection_id;
    KillFlag kill_flag;
  };
  [[nodiscard]] Registration register_connection(std::uint16_t client_port);

  // Returns whether a connection has this id and comes from this port.
  [[nodiscard]] bool has_connection(std::uint32_t connection_id, std::uint16_t client_port);

  // Requests the connection to end its statement. Does nothing if the id is unknown.
  void kill_query(std::uint32_t connection_id);

  void record_executed(const std::string& statement);
  void record_prepared(const std::string& statement);
  [[nodiscard]] std::vector<std::string> executed_statements();
  [[nodiscard]] std::vector<std::string> prepared_statements();

  // Requests all connections to end. They poll the flag every few milliseconds.
  void request_stop() { stop_requested_ = true; }
  [[nodiscard]] bool is_stop_requested() const { return stop_requested_; }

 private:
  std::mutex mutex_;
  std::uint32_t next_connection_id_ = 1;
  std::map<std::uint32_t, KillFlag> kill_flags_;
  std::map<std::uint32_t, std::uint16_t> client_ports_;
  std::vector<std::string> executed_statements_;
  std::vector<std::string> prepared_statements_;
  std::atomic<bool> stop_requested_{false};
};

}  // namespace rookproxy::test
