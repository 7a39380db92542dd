// Detects text that servers or SQL modes split into tokens differently, so that the statement that the server
// runs may differ from the tokens that tokenize() returns.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace rookproxy::sql {

// The lexical rules by which an engine reads a statement.
enum class Dialect {
  kMysql,  // MySQL in its default mode
  kAny     // unknown; text that dialects read differently is ambiguous
};

// Returns a description of the first ambiguity in the statement, or nothing if there is none.
[[nodiscard]] std::optional<std::string> find_ambiguity(std::string_view statement, Dialect dialect);

}  // namespace rookproxy::sql
