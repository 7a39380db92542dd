#include "sql/query_parser.h"

#include <array>
#include <utility>

#include "policy/statement_analysis.h"
#include "sql/functions.h"

namespace rookproxy::sql {
namespace {

using Kind = Token::Kind;
using policy::kSessionSchema;

// Limits the stack that nested statements can use.
constexpr int kMaxDepth = 64;

// Words that continue the clause and therefore cannot be the name or alias of a table.
// clang-format off
constexpr auto kReservedWords = std::to_array<std::string_view>({
    "WHERE", "GROUP", "HAVING", "ORDER", "LIMIT", "UNION", "EXCEPT", "INTERSECT", "FOR", "LOCK", "WINDOW",
    "PROCEDURE", "INTO", "SET", "ON", "USING", "JOIN", "INNER", "CROSS", "LEFT", "RIGHT", "NATURAL",
    "STRAIGHT_JOIN", "PARTITION", "USE", "FORCE", "IGNORE", "SELECT", "FROM", "VALUES", "VALUE", "AS",
    "LATERAL", "WITH", "TABLE", "OUTER", "FULL", "TABLESAMPLE", "FETCH", "OFFSET", "RETURNING", "WHEN",
    "AND", "OR", "NOT", "UPDATE", "DELETE", "INSERT", "REPLACE", "DUAL", "CASE", "EXISTS", "IN", "LIKE",
    "BY", "SYSTEM", "PIVOT", "UNPIVOT", "APPLY", "MATCH_RECOGNIZE", "ONLY", "QUALIFY", "ASOF", "ANTI",
    "SEMI", "POSITIONAL", "LOAD", "CALL", "DO"});
// clang-format on

// Words that start another kind of statement or table and are not allowed in an expression.
constexpr auto kWordsOfOtherStatements =
    std::to_array<std::string_view>({"INTO", "TABLE", "DELETE", "INSERT", "REPLACE", "CALL", "LOAD", "DO",
                                     "HANDLER", "PROCEDURE", "TABLESAMPLE"});

// Functions whose arguments may be separated by FROM.
constexpr auto kFunctionsWithFrom =
    std::to_array<std::string_view>({"TRIM", "EXTRACT", "SUBSTRING", "SUBSTR"});

bool is_mark_or_string(const Token& token) {
  return token.kind == Kind::kEnd || token.kind == Kind::kMark || token.kind == Kind::kString;
}

}  // namespace

QueryParser::DepthGuard::DepthGuard(QueryParser& parser) : parser_(parser) {
  if (++parser_.depth_ > kMaxDepth) throw UnresolvedStatementError("it is nested too deep");
}

// ---- names

void QueryParser::add_schema(const Token& name) {
  const std::string schema = identifier_name(name);
  // Servers have no schema without a name, and here it would stand for the session's schema.
  if (schema == kSessionSchema) throw UnresolvedStatementError("an empty name");
  schemas_.add(schema);
}

bool QueryParser::has_name() const {
  if (cursor_.peek().kind == Kind::kQuotedName) return true;
  return cursor_.peek().kind == Kind::kWord && !has_reserved_word();
}

bool QueryParser::has_reserved_word() const { return is_any_word(cursor_.peek(), kReservedWords); }

// ---- expressions

void QueryParser::parse_expression() { parse_expression(FromWord::kEndsExpression); }

void QueryParser::parse_expression(FromWord from_word) {
  const DepthGuard depth(*this);
  while (!cursor_.at_end()) {
    if (cursor_.has_mark(')') || cursor_.has_mark(';') || cursor_.has_mark('\0')) return;
    if (cursor_.has_mark('(')) {
      parse_parentheses();
      continue;
    }
    if (has_set_operator() && in_parentheses_) {
      parse_set_operator();
      if (starts_query()) parse_query();
      continue;
    }
    if (cursor_.peek().kind == Kind::kWord && ends_expression(from_word)) return;
    if (has_word_of_other_statement()) cursor_.throw_unexpected();
    parse_operand();
  }
}

bool QueryParser::ends_expression(FromWord from_word) const {
  if (cursor_.has_word("FROM")) return from_word == FromWord::kEndsExpression;
  if (cursor_.has_any_word("SELECT", "UNION", "EXCEPT", "INTERSECT", "JOIN", "INNER", "CROSS", "NATURAL",
                           "STRAIGHT_JOIN", "WITH", "RETURNING", "UPDATE")) {
    return true;
  }
  // Followed by a parenthesis, these are functions.
  if (cursor_.has_any_word("LEFT", "RIGHT") && !cursor_.has_mark('(', 1)) return true;
  return stop_at_where_ &&
         cursor_.has_any_word("WHERE", "GROUP", "HAVING", "ORDER", "LIMIT", "SET", "WINDOW");
}

bool QueryParser::has_word_of_other_statement() const {
  if (!is_any_word(cursor_.peek(), kWordsOfOtherStatements)) return false;
  const bool is_function = cursor_.has_any_word("REPLACE", "INSERT") && cursor_.has_mark('(', 1);
  return !is_function;
}

// Parses one token, or a name with its qualifiers or arguments.
void QueryParser::parse_operand() {
  const Token first = cursor_.peek();
  if (first.kind == Kind::kString) {
    // In some SQL modes this is a name in double quotes.
    if (cursor_.has_mark('.', 1) || cursor_.has_mark('(', 1)) cursor_.throw_unexpected();
    cursor_.skip();
    return;
  }
  cursor_.skip();
  if (!is_identifier(first)) return;
  if (cursor_.has_mark('(')) return parse_call(first);
  if (cursor_.has_mark('.')) parse_qualified_name(first);
}

void QueryParser::parse_call(const Token& function) {
  if (function.kind == Kind::kWord && is_keyword_before_parenthesis(function)) return;
  if (function.kind == Kind::kQuotedName || !is_side_effect_free_call(function, cursor_.peek())) {
    throw UnresolvedStatementError("it calls '" + excerpt(function) + "', which may read anything");
  }
  const bool may_have_from = is_any_word(function, kFunctionsWithFrom);
  parse_parentheses(may_have_from ? FromWord::kIsOperand : FromWord::kEndsExpression);
}

// "a.b" is a column of a table that is listed in FROM, "a.b.c" a column qualified with a schema, and "a.b(" a
// call of a function in a schema.
void QueryParser::parse_qualified_name(const Token& first) {
  cursor_.skip();
  if (cursor_.take_mark('*')) return;
  if (is_mark_or_string(cursor_.peek())) cursor_.throw_unexpected();
  cursor_.skip();
  if (cursor_.has_mark('(')) {
    throw UnresolvedStatementError("it calls a function of '" + excerpt(first) + "'");
  }
  if (!cursor_.take_mark('.')) return;
  if (!cursor_.has_mark('*') && is_mark_or_string(cursor_.peek())) cursor_.throw_unexpected();
  cursor_.skip();
  add_schema(first);
}

void QueryParser::parse_parentheses() { parse_parentheses(FromWord::kEndsExpression); }

void QueryParser::parse_parentheses(FromWord from_word) {
  const DepthGuard depth(*this);
  cursor_.expect_mark('(');
  const bool outer_stop_at_where = std::exchange(stop_at_where_, false);
  const bool outer_in_parentheses = std::exchange(in_parentheses_, true);
  if (starts_query()) {
    parse_query();
  } else {
    parse_expression(from_word);
  }
  stop_at_where_ = outer_stop_at_where;
  in_parentheses_ = outer_in_parentheses;
  cursor_.expect_mark(')');
}

bool QueryParser::has_set_operator() const { return cursor_.has_any_word("UNION", "EXCEPT", "INTERSECT"); }

void QueryParser::parse_set_operator() {
  cursor_.skip();
  if (!cursor_.take_word("ALL")) cursor_.take_word("DISTINCT");
}

// ---- queries

bool QueryParser::starts_query() const {
  if (cursor_.has_any_word("SELECT", "WITH", "TABLE")) return true;
  return cursor_.has_word("VALUES") && cursor_.has_word("ROW", 1);
}

void QueryParser::parse_query() {
  const DepthGuard depth(*this);
  const CommonTableScopes::Scope scope = common_tables_.begin_scope();
  if (cursor_.has_word("WITH")) parse_with();
  parse_query_body();
  common_tables_.end_scope(scope);
}

void QueryParser::parse_with() {
  cursor_.expect_word("WITH");
  const bool is_recursive = cursor_.take_word("RECURSIVE");
  do {
    if (!has_name()) cursor_.throw_unexpected();
    const std::string name = identifier_name(cursor_.peek());
    cursor_.skip();
    if (cursor_.has_mark('(')) parse_parentheses();
    cursor_.expect_word("AS");
    if (is_recursive) common_tables_.define(name);
    cursor_.expect_mark('(');
    if (!starts_query()) cursor_.throw_unexpected();
    parse_query();
    cursor_.expect_mark(')');
    if (!is_recursive) common_tables_.define(name);
  } while (cursor_.take_mark(','));
}

void QueryParser::parse_query_body() {
  const DepthGuard depth(*this);
  const bool outer_stop_at_where = std::exchange(stop_at_where_, false);
  for (;;) {
    parse_query_term();
    parse_trailing_clauses();
    if (!has_set_operator()) break;
    parse_set_operator();
  }
  stop_at_where_ = outer_stop_at_where;
}

void QueryParser::parse_query_term() {
  if (cursor_.take_mark('(')) {
    parse_query();
    cursor_.expect_mark(')');
  } else if (cursor_.take_word("TABLE")) {
    parse_table(true);
  } else if (cursor_.take_word("VALUES")) {
    parse_expression();
  } else {
    cursor_.expect_word("SELECT");
    parse_clause_expression();
    if (cursor_.take_word("FROM") && !cursor_.take_word("DUAL")) parse_table_references();
  }
}

void QueryParser::parse_clause_expression() {
  const bool outer_in_parentheses = std::exchange(in_parentheses_, false);
  parse_expression();
  in_parentheses_ = outer_in_parentheses;
}

// Accepts known clauses only: any other word after a list of tables could start an unknown form of table.
void QueryParser::parse_trailing_clauses() {
  if (cursor_.has_any_word("WHERE", "GROUP", "HAVING", "ORDER", "LIMIT", "WINDOW")) parse_clause_expression();
}

// ---- tables

void QueryParser::parse_table(bool may_be_common_table) {
  if (!has_name()) cursor_.throw_unexpected();
  const Token first = cursor_.peek();
  cursor_.skip();
  if (!cursor_.take_mark('.')) {
    if (may_be_common_table && common_tables_.contains(identifier_name(first))) return;
    // A name that starts with a digit, such as "17.t", has another kind of token.
    return schemas_.add(kSessionSchema);
  }
  if (!is_identifier(cursor_.peek()) && cursor_.peek().kind != Kind::kNumber) cursor_.throw_unexpected();
  cursor_.skip();
  if (cursor_.has_mark('.')) throw UnresolvedStatementError("a name of three parts");
  add_schema(first);
}

void QueryParser::parse_table_references() {
  const DepthGuard depth(*this);
  const bool outer_stop_at_where = std::exchange(stop_at_where_, true);
  do {
    parse_table_factor();
    parse_joins();
  } while (cursor_.take_mark(','));
  stop_at_where_ = outer_stop_at_where;
}

void QueryParser::parse_joins() {
  while (take_join()) {
    parse_table_factor();
    if (cursor_.take_word("ON")) {
      parse_join_condition();
    } else if (cursor_.take_word("USING")) {
      parse_parentheses();
    }
  }
}

bool QueryParser::take_join() {
  cursor_.take_word("NATURAL");
  if (cursor_.has_any_word("LEFT", "RIGHT")) {
    cursor_.skip();
    cursor_.take_word("OUTER");
    cursor_.expect_word("JOIN");
    return true;
  }
  if (cursor_.has_any_word("INNER", "CROSS")) {
    cursor_.skip();
    cursor_.expect_word("JOIN");
    return true;
  }
  return cursor_.take_word("JOIN") || cursor_.take_word("STRAIGHT_JOIN");
}

// Parses the condition after ON up to a comma of the list, a join, or the end of the clause.
void QueryParser::parse_join_condition() {
  const DepthGuard depth(*this);
  while (!cursor_.at_end() && !cursor_.has_mark(',') && !cursor_.has_mark(')') && !cursor_.has_mark(';')) {
    if (cursor_.has_mark('(')) {
      parse_parentheses();
      continue;
    }
    if (cursor_.peek().kind == Kind::kWord && ends_expression(FromWord::kEndsExpression)) return;
    if (cursor_.has_any_word("ON", "USING", "INTO", "TABLE", "DELETE", "INSERT", "CALL", "LOAD")) return;
    parse_operand();
  }
}

void QueryParser::parse_table_factor() {
  const DepthGuard depth(*this);
  const bool is_lateral = cursor_.take_word("LATERAL");
  if (cursor_.take_mark('(')) return parse_parenthesized_tables(is_lateral);
  if (is_lateral) cursor_.throw_unexpected();
  parse_table(true);
  if (cursor_.has_mark('(')) cursor_.throw_unexpected();  // a table function
  if (cursor_.take_word("PARTITION")) parse_parentheses();
  parse_alias();
  while (cursor_.has_any_word("USE", "FORCE", "IGNORE")) parse_index_hint();
}

void QueryParser::parse_parenthesized_tables(bool is_lateral) {
  if (starts_query()) {
    parse_query();
  } else {
    // Tables, or a parenthesized query that set operators combine with other queries.
    if (is_lateral) cursor_.throw_unexpected();
    parse_table_references();
    while (has_set_operator()) {
      parse_set_operator();
      parse_query();
    }
    parse_trailing_clauses();
  }
  cursor_.expect_mark(')');
  parse_alias();
}

void QueryParser::parse_alias() {
  if (cursor_.take_word("AS")) {
    if (!has_name()) cursor_.throw_unexpected();
    cursor_.skip();
  } else if (has_name()) {
    cursor_.skip();
  } else {
    return;
  }
  if (cursor_.has_mark('.')) cursor_.throw_unexpected();
  if (cursor_.has_mark('(')) parse_parentheses();  // column names
}

void QueryParser::parse_index_hint() {
  cursor_.skip();
  if (!cursor_.take_word("INDEX")) cursor_.expect_word("KEY");
  if (cursor_.take_word("FOR") && !cursor_.take_word("JOIN")) {
    if (!cursor_.take_word("ORDER")) cursor_.expect_word("GROUP");
    cursor_.expect_word("BY");
  }
  parse_parentheses();
  cursor_.take_mark(',');
}

}  // namespace rookproxy::sql
