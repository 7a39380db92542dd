// Determines a statement's effect and the schemas that it accesses, for authorization.
#pragma once

#include <string_view>

#include "policy/statement_analysis.h"
#include "sql/ambiguity.h"

namespace rookproxy::sql {

// Parses a subset of MySQL's grammar strictly. A statement outside the subset has unresolved tables, because
// a wrong guess could grant access.
[[nodiscard]] policy::StatementAnalysis analyze_statement(std::string_view statement, Dialect dialect);

}  // namespace rookproxy::sql
