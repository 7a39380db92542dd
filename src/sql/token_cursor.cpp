#include "sql/token_cursor.h"

#include <string>

namespace rookproxy::sql {
namespace {

constexpr std::size_t kMaxQuotedSize = 40;  // bytes

}  // namespace

TokenCursor::TokenCursor(std::vector<Token> tokens) : tokens_(std::move(tokens)) {
  while (!tokens_.empty() && is_mark(tokens_.back(), ';')) tokens_.pop_back();
}

const Token& TokenCursor::peek(std::size_t ahead) const {
  static const Token kEnd{Token::Kind::kMark, std::string(1, '\0')};
  return position_ + ahead < tokens_.size() ? tokens_[position_ + ahead] : kEnd;
}

bool TokenCursor::has_mark(char mark, std::size_t ahead) const {
  return position_ + ahead < tokens_.size() && is_mark(tokens_[position_ + ahead], mark);
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
  throw UnresolvedStatementError("unexpected '" + token.text.substr(0, kMaxQuotedSize) + "'");
}

}  // namespace rookproxy::sql
