#include "sql/lexer.h"

#include <algorithm>

namespace rookproxy::sql {
namespace {

constexpr char kNameQuote = '`';
constexpr std::size_t kMaxExcerptSize = 40;  // bytes

// Characters are classified as in the C locale.
bool is_digit(char character) { return character >= '0' && character <= '9'; }

bool is_space(char character) { return character == ' ' || (character >= '\t' && character <= '\r'); }

bool is_letter(char character) {
  return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
}

// Letters, digits, '_', '$' and all bytes outside ASCII.
// The version number of a "/*!" comment.
constexpr std::size_t kMinVersionDigits = 5;
constexpr std::size_t kMaxVersionDigits = 6;

bool is_word_character(char character) {
  return is_letter(character) || is_digit(character) || character == '_' || character == '$' ||
         static_cast<unsigned char>(character) >= 0x80;
}

}  // namespace

Token Lexer::next() {
  while (position_ < statement_.size()) {
    if (!skip_space_or_comment()) return read_token();
  }
  return {};
}

// Returns the character at an offset from the position, or `fallback` past the end.
char Lexer::peek(std::size_t offset, char fallback) const {
  return position_ + offset < statement_.size() ? statement_[position_ + offset] : fallback;
}

bool Lexer::skip_space_or_comment() {
  const char current = peek(0, '\0');
  const char next = peek(1, '\0');
  const char third = peek(2, ' ');
  if (is_space(current)) {
    ++position_;
  } else if (current == '#' || (current == '-' && next == '-' && static_cast<unsigned char>(third) <= ' ')) {
    position_ = std::min(statement_.find('\n', position_), statement_.size());
  } else if (current == '/' && next == '*' && third == '!') {
    // Skips only the opening, because MySQL runs the body.
    position_ += 3;
    in_executed_comment_ = true;
    skip_version();
  } else if (current == '/' && next == '*') {
    const auto end = statement_.find("*/", position_ + 2);
    position_ = end == statement_.npos ? statement_.size() : end + 2;
  } else if (in_executed_comment_ && current == '*' && next == '/') {
    position_ += 2;
    in_executed_comment_ = false;
  } else {
    return false;
  }
  return true;
}

// Fewer digits than a version number has are a part of the statement.
void Lexer::skip_version() {
  std::size_t digits = 0;
  while (digits < kMaxVersionDigits && is_digit(peek(digits, ' '))) ++digits;
  if (digits >= kMinVersionDigits) position_ += digits;
}

Token Lexer::read_token() {
  const char current = statement_[position_];
  if (current == '\'' || current == '"') return read_quoted(Token::Kind::kString);
  if (current == kNameQuote) return read_quoted(Token::Kind::kQuotedName);
  if (current == '@') return read_until(variable_end(), Token::Kind::kVariable);
  if (!is_word_character(current)) return read_until(position_ + 1, Token::Kind::kMark);
  const std::size_t end = word_end();
  const std::string_view text = statement_.substr(position_, end - position_);
  const bool is_number = std::all_of(text.begin(), text.end(), is_digit);
  return read_until(end, is_number ? Token::Kind::kNumber : Token::Kind::kWord);
}

Token Lexer::read_until(std::size_t end, Token::Kind kind) {
  const Token token{kind, statement_.substr(position_, end - position_)};
  position_ = end;
  return token;
}

// A doubled quote does not end the text, nor does a quote after a backslash, except for backticks.
Token Lexer::read_quoted(Token::Kind kind) {
  const char quote = statement_[position_];
  const std::size_t start = position_ + 1;
  for (std::size_t at = start; at < statement_.size(); ++at) {
    if (statement_[at] == '\\' && quote != kNameQuote) {
      ++at;
    } else if (statement_[at] == quote) {
      const bool is_doubled = at + 1 < statement_.size() && statement_[at + 1] == quote;
      if (!is_doubled) {
        position_ = at + 1;
        return {kind, statement_.substr(start, at - start)};
      }
      ++at;
    }
  }
  position_ = statement_.size();
  return {kind, statement_.substr(start)};
}

std::size_t Lexer::variable_end() const {
  std::size_t end = position_ + 1;
  while (end < statement_.size() &&
         (statement_[end] == '@' || statement_[end] == '.' || is_word_character(statement_[end]))) {
    ++end;
  }
  return end;
}

std::size_t Lexer::word_end() const {
  std::size_t end = position_;
  while (end < statement_.size() && is_word_character(statement_[end])) ++end;
  return end;
}

bool is_word(const Token& token, std::string_view upper_case) {
  if (token.kind != Token::Kind::kWord || token.text.size() != upper_case.size()) return false;
  // Keywords are ASCII; the result must not depend on the locale.
  const auto to_upper = [](char character) {
    return character >= 'a' && character <= 'z' ? static_cast<char>(character - ('a' - 'A')) : character;
  };
  return std::equal(token.text.begin(), token.text.end(), upper_case.begin(),
                    [&](char written, char keyword) { return to_upper(written) == keyword; });
}

bool is_identifier(const Token& token) {
  return token.kind == Token::Kind::kWord || token.kind == Token::Kind::kQuotedName;
}

std::string identifier_name(const Token& token) {
  std::string name(token.text);
  if (token.kind != Token::Kind::kQuotedName) return name;
  std::size_t size = 0;
  for (std::size_t at = 0; at < name.size(); ++at) {
    name[size++] = name[at];
    if (name[at] == kNameQuote) ++at;
  }
  name.resize(size);
  return name;
}

std::string excerpt(const Token& token) { return identifier_name(token).substr(0, kMaxExcerptSize); }

}  // namespace rookproxy::sql
