// Splits SQL statements into tokens, in the detail that the dispatcher needs.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace rookproxy::sql {

struct Token {
  // The kind of a token, which its first character determines.
  enum class Kind { kWord, kQuotedName, kNumber, kString, kVariable, kMark };
  Kind kind = Kind::kMark;
  // The word as written, a quoted name or a short string without its quotes (empty for longer strings), or
  // one punctuation character.
  std::string text;
};

// Returns the statement's tokens. Comments are skipped, except for the bodies of "/*!" comments, which MySQL
// runs. An unterminated string extends to the end of the statement.
[[nodiscard]] std::vector<Token> tokenize(std::string_view statement);

// Returns whether the token is the given upper-case keyword, ignoring the case of ASCII letters.
[[nodiscard]] bool is_word(const Token& token, std::string_view upper_case);
// Returns whether the token is the given punctuation character.
[[nodiscard]] bool is_mark(const Token& token, char mark);
// Returns whether the token can be an identifier: a word or a quoted name.
[[nodiscard]] bool is_identifier(const Token& token);

// Returns whether the token is one of the given upper-case keywords.
template <class Words>
[[nodiscard]] bool is_any_word(const Token& token, const Words& upper_case_words) {
  for (const std::string_view word : upper_case_words) {
    if (is_word(token, word)) return true;
  }
  return false;
}

}  // namespace rookproxy::sql
