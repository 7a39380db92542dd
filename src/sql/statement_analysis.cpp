#include "sql/statement_analysis.h"

#include <string>
#include <vector>

#include "sql/query_parser.h"
#include "sql/statement_class.h"
#include "sql/token_cursor.h"

namespace rookproxy::sql {
namespace {

using policy::StatementAnalysis;
using policy::StatementEffect;

// Parses whole statements and delegates queries and expressions to QueryParser.
class StatementParser {
 public:
  // The statement must outlive the parser.
  explicit StatementParser(std::string_view statement)
      : cursor_(statement, TokenCursor::FinalSemicolons::kIgnored), query_(cursor_) {}

  // Throws UnresolvedStatementError if the statement is outside the supported grammar.
  std::vector<std::string> parse_schemas() {
    if (cursor_.at_end()) throw UnresolvedStatementError("nothing to run");
    parse_statement();
    if (!cursor_.at_end()) cursor_.throw_unexpected();
    return query_.schemas();
  }

 private:
  void parse_statement();
  void parse_query_or_with();
  void parse_explain();
  void parse_show();
  void skip_modifiers();
  void parse_insert();
  void parse_update();
  void parse_delete();
  void parse_delete_from();
  void parse_deleted_names();
  void parse_truncate();
  void parse_create_table();
  void parse_column_definitions();
  void parse_drop_table();

