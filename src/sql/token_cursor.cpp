#include "sql/token_cursor.h"

#include <string>

namespace rookproxy::sql {
namespace {

constexpr std::size_t kMaxQuotedSize = 40;  // of a statement's text, in a message

}  // namespace

std::string quote_for_message(std::string_view text) {
  std::string quoted = "'";
  quoted += text.substr(0, kMaxQuotedSize);
  quoted += '\'';
  return quoted;
}

TokenCursor::TokenCursor(std::vector<Token> tokens) : tokens_(std::move(tokens)) {
  remove_final_semicolons(tokens_);
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
  throw UnresolvedStatementError("unexpected " + quote_for_message(token.text));
}

}  // namespace rookproxy::sql
