// Classifies the error codes of MySQL servers.
#pragma once

#include <cstdint>

namespace rookproxy {

// What an engine's error means for the attempt that received it.
enum class MysqlErrorClass {
  // The statement itself is at fault; any other engine would report the same error.
  kStatement,
  // The engine can't run anything now and has run nothing.
  kOverloaded,
  // The engine failed while it ran the statement.
  kEngineFault,
  // The engine no longer knows the prepared statement. Nothing ran, and another attempt prepares it again.
  kUnknownStatement,
};

// Returns the class of a server's error code. Code 0 stands for an error packet that could not be parsed.
[[nodiscard]] MysqlErrorClass classify_mysql_error(std::uint16_t code);

}  // namespace rookproxy
