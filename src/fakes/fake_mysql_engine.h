/// An engine for tests that speaks the MySQL protocol.
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

/// Listens on 127.0.0.1 and serves every connection on a thread of its own; StatementBehavior says what words
/// in a statement do. The account is rookproxy, with the password engine-secret. Its functions may be called
/// from any thread.
class FakeMysqlEngine {
 public:
  FakeMysqlEngine();
  ~FakeMysqlEngine();
  FakeMysqlEngine(const FakeMysqlEngine&) = delete;
  FakeMysqlEngine& operator=(const FakeMysqlEngine&) = delete;

  [[nodiscard]] std::uint16_t port() const { return local_port(listener_); }

  /// The statements that ran, in their order; a prepared one is followed by " <-" and its parameters.
  [[nodiscard]] std::vector<std::string> executed_statements() { return state_.executed_statements(); }
  /// The statements that were prepared, in their order.
  [[nodiscard]] std::vector<std::string> prepared_statements() { return state_.prepared_statements(); }

 private:
  void accept_connections();

  FakeMysqlEngineState state_;
  FileDescriptor listener_;
  std::vector<std::thread> session_threads_;  // filled by accept_thread_ alone
  std::thread accept_thread_;
};

/// How often a statement was executed after its first run, summed over all distinct statements.
[[nodiscard]] std::size_t count_repeated_executions(const std::vector<std::string>& executed);

}  // namespace rookproxy::test
