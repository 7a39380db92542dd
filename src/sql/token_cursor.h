// A cursor over the tokens of a statement, for parsers.
#pragma once

#include <cstddef>
#include <stdexcept>
#include <string_view>
#include <utility>
#include <vector>

#include "sql/lexer.h"

namespace rookproxy::sql {

// Thrown by parsers if a statement is outside the supported grammar. The message describes the cause.
struct UnresolvedStatementError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// The tokens of one statement and a position among them. Keywords are given in upper case.
class TokenCursor {
 public:
  // Drops semicolons at the end.
  explicit TokenCursor(std::vector<Token> tokens);

  [[nodiscard]] bool is_empty() const { return tokens_.empty(); }
  [[nodiscard]] bool at_end() const { return position_ >= tokens_.size(); }
  [[nodiscard]] std::size_t position() const { return position_; }
  void move_to(std::size_t position) { position_ = position; }
  void skip(std::size_t count = 1) { position_ += count; }

  // Returns the token `ahead` places after the position, or past the end a mark that occurs in no statement.
  [[nodiscard]] const Token& peek(std::size_t ahead = 0) const;
  // Returns the token `back` places before the position, which must exist.
  [[nodiscard]] const Token& previous(std::size_t back) const { return tokens_[position_ - back]; }

  [[nodiscard]] bool has_mark(char mark, std::size_t ahead = 0) const;
  [[nodiscard]] bool has_word(std::string_view word, std::size_t ahead = 0) const {
    return is_word(peek(ahead), word);
  }
  template <class... Words>
  [[nodiscard]] bool has_any_word(Words... words) const {
    return (has_word(words) || ...);
  }

  // Moves past the word or mark and returns true if it is next.
  bool take_word(std::string_view word);
  bool take_mark(char mark);

  // Moves past the word or mark. Throws UnresolvedStatementError if it is not next.
  void expect_word(std::string_view word);
  void expect_mark(char mark);
  // Throws an UnresolvedStatementError whose message quotes the next token.
  [[noreturn]] void throw_unexpected() const;

 private:
  std::vector<Token> tokens_;
  std::size_t position_ = 0;
};

}  // namespace rookproxy::sql
