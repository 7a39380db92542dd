// Reads from a statement what the dispatcher needs to route it, apart from the rights that it requires.
#pragma once

#include <string_view>

#include "sql/table_group.h"

namespace rookproxy::sql {

// What follows from a statement's text alone. Reading it takes time in proportion to the text, so the facts
// of a prepared statement are kept with it.
struct StatementFacts {
  bool is_read_only = false;
  bool commits_implicitly = false;
  TableGroups table_groups;
};
[[nodiscard]] StatementFacts read_statement_facts(std::string_view statement);

}  // namespace rookproxy::sql
