// Classifies the error codes of MySQL servers and decides how an attempt ended that received one.
#pragma once

#include <cstdint>

#include "policy/execution_evidence.h"
#include "rookproxy/routing/router.h"

namespace rookproxy {

// What an engine's error code says. A procedure can end with any of them after some of its statements have
// run, so the code alone does not tell whether the attempt ran.
enum class MysqlErrorClass {
  // The statement itself is at fault; any other engine would report the same error.
  kStatement,
  // The engine can't run anything now.
  kOverloaded,
  // The engine failed.
  kEngineFault,
  // The engine no longer knows the prepared statement, or has to prepare it again.
  kUnknownStatement,
};

// Returns the class of a server's error code. Code 0 stands for an error packet that could not be parsed.
[[nodiscard]] MysqlErrorClass classify_mysql_error(std::uint16_t code);

// The attempt that received an error.
struct FailedMysqlAttempt {
  policy::AttemptProgress progress = policy::AttemptProgress::kRequested;
  // Whether it executes a statement that was prepared on the same connection.
  bool executes_prepared_statement = false;
  // Whether its request may run any number of times.
  bool is_idempotent = false;
};
// Returns the outcome of the attempt. kServed means that the client receives the engine's error.
[[nodiscard]] routing::Outcome outcome_of_mysql_error(MysqlErrorClass error,
                                                      const FailedMysqlAttempt& attempt);

}  // namespace rookproxy
