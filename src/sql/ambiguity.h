// Finds places that servers, or their modes, split into tokens differently, so that what runs may not be what
// tokenize() shows.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace rookproxy::sql {

// How an engine reads a statement.
enum class Dialect {
  kMysql,  // as MySQL does in its default mode
  kAny     // not known: whatever dialects read differently is ambiguous
};

// A description of the first ambiguous place, or nothing if there is none.
[[nodiscard]] std::optional<std::string> find_ambiguity(std::string_view statement, Dialect dialect);

}  // namespace rookproxy::sql