  TokenCursor cursor_;
  QueryParser query_;
};

void StatementParser::parse_statement() {
  if (cursor_.has_any_word("SELECT", "WITH", "TABLE", "VALUES") || cursor_.has_mark('(')) {
    return parse_query_or_with();
  }
  if (cursor_.take_word("EXPLAIN") || cursor_.has_any_word("DESC", "DESCRIBE")) return parse_explain();
  if (cursor_.take_word("SHOW")) return parse_show();
  if (cursor_.take_word("INSERT") || cursor_.take_word("REPLACE")) return parse_insert();
  if (cursor_.take_word("UPDATE")) return parse_update();
  if (cursor_.take_word("DELETE")) return parse_delete();
  if (cursor_.take_word("TRUNCATE")) return parse_truncate();
  if (cursor_.has_word("CREATE") && cursor_.has_word("TABLE", 1)) return parse_create_table();
  if (cursor_.has_word("DROP") && cursor_.has_word("TABLE", 1)) return parse_drop_table();
  throw UnresolvedStatementError("'" + excerpt(cursor_.peek()) +
                                 "' is not a statement whose tables are made out here");
}

void StatementParser::parse_query_or_with() {
  if (cursor_.has_word("WITH")) {
    query_.parse_with();
    if (cursor_.has_any_word("UPDATE", "DELETE")) return parse_statement();
  }
  query_.parse_query();
}

void StatementParser::parse_explain() {
  if (cursor_.has_any_word("DESC", "DESCRIBE")) cursor_.skip();
  cursor_.take_word("ANALYZE");
  if (cursor_.take_word("FORMAT")) {
    cursor_.expect_mark('=');
    cursor_.skip();
  }
  if (cursor_.has_any_word("SELECT", "WITH", "TABLE", "INSERT", "REPLACE", "UPDATE", "DELETE") ||
      cursor_.has_mark('(')) {
    return parse_statement();
  }
  query_.parse_stored_table();
  if (!cursor_.at_end()) cursor_.skip();  // a column name or pattern
}

// Accepts only forms of SHOW that concern the server itself and reveal no tenant's data.
void StatementParser::parse_show() {
  if (!cursor_.take_word("GLOBAL") && !cursor_.take_word("SESSION")) cursor_.take_word("LOCAL");
  if (cursor_.take_word("CHARACTER")) {
    cursor_.expect_word("SET");
  } else if (cursor_.has_any_word("VARIABLES", "STATUS", "COLLATION", "CHARSET", "ENGINES", "PLUGINS")) {
    cursor_.skip();
  } else {
    throw UnresolvedStatementError("SHOW names data of others, too");
  }
  if (cursor_.take_word("LIKE")) {
    if (cursor_.peek().kind != Token::Kind::kString) cursor_.throw_unexpected();
    cursor_.skip();
  } else if (cursor_.take_word("WHERE")) {
    query_.parse_expression();
  }
}

void StatementParser::skip_modifiers() {
  while (cursor_.has_any_word("LOW_PRIORITY", "DELAYED", "HIGH_PRIORITY", "IGNORE", "QUICK")) cursor_.skip();
}

void StatementParser::parse_insert() {
  skip_modifiers();
  cursor_.take_word("INTO");
  query_.parse_stored_table();
  if (cursor_.take_word("PARTITION")) query_.parse_parentheses();
  const bool query_follows =
      cursor_.has_mark('(') &&
      (cursor_.has_word("SELECT", 1) || cursor_.has_word("WITH", 1) || cursor_.has_mark('(', 1));
  if (cursor_.has_mark('(') && !query_follows) query_.parse_parentheses();  // column names
  if (cursor_.has_any_word("SELECT", "WITH", "TABLE") || cursor_.has_mark('(')) {
    query_.parse_query();
  } else if (cursor_.take_word("VALUES") || cursor_.take_word("VALUE") || cursor_.take_word("SET")) {
    query_.parse_expression();
  } else {
    cursor_.throw_unexpected();
  }
  // The expression ends at UPDATE, which must follow "DUPLICATE KEY".
  if (!cursor_.has_word("UPDATE")) return;
  const bool is_on_duplicate_key =
      is_word(cursor_.previous(1), "KEY") && is_word(cursor_.previous(2), "DUPLICATE");
  if (!is_on_duplicate_key) cursor_.throw_unexpected();
  cursor_.skip();
  query_.parse_expression();
}

void StatementParser::parse_update() {
  skip_modifiers();
  query_.parse_table_references();
  cursor_.expect_word("SET");
  query_.parse_expression();
}

void StatementParser::parse_delete() {
  skip_modifiers();
  if (cursor_.take_word("FROM")) {
    parse_delete_from();
  } else {
    parse_deleted_names();
    cursor_.expect_word("FROM");
    query_.parse_table_references();
  }
  query_.parse_trailing_clauses();
}

// Parses "DELETE FROM a, b USING tables", or one table and a condition.
void StatementParser::parse_delete_from() {
  const TokenCursor first_table = cursor_;
  do {
    query_.parse_stored_table();
    if (cursor_.take_mark('.')) cursor_.expect_mark('*');
  } while (cursor_.take_mark(','));
  if (cursor_.take_word("USING")) {
    query_.parse_table_references();
  } else {
    cursor_ = first_table;
    query_.parse_table_factor();
  }
}

// Parses names or aliases of tables listed in FROM. A name qualified with a schema is a table itself.
void StatementParser::parse_deleted_names() {
  do {
    if (!query_.has_name()) cursor_.throw_unexpected();
    const Token name = cursor_.peek();
    cursor_.skip();
    if (!cursor_.take_mark('.')) continue;
    if (cursor_.take_mark('*')) continue;
    if (!query_.has_name()) cursor_.throw_unexpected();
    cursor_.skip();
    query_.add_schema(name);
    if (cursor_.take_mark('.')) cursor_.expect_mark('*');
  } while (cursor_.take_mark(','));
}

void StatementParser::parse_truncate() {
  cursor_.take_word("TABLE");
  query_.parse_stored_table();
}

void StatementParser::parse_create_table() {
  cursor_.skip(2);
  if (cursor_.take_word("IF")) {
    cursor_.expect_word("NOT");
    cursor_.expect_word("EXISTS");
  }
  query_.parse_stored_table();
  if (cursor_.take_word("LIKE")) return query_.parse_stored_table();
  if (cursor_.has_mark('(')) parse_column_definitions();
  for (; !cursor_.at_end() && !cursor_.has_any_word("SELECT", "WITH"); cursor_.skip()) {
    const bool may_name_data =
        cursor_.has_any_word("UNION", "CONNECTION", "DIRECTORY", "TABLE", "LIKE", "REFERENCES");
    if (may_name_data || cursor_.has_mark('(')) cursor_.throw_unexpected();
  }
  if (!cursor_.at_end()) query_.parse_query();
}

// Skips to the closing parenthesis and rejects words that could refer to another table.
void StatementParser::parse_column_definitions() {
  for (int open_parentheses = 0; !cursor_.at_end(); cursor_.skip()) {
    if (cursor_.has_mark('(')) ++open_parentheses;
    if (cursor_.has_mark(')') && --open_parentheses == 0) break;
    if (cursor_.has_any_word("REFERENCES", "LIKE", "SELECT", "UNION", "CONNECTION")) {
      cursor_.throw_unexpected();
    }
  }
  cursor_.expect_mark(')');
}

void StatementParser::parse_drop_table() {
  cursor_.skip(2);
  if (cursor_.take_word("IF")) cursor_.expect_word("EXISTS");
  do {
    query_.parse_stored_table();
  } while (cursor_.take_mark(','));
}

}  // namespace

StatementAnalysis analyze_statement(std::string_view statement, Dialect dialect) {
  StatementAnalysis analysis;
  if (const auto ambiguity = find_ambiguity(statement, dialect)) {
    // The effect remains kWrites, because the ambiguous text could hide a write.
    analysis.unresolved_reason = *ambiguity;
    return analysis;
  }
  analysis.effect = is_read_only(statement) ? StatementEffect::kReads : StatementEffect::kWrites;
  try {
    analysis.schemas = StatementParser(statement).parse_schemas();
    analysis.tables_resolved = true;
  } catch (const UnresolvedStatementError& error) {
    analysis.unresolved_reason = error.what();
  }
  return analysis;
}

}  // namespace rookproxy::sql
