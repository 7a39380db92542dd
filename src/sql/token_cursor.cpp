#include "sql/token_cursor.h"

#include <string>

namespace rookproxy::sql {
namespace {

// Returns the position after the last token that is not a semicolon. The statement must not be cut there,
// because the end of a token depends on what follows: two minus signs before the cut would become a comment.
std::size_t end_without_final_semicolons(std::string_view statement) {
  Lexer lexer(statement);
  std::size_t end = 0;
  for (Token token = lexer.next(); token.kind != Token::Kind::kEnd; token = lexer.next()) {
    if (!is_mark(token, ';')) end = lexer.position();
  }
  return end;
}

}  // namespace

TokenCursor::TokenCursor(std::string_view statement, FinalSemicolons final_semicolons)
    : lexer_(statement),
      end_(final_semicolons == FinalSemicolons::kIgnored ? end_without_final_semicolons(statement)
                                                         : statement.size()) {
  for (std::size_t ahead = 0; ahead <= kVisibleTokens; ++ahead) window_[ahead] = read_token();
}

void TokenCursor::skip(std::size_t count) {
  for (; count > 0; --count) {
    ++position_;
    window_[(position_ + kVisibleTokens) % kWindowSize] = read_token();
  }
}

bool TokenCursor::take_word(std::string_view word) {
  if (!has_word(word)) return false;
  skip();
  return true;
}

bool TokenCursor::take_mark(char mark) {
  if (!has_mark(mark)) return false;
  skip();
  return true;
}

void TokenCursor::expect_word(std::string_view word) {
  if (!take_word(word)) throw_unexpected();
}

void TokenCursor::expect_mark(char mark) {
  if (!take_mark(mark)) throw_unexpected();
}

void TokenCursor::throw_unexpected() const {
  if (at_end()) throw UnresolvedStatementError("it ends too soon");
  const Token& token = peek();
  if (token.kind == Token::Kind::kString) throw UnresolvedStatementError("a string out of place");
  throw UnresolvedStatementError("unexpected '" + excerpt(token) + "'");
}

}  // namespace rookproxy::sql
