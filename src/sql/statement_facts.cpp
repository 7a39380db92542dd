#include "sql/statement_facts.h"

#include "sql/session_statement.h"
#include "sql/statement_class.h"

namespace rookproxy::sql {

StatementFacts read_statement_facts(std::string_view statement) {
  return {is_read_only(statement), commits_implicitly(statement), find_table_groups(statement)};
}

}  // namespace rookproxy::sql
