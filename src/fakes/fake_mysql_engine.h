// An engine for tests that speaks the MySQL protocol.
#pragma once

#include <cstdint>
#include <string>
#include <thread>
#include <vector>

#include "fakes/fake_mysql_engine_state.h"
#include "net/file_descriptor.h"
#include "net/socket_address.h"
#include "net/sockets.h"

namespace rookproxy::test {

// Listens on 127.0.0.1 and serves every connection on its own thread. StatementBehavior describes the words
// in a statement that control the response. The account is rookproxy with the password engine-secret.
// Thread-safe.
class FakeMysqlEngine {
 public:
  FakeMysqlEngine();
  ~FakeMysqlEngine();
  FakeMysqlEngine(const FakeMysqlEngine&) = delete;
  FakeMysqlEngine& operator=(const FakeMysqlEngine&) = delete;

  [[nodiscard]] std::uint16_t port() const { return local_port(listener_); }

  // Returns the executed statements in order. A prepared statement is followed by " <-" and its parameters.
  [[nodiscard]] std::vector<std::string> executed_statements() { return state_.executed_statements(); }
  // Returns the prepared statements in order.
  [[nodiscard]] std::vector<std::string> prepared_statements() { return state_.prepared_statements(); }

 private:
  void accept_connections();

  FakeMysqlEngineState state_;
  FileDescriptor listener_;
  std::vector<std::thread> session_threads_;  // modified only by accept_thread_
  std::thread accept_thread_;
};

// Returns the number of executions after the first one, summed over all distinct statements.
[[nodiscard]] std::size_t count_repeated_executions(const std::vector<std::string>& executed);

}  // namespace rookproxy::test
