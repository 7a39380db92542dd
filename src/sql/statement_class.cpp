#include "sql/statement_class.h"

#include <array>
#include <cstddef>

#include "sql/functions.h"
#include "sql/token_cursor.h"

namespace rookproxy::sql {
namespace {

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

// Variables of the session that an earlier statement of any client may have set.
constexpr std::array<std::string_view, 5> kEarlierResultVariables{"IDENTITY", "LAST_INSERT_ID", "INSERT_ID",
                                                                  "WARNING_COUNT", "ERROR_COUNT"};
constexpr std::array<std::string_view, 2> kVariableScopes{"SESSION", "LOCAL"};
// Statements that leave nothing in their session.
constexpr std::array<std::string_view, 24> kSessionNeutralStatements{
    "SELECT",   "WITH",   "SHOW",   "EXPLAIN", "DESCRIBE", "DESC",     "TABLE",  "VALUES",
    "INSERT",   "UPDATE", "DELETE", "REPLACE", "LOAD",     "CREATE",   "ALTER",  "DROP",
    "TRUNCATE", "RENAME", "GRANT",  "REVOKE",  "ANALYZE",  "OPTIMIZE", "REPAIR", "KILL"};

// The first words of a statement are looked for in this many bytes, so that the time for that is bounded.
constexpr std::size_t kMaxExaminedStart = 1024;

constexpr std::string_view kEarlierResults = "results of an earlier statement";
constexpr std::string_view kRowLocks = "row locks";

bool starts_second_statement(const TokenCursor& tokens) {
  return tokens.has_mark(';') && tokens.peek(1).kind != Token::Kind::kEnd;
}

bool may_write(const TokenCursor& tokens) {
  const Token& token = tokens.peek();
  if (is_any_word(token, kWritingWords) || starts_second_statement(tokens)) return true;
  const bool is_assignment = is_mark(token, ':') && tokens.has_mark('=', 1);
  if (is_assignment) return true;
  if (!tokens.has_mark('(', 1)) return false;
  // A function that is not known to be free of side effects may write.
  if (token.kind == Token::Kind::kQuotedName) return true;
  if (token.kind != Token::Kind::kWord) return false;
  const bool is_in_schema = is_mark(tokens.previous(), '.');
  if (is_in_schema) return true;
  return !is_side_effect_free_call(token, tokens.peek(1)) && !is_keyword_before_parenthesis(token);
}

// A quoted name as the word in its quotes.
Token as_word(const Token& token) {
  return is_identifier(token) ? Token{Token::Kind::kWord, token.text} : token;
}

std::optional<std::string_view> state_of_first_word(const TokenCursor& tokens) {
  const Token& first = tokens.peek();
  const Token& second = tokens.peek(1);
  if (is_any_word(first, kTransactionStatements)) return "transactions";
  if (is_word(first, "START") && is_word(second, "TRANSACTION")) return "transactions";
  if (is_any_word(first, kLockStatements)) return "table locks";
  if (is_any_word(first, kCursorStatements)) return "cursors";
  if (is_any_word(first, kPrepareStatements)) return "prepared statements in SQL text";
  if (is_word(first, "SET") && !is_word(second, "GLOBAL")) return "session variables";
  if (is_word(first, "USE")) return "USE in SQL text";
  if (is_word(first, "KILL")) return "KILL";
  const bool shows_messages =
      is_word(second, "WARNINGS") || is_word(second, "ERRORS") || is_word(second, "COUNT");
  if (is_word(first, "SHOW") && shows_messages) return kEarlierResults;
  return std::nullopt;
}

// Returns whether the cursor is at the system variable that `names` lists. Each part of its name may be
// quoted.
template <class Names>
bool is_system_variable(const TokenCursor& tokens, const Names& names) {
  const Token& token = tokens.peek();
  if (token.kind != Token::Kind::kVariable || !token.text.starts_with("@@")) return false;
  const std::size_t scope_end = token.text.find_last_of("@.");
  Token name{Token::Kind::kWord, token.text.substr(scope_end + 1)};
  if (name.text.empty()) name = as_word(tokens.peek(1));
  if (is_any_word(name, kVariableScopes) && tokens.has_mark('.', 1)) name = as_word(tokens.peek(2));
  return is_any_word(name, names);
}

std::optional<std::string_view> state_of_variable(const TokenCursor& tokens) {
  if (!tokens.peek().text.starts_with("@@")) return "user variables";
  if (is_system_variable(tokens, kEarlierResultVariables)) return kEarlierResults;
  return std::nullopt;
}

std::optional<std::string_view> state_of_function(const Token& name) {
  if (is_any_word(name, kNamedLockFunctions)) return "named locks";
  if (is_any_word(name, kEarlierResultFunctions)) return kEarlierResults;
  return std::nullopt;
}

std::optional<std::string_view> state_of_word(const Token& token, const Token& next) {
  if (is_word(token, "TEMPORARY")) return "temporary tables";
  if (is_word(token, "FOR") && (is_word(next, "UPDATE") || is_word(next, "SHARE"))) return kRowLocks;
  if (is_word(token, "LOCK") && is_word(next, "IN")) return kRowLocks;
  return state_of_function(token);
}

// Returns the session state that the token at the cursor's position indicates.
std::optional<std::string_view> state_at(const TokenCursor& tokens) {
  const Token& token = tokens.peek();
  if (starts_second_statement(tokens)) return "several statements in one";
  if (token.kind == Token::Kind::kVariable) return state_of_variable(tokens);
  if (token.kind == Token::Kind::kWord) return state_of_word(token, tokens.peek(1));
  return tokens.has_mark('(', 1) ? state_of_function(as_word(token)) : std::nullopt;
}

}  // namespace

bool is_empty(std::string_view statement) { return Lexer(statement).next().kind == Token::Kind::kEnd; }

bool is_read_only(std::string_view statement) {
  TokenCursor tokens(statement);
  if (tokens.at_end()) return true;
  while (tokens.has_mark('(')) tokens.skip();
  if (!is_any_word(tokens.peek(), kReadingStatements)) return false;
  for (; !tokens.at_end(); tokens.skip()) {
    if (may_write(tokens)) return false;
  }
  return true;
}

bool may_change_session(std::string_view statement) {
  const bool is_cut = statement.size() > kMaxExaminedStart;
  Lexer lexer(statement.substr(0, kMaxExaminedStart));
  Token first = lexer.next();
  while (is_mark(first, '(')) first = lexer.next();
  if (first.kind == Token::Kind::kEnd) return is_cut;
  if (!is_any_word(first, kSessionNeutralStatements)) return true;
  if (!is_word(first, "CREATE")) return false;
  const Token second = lexer.next();
  return is_word(second, "TEMPORARY") || (is_cut && second.kind == Token::Kind::kEnd);
}

std::optional<std::string_view> find_session_state(std::string_view statement) {
  TokenCursor tokens(statement);
  if (const auto state = state_of_first_word(tokens)) return state;
  for (; !tokens.at_end(); tokens.skip()) {
    if (const auto state = state_at(tokens)) return state;
  }
  return std::nullopt;
}

}  // namespace rookproxy::sql
