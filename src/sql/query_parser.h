// Parses queries and expressions and collects the schemas that they access.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "sql/common_table_scopes.h"
#include "sql/name_set.h"
#include "sql/token_cursor.h"

namespace rookproxy::sql {

// A recursive-descent parser for a subset of MySQL's grammar. Each function starts at the cursor's position,
// moves past the text that it has parsed, and throws UnresolvedStatementError for anything outside the
// subset. The cursor must outlive the parser.
class QueryParser {
 public:
  explicit QueryParser(TokenCursor& cursor) : cursor_(cursor) {}

  // Returns whether a query that is not in parentheses starts here.
  [[nodiscard]] bool starts_query() const;
  void parse_query();
  // Parses the WITH clause only. Its names remain defined until the parser is destroyed.
  void parse_with();
  // Parses up to the word or mark that ends the clause, including subqueries.
  void parse_expression();
  void parse_parentheses();
  // Parses the list of tables that follows FROM, with joins.
  void parse_table_references();
  // Parses one table of such a list, with its alias and index hints.
  void parse_table_factor();
  // Parses WHERE and the clauses that follow it.
  void parse_trailing_clauses();
  // Parses the name of a stored table, which cannot refer to a name defined by WITH.
  void parse_stored_table() { parse_table(false); }

  // Returns whether the next token can be the name or alias of a table.
  [[nodiscard]] bool has_name() const;
  // Records the schema that an identifier names.
  void add_schema(const Token& name);
  // Returns the recorded schemas in the order of their first use. Tables that are not qualified with a schema
  // belong to policy::kSessionSchema.
  [[nodiscard]] std::vector<std::string> schemas() const { return schemas_.to_vector(); }

 private:
  // Whether FROM ends an expression or is part of a function's arguments, as in TRIM(a FROM b).
  enum class FromWord { kEndsExpression, kIsOperand };

  // Limits the depth of recursion.
  class DepthGuard {
   public:
    explicit DepthGuard(QueryParser& parser);
    ~DepthGuard() { --parser_.depth_; }
    DepthGuard(const DepthGuard&) = delete;
    DepthGuard& operator=(const DepthGuard&) = delete;

   private:
    QueryParser& parser_;
  };

  [[nodiscard]] bool has_reserved_word() const;
  [[nodiscard]] bool has_set_operator() const;
  [[nodiscard]] bool ends_expression(FromWord from_word) const;
  [[nodiscard]] bool has_word_of_other_statement() const;

  void parse_expression(FromWord from_word);
  void parse_parentheses(FromWord from_word);
  void parse_operand();
  void parse_call(const Token& function);
  void parse_qualified_name(const Token& first);
  void parse_set_operator();

  void parse_query_body();
  void parse_query_term();
  void parse_clause_expression();

  void parse_table(bool may_be_common_table);
  void parse_joins();
  bool take_join();
  void parse_join_condition();
  void parse_parenthesized_tables(bool is_lateral);
  void parse_alias();
  void parse_index_hint();

  TokenCursor& cursor_;
  int depth_ = 0;
  // Within the parentheses of an expression, where set operators combine parenthesized queries.
  bool in_parentheses_ = false;
  // Within a list of tables, where WHERE and the clauses after it end an expression.
  bool stop_at_where_ = false;
  CommonTableScopes common_tables_;
  NameSet schemas_;
};

}  // namespace rookproxy::sql
