// Splits SQL statements into tokens, in the detail that the dispatcher needs.
#pragma once

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>

namespace rookproxy::sql {

// A token of a statement, whose text refers to the statement.
struct Token {
  // The kind of a token, which its first character determines; kEnd follows the last token.
  enum class Kind { kEnd, kWord, kQuotedName, kNumber, kString, kVariable, kMark };
  Kind kind = Kind::kEnd;
  // As written, but without the quotes around a quoted name or a string. A mark is one punctuation character.
  std::string_view text;
};

// Reads the tokens of a statement one by one, in constant memory. Comments are skipped, except for the bodies
// of "/*!" comments, which MySQL runs. An unterminated string extends to the end of the statement, which must
// outlive the lexer and its tokens.
class Lexer {
 public:
  explicit Lexer(std::string_view statement) : statement_(statement) {}

  // Returns the next token and moves past it.
  Token next();
  // The position after the last token that was returned, in bytes.
  [[nodiscard]] std::size_t position() const { return position_; }

 private:
  [[nodiscard]] char peek(std::size_t offset, char fallback) const;
  bool skip_space_or_comment();
  void skip_version();
  Token read_token();
  Token read_quoted(Token::Kind kind);
  Token read_until(std::size_t end, Token::Kind kind);
  [[nodiscard]] std::size_t variable_end() const;
  [[nodiscard]] std::size_t word_end() const;

  std::string_view statement_;
  std::size_t position_ = 0;
  // Whether the position is in the body of a "/*!" comment. Elsewhere, "*/" ends nothing.
  bool in_executed_comment_ = false;
};

// Returns whether the token is the given upper-case keyword, ignoring the case of ASCII letters.
[[nodiscard]] bool is_word(const Token& token, std::string_view upper_case);
// Returns whether the token is the given punctuation character.
[[nodiscard]] inline bool is_mark(const Token& token, char mark) {
  return token.kind == Token::Kind::kMark && token.text[0] == mark;
}
// Returns whether the token can be an identifier: a word or a quoted name.
[[nodiscard]] bool is_identifier(const Token& token);
// Returns the name that an identifier stands for: a doubled quote within a quoted name stands for one.
[[nodiscard]] std::string identifier_name(const Token& token);

// Returns the start of the token's text, for messages.
[[nodiscard]] std::string excerpt(const Token& token);

// Returns whether the token is one of the given upper-case keywords.
template <class Words>
[[nodiscard]] bool is_any_word(const Token& token, const Words& upper_case_words) {
  if (token.kind != Token::Kind::kWord) return false;
  return std::any_of(upper_case_words.begin(), upper_case_words.end(), [&](std::string_view word) {
    return word.size() == token.text.size() && is_word(token, word);
  });
}

}  // namespace rookproxy::sql
