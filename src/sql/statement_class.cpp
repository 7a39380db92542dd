#include "sql/statement_class.h"

#include <algorithm>
#include <array>
#include <cstddef>

#include "sql/functions.h"

namespace rookproxy::sql {
namespace {

using Tokens = std::vector<Token>;

constexpr std::array<std::string_view, 6> kReadingStatements{"SELECT",   "SHOW", "EXPLAIN",
                                                             "DESCRIBE", "DESC", "WITH"};
constexpr std::array<std::string_view, 9> kWritingWords{"INSERT", "UPDATE", "DELETE",  "REPLACE", "INTO",
                                                        "LOAD",   "CALL",   "ANALYZE", "DO"};
constexpr std::array<std::string_view, 6> kTransactionStatements{"BEGIN",     "COMMIT",  "ROLLBACK",
                                                                 "SAVEPOINT", "RELEASE", "XA"};
constexpr std::array<std::string_view, 3> kLockStatements{"LOCK", "UNLOCK", "FLUSH"};
constexpr std::array<std::string_view, 2> kCursorStatements{"HANDLER", "DECLARE"};
constexpr std::array<std::string_view, 3> kPrepareStatements{"PREPARE", "EXECUTE", "DEALLOCATE"};
constexpr std::array<std::string_view, 3> kNamedLockFunctions{"GET_LOCK", "RELEASE_LOCK", "IS_USED_LOCK"};
constexpr std::array<std::string_view, 3> kEarlierResultFunctions{"LAST_INSERT_ID", "FOUND_ROWS",
                                                                  "ROW_COUNT"};

constexpr std::string_view kEarlierResults = "results of an earlier statement";
constexpr std::string_view kRowLocks = "row locks";

// Returns the token at an index, or an empty one past the end.
Token token_at(const Tokens& tokens, std::size_t index) {
  return index < tokens.size() ? tokens[index] : Token{};
}

bool is_mark_at(const Tokens& tokens, std::size_t index, char mark) {
  return index < tokens.size() && is_mark(tokens[index], mark);
}

bool starts_second_statement(const Tokens& tokens, std::size_t index) {
  return is_mark(tokens[index], ';') && index + 1 < tokens.size();
}

bool may_write(const Tokens& tokens, std::size_t index) {
  const Token& token = tokens[index];
  if (is_any_word(token, kWritingWords) || starts_second_statement(tokens, index)) return true;
  const bool is_assignment = is_mark(token, ':') && is_mark_at(tokens, index + 1, '=');
  if (is_assignment) return true;
  if (!is_mark_at(tokens, index + 1, '(')) return false;
  // A function that is not known to be free of side effects may write.
  if (token.kind == Token::Kind::kQuotedName) return true;
  return token.kind == Token::Kind::kWord && !is_side_effect_free_function(token) &&
         !is_keyword_before_parenthesis(token);
}

std::optional<std::string_view> state_of_first_word(const Tokens& tokens) {
  const Token& first = tokens.front();
  const Token second = token_at(tokens, 1);
  if (is_any_word(first, kTransactionStatements)) return "transactions";
  if (is_word(first, "START") && is_word(second, "TRANSACTION")) return "transactions";
  if (is_any_word(first, kLockStatements)) return "table locks";
  if (is_any_word(first, kCursorStatements)) return "cursors";
  if (is_any_word(first, kPrepareStatements)) return "prepared statements in SQL text";
  if (is_word(first, "SET") && !is_word(second, "GLOBAL")) return "session variables";
  if (is_word(first, "USE")) return "USE in SQL text";
  if (is_word(first, "SHOW") && (is_word(second, "WARNINGS") || is_word(second, "ERRORS"))) {
    return kEarlierResults;
  }
  return std::nullopt;
}

std::optional<std::string_view> state_at(const Tokens& tokens, std::size_t index) {
  const Token& token = tokens[index];
  const Token next = token_at(tokens, index + 1);
  if (is_word(token, "TEMPORARY")) return "temporary tables";
  if (starts_second_statement(tokens, index)) return "several statements in one";
  if (token.kind == Token::Kind::kVariable && !token.text.starts_with("@@")) return "user variables";
  if (is_any_word(token, kNamedLockFunctions)) return "named locks";
  if (is_any_word(token, kEarlierResultFunctions)) return kEarlierResults;
  if (is_word(token, "FOR") && (is_word(next, "UPDATE") || is_word(next, "SHARE"))) return kRowLocks;
  if (is_word(token, "LOCK") && is_word(next, "IN")) return kRowLocks;
  return std::nullopt;
}

}  // namespace

bool is_read_only(std::string_view statement) { return is_read_only(tokenize(statement)); }

bool is_read_only(const Tokens& tokens) {
  if (tokens.empty()) return true;
  std::size_t first = 0;
  while (is_mark_at(tokens, first, '(')) ++first;
  if (first == tokens.size() || !is_any_word(tokens[first], kReadingStatements)) return false;
  for (std::size_t index = first; index < tokens.size(); ++index) {
    if (may_write(tokens, index)) return false;
  }
  return true;
}

std::optional<std::string> find_session_state(std::string_view statement) {
  const Tokens tokens = tokenize(statement);
  if (tokens.empty()) return std::nullopt;
  if (const auto state = state_of_first_word(tokens)) return std::string(*state);
  for (std::size_t index = 0; index < tokens.size(); ++index) {
    if (const auto state = state_at(tokens, index)) return std::string(*state);
  }
  return std::nullopt;
}

}  // namespace rookproxy::sql
