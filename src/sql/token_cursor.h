// A cursor over the tokens of a statement, for parsers.
#pragma once

#include <array>
#include <cstddef>
#include <stdexcept>
#include <string_view>

#include "sql/lexer.h"

namespace rookproxy::sql {

// Thrown by parsers if a statement is outside the supported grammar. The message describes the cause.
struct UnresolvedStatementError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// A position among the tokens of one statement, which are read as the cursor moves, in constant memory. A
// copy marks a position to return to. Keywords are given in upper case. The statement must outlive the
// cursor.
class TokenCursor {
 public:
  // Whether the semicolons after the last other token count as tokens.
  enum class FinalSemicolons { kCounted, kIgnored };

  explicit TokenCursor(std::string_view statement,
                       FinalSemicolons final_semicolons = FinalSemicolons::kCounted);

  [[nodiscard]] bool at_end() const { return peek().kind == Token::Kind::kEnd; }
  void skip(std::size_t count = 1);

  // The number of places that can be seen in each direction.
  static constexpr std::size_t kVisibleTokens = 2;
  // Returns the token `ahead` places after the position, of kind kEnd past the last one.
  [[nodiscard]] const Token& peek(std::size_t ahead = 0) const { return token_at(position_ + ahead); }
  // Returns the token `back` places before the position, of kind kEnd if there is none.
  [[nodiscard]] const Token& previous(std::size_t back = 1) const {
    return token_at(position_ + kWindowSize - back);
  }

  [[nodiscard]] bool has_mark(char mark, std::size_t ahead = 0) const { return is_mark(peek(ahead), mark); }
  [[nodiscard]] bool has_word(std::string_view word, std::size_t ahead = 0) const {
    return is_word(peek(ahead), word);
  }
  template <class... Words>
  [[nodiscard]] bool has_any_word(Words... words) const {
    return peek().kind == Token::Kind::kWord && (has_word(words) || ...);
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
  // Holds the visible tokens; a power of two.
  static constexpr std::size_t kWindowSize = 8;

  [[nodiscard]] const Token& token_at(std::size_t position) const { return window_[position % kWindowSize]; }

  Token read_token() { return lexer_.position() < end_ ? lexer_.next() : Token{}; }

  Lexer lexer_;
  std::size_t end_;  // The position in the statement after the last token.
  std::array<Token, kWindowSize> window_{};
  std::size_t position_ = 0;
};

}  // namespace rookproxy::sql
