// Walks over the tokens of a statement, for parsers.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/errors.h"
#include "sql/lexer.h"

namespace rookproxy::sql {

// Thrown by parsers where a statement is not in the known part of the grammar; the message says what was met.
class UnresolvedStatementError : public Error {
 public:
  explicit UnresolvedStatementError(const std::string& message)
      : Error(ErrorCode::kUnresolvedStatement, message) {}
};

// A piece of a statement in quotes, cut off if it is long.
[[nodiscard]] std::string quote_for_message(std::string_view text);

// The tokens of one statement and a position among them. Keywords are given in upper case.
class TokenCursor {
 public:
  // Semicolons at the end are dropped.
  explicit TokenCursor(std::vector<Token> tokens);

  // Whether the statement has no tokens.
  [[nodiscard]] bool is_empty() const { return tokens_.empty(); }
  [[nodiscard]] bool at_end() const { return position_ >= tokens_.size(); }
  // An index among the tokens, to return to with move_to().
  [[nodiscard]] std::size_t position() const { return position_; }
  void move_to(std::size_t position) { position_ = position; }
  void skip(std::size_t count = 1) { position_ += count; }

  // The token at the position, or some further ahead; beyond the end a mark that no statement holds.
  [[nodiscard]] const Token& peek(std::size_t ahead = 0) const;
  // The token so many places before the position; there must be one.
  [[nodiscard]] const Token& previous(std::size_t back) const { return tokens_[position_ - back]; }

  // Whether the token there is that mark, or that keyword.
  [[nodiscard]] bool has_mark(char mark, std::size_t ahead = 0) const;
  [[nodiscard]] bool has_word(std::string_view word, std::size_t ahead = 0) const {
    return is_word(peek(ahead), word);
  }
  // Whether the next token is one of the keywords.
  template <class... Words>
  [[nodiscard]] bool has_any_word(Words... words) const {
    return (has_word(words) || ...);
  }

  // Moves behind the word or mark and returns true if it is next.
  bool take_word(std::string_view word);
  bool take_mark(char mark);

  // Moves behind the word or mark; throws UnresolvedStatementError if it is not next.
  void expect_word(std::string_view word);
  void expect_mark(char mark);
  // Throws an UnresolvedStatementError that names the next token.
  [[noreturn]] void throw_unexpected() const;

 private:
  std::vector<Token> tokens_;
  std::size_t position_ = 0;
};

}  // namespace rookproxy::sql
