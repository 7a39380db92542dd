// Splits a SQL statement into tokens, as far as the dispatcher has to understand it.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace rookproxy::sql {

// One token of a statement.
struct Token {
  // What a token is, by its first character.
  enum class Kind { kWord, kQuotedName, kNumber, kString, kVariable, kMark };
  Kind kind = Kind::kMark;
  // The word as written, a name or a short string without its quotes (longer strings are left empty), or one
  // character of punctuation.
  std::string text;
};

// The statement's tokens. Comments are left out, except for the bodies of "/*!" comments, which MySQL runs.
// An unclosed string runs to the end of the statement.
[[nodiscard]] std::vector<Token> tokenize(std::string_view statement);

// Whether the token is that keyword, given in upper case; the comparison ignores the case of ASCII letters.
[[nodiscard]] bool is_word(const Token& token, std::string_view upper_case);
// Whether the token is that punctuation character.
[[nodiscard]] bool is_mark(const Token& token, char mark);
// Whether the token may be an identifier: a word or a quoted name.
[[nodiscard]] bool is_identifier(const Token& token);

// Whether the token is one of the keywords, given in upper case.
template <class Words>
[[nodiscard]] bool is_any_word(const Token& token, const Words& upper_case_words) {
  for (const std::string_view word : upper_case_words) {
    if (is_word(token, word)) return true;
  }
  return false;
}

}  // namespace rookproxy::sql
