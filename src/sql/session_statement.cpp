#include "sql/session_statement.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstddef>
#include <string>
#include <vector>

#include "sql/token_cursor.h"

namespace rookproxy::sql {
namespace {

using Tokens = std::vector<Token>;

// Longer statements are not session statements and are not tokenized.
constexpr std::size_t kMaxSessionStatementSize = 200;  // bytes

constexpr std::array<std::string_view, 6> kTransactionEndWords{"WORK", "AND", "NO", "CHAIN", "NO", "RELEASE"};
constexpr std::array<std::string_view, 10> kImplicitCommitStatements{
    "CREATE", "ALTER", "DROP", "TRUNCATE", "RENAME", "GRANT", "REVOKE", "ANALYZE", "OPTIMIZE", "REPAIR"};

std::string to_lower(std::string_view written) {
  std::string text(written);
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
  return text;
}

Tokens tokenize_without_final_semicolons(std::string_view statement) {
  Tokens tokens;
  for (TokenCursor cursor(statement, TokenCursor::FinalSemicolons::kIgnored); !cursor.at_end();
       cursor.skip()) {
    tokens.push_back(cursor.peek());
  }
  return tokens;
}

SessionStatement classify_autocommit(const Token& value) {
  const std::string text = to_lower(value.text);
  if (text == "1" || text == "on" || text == "true") return SessionStatement::kAutocommitOn;
  if (text == "0" || text == "off" || text == "false") return SessionStatement::kAutocommitOff;
  return SessionStatement::kNone;
}

bool is_utf8(const std::string& charset) {
  return charset == "utf8mb4" || charset == "utf8" || charset == "utf8mb3";
}

SessionStatement classify_set_names(const Tokens& tokens) {
  // A collation is not supported because it would change how strings compare.
  const bool is_plain = tokens.size() == 3 && is_utf8(to_lower(tokens[2].text));
  return is_plain ? SessionStatement::kNoEffect : SessionStatement::kNone;
}

std::string variable_name(const Token& token) {
  std::string name = to_lower(token.text);
  for (const std::string_view prefix : {"@@session.", "@@local.", "@@"}) {
    if (!name.starts_with(prefix)) continue;
    name.erase(0, prefix.size());
    break;
  }
  return name;
}

SessionStatement classify_assignment(const std::string& variable, const Token& value) {
  if (variable == "autocommit") return classify_autocommit(value);
  const bool is_charset = variable == "character_set_client" || variable == "character_set_connection" ||
                          variable == "character_set_results";
  if (is_charset && is_utf8(to_lower(value.text))) return SessionStatement::kNoEffect;
  // NULL requests results without conversion, and they are stored in UTF-8.
  if (variable == "character_set_results" && is_word(value, "NULL")) return SessionStatement::kNoEffect;
  return SessionStatement::kNone;
}

// Classifies a SET of one session variable.
SessionStatement classify_set(const Tokens& tokens) {
  std::size_t index = 1;
  if (is_word(tokens[index], "NAMES")) return classify_set_names(tokens);
  if (is_word(tokens[index], "SESSION") || is_word(tokens[index], "LOCAL")) ++index;
  if (tokens.size() < index + 3) return SessionStatement::kNone;
  const std::string variable = variable_name(tokens[index]);
  ++index;
  if (is_mark(tokens[index], ':') && index + 2 < tokens.size()) ++index;
  if (!is_mark(tokens[index], '=') || tokens.size() != index + 2) return SessionStatement::kNone;
  return classify_assignment(variable, tokens[index + 1]);
}

// Returns whether only "[WORK] [AND NO CHAIN] [NO RELEASE]" follows; other words have further effects.
bool ends_transaction_only(const Tokens& tokens) {
  std::size_t next = 0;
  for (std::size_t index = 1; index < tokens.size(); ++index) {
    while (next < kTransactionEndWords.size() && !is_word(tokens[index], kTransactionEndWords[next])) ++next;
    if (next >= kTransactionEndWords.size()) return false;
    ++next;
  }
  const auto count = [&](std::string_view word) {
    return std::count_if(tokens.begin(), tokens.end(),
                         [&](const Token& token) { return is_word(token, word); });
  };
  const bool has_chain = count("CHAIN") > 0;
  const bool has_release = count("RELEASE") > 0;
  const bool has_and = count("AND") > 0;
  return count("NO") == (has_chain ? 1 : 0) + (has_release ? 1 : 0) && has_and == has_chain;
}

}  // namespace

SessionStatement classify_session_statement(std::string_view statement) {
  if (statement.size() > kMaxSessionStatementSize) return SessionStatement::kNone;
  const auto tokens = tokenize_without_final_semicolons(statement);
  if (tokens.empty()) return SessionStatement::kNone;
  if (is_word(tokens[0], "SET") && tokens.size() >= 3) return classify_set(tokens);
  if (!is_word(tokens[0], "COMMIT") && !is_word(tokens[0], "ROLLBACK")) return SessionStatement::kNone;
  return ends_transaction_only(tokens) ? SessionStatement::kEndTransaction : SessionStatement::kNone;
}

bool commits_implicitly(std::string_view statement) {
  return is_any_word(Lexer(statement).next(), kImplicitCommitStatements);
}

}  // namespace rookproxy::sql
