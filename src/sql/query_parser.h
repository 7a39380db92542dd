// Collects the schemas that queries and expressions touch.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "sql/token_cursor.h"

namespace rookproxy::sql {

// A recursive-descent parser for a known part of MySQL's grammar. Each function starts at the cursor's
// position, moves behind what it has read, and throws UnresolvedStatementError at whatever it does not know.
// The cursor must outlive the parser.
class QueryParser {
 public:
  // `default_schema` stands for tables whose schema is not written.
  QueryParser(TokenCursor& cursor, std::string_view default_schema)
      : cursor_(cursor), default_schema_(default_schema) {}

  // Whether a query without parentheses around it starts here.
  [[nodiscard]] bool starts_query() const;
  void parse_query();
  // The WITH clause alone. Its names stay known until the parser is destroyed.
  void parse_with();
  // Up to the word or mark that ends the clause; subqueries are parsed.
  void parse_expression();
  void parse_parentheses();
  // The list of tables behind FROM, with joins.
  void parse_table_references();
  // One table of such a list, with its alias and index hints.
  void parse_table_factor();
  // WHERE and what follows it.
  void parse_trailing_clauses();
  // A table where one must stand, whatever names WITH has defined.
  void parse_stored_table() { parse_table(false); }

  // Whether an identifier is next that can be a table's name or alias.
  [[nodiscard]] bool has_name() const;
  // Records a schema, once.
  void add_schema(const std::string& schema);
  [[nodiscard]] const std::vector<std::string>& schemas() const { return schemas_; }

 private:
  // Within a function's own parentheses FROM may be one of its words, as in TRIM(a FROM b).
  enum class FromWord { kEndsExpression, kIsOperand };

  // Bounds the depth of recursion.
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
  [[nodiscard]] bool is_common_table(const std::string& name) const;

  void parse_expression(FromWord from_word);
  void parse_parentheses(FromWord from_word);
  void parse_operand();
  void parse_call(const Token& function);
  void parse_qualified_name(const std::string& first);
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
  std::string default_schema_;
  int depth_ = 0;
  bool in_parentheses_ = false;  // of an expression, where set operators join queries in parentheses
  bool stop_at_where_ = false;   // in a list of tables, an expression ends where the clause does
  std::vector<std::string> common_tables_;  // names that WITH defined, innermost last
  std::vector<std::string> schemas_;
};

}  // namespace rookproxy::sql
