// What the error codes of a MySQL server say about the attempt that got them.
#pragma once

#include <cstdint>

namespace rookproxy {

// What is to be concluded from an error of an engine.
enum class MysqlErrorClass {
  kStatement,         // it has judged the statement, and any other engine would judge it so
  kOverloaded,        // it is in no state to run anything now, and has run nothing
  kEngineFault,       // it failed while it ran the statement
  kUnknownStatement,  // it no longer knows the prepared statement: nothing ran, and another attempt prepares
                      // anew
};

// The class of a server's error code; 0 stands for an error that could not be read.
[[nodiscard]] MysqlErrorClass classify_mysql_error(std::uint16_t code);

}  // namespace rookproxy
