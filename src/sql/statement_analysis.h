// What a statement does and which schemas it touches, for authorization.
#pragma once

#include <string_view>

#include "policy/statement_analysis.h"
#include "sql/ambiguity.h"

namespace rookproxy::sql {

// Parses a known part of MySQL's grammar strictly: whatever is not known makes the tables unresolved, and is
// never guessed. `default_schema` is the session's, for tables whose schema is not written.
[[nodiscard]] policy::StatementAnalysis analyze_statement(std::string_view statement,
                                                          std::string_view default_schema, Dialect dialect);

}  // namespace rookproxy::sql
