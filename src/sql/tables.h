// What a statement does and which schemas it touches, for who decides on rights. It reads a known part of
// MySQL's grammar strictly: whatever it does not know is said to be unknown, never guessed.
#pragma once

#include <string_view>

#include "policy/statement_analysis.h"

namespace rookproxy::sql {

enum class Dialect {
  kMysql,  // the engine reads as MySQL does in its usual mode
  kAny     // the engine is not known: what dialects read differently is unknown
};
// `schema` is the session's default, for tables that carry no schema's name.
policy::StatementAnalysis analyze_statement(std::string_view statement, std::string_view schema,
                                            Dialect dialect);

}  // namespace rookproxy::sql
