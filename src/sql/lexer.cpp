#include "sql/lexer.h"

#include <algorithm>
#include <cctype>
#include <cstddef>
#include <utility>

namespace rookproxy::sql {
namespace {

// In bytes, including the quotes. The text of longer strings is not stored because no caller needs it.
constexpr std::size_t kMaxStoredStringSize = 66;

// Limits the reservation of one token per four characters, which suffices for most statements.
constexpr std::size_t kMaxReservedTokens = 4096;

bool is_digit(char character) { return std::isdigit(static_cast<unsigned char>(character)) != 0; }

bool is_space(char character) { return std::isspace(static_cast<unsigned char>(character)) != 0; }

// Letters, digits, '_', '$' and all bytes outside ASCII.
bool is_word_character(char character) {
  const auto byte = static_cast<unsigned char>(character);
  return std::isalnum(byte) != 0 || character == '_' || character == '$' || byte >= 0x80;
}

class Lexer {
 public:
  explicit Lexer(std::string_view statement) : statement_(statement) {
    tokens_.reserve(std::min(statement.size() / 4 + 4, kMaxReservedTokens));
  }

  std::vector<Token> run() {
    while (position_ < statement_.size()) {
      if (!skip_space_or_comment()) read_token();
    }
    return std::move(tokens_);
  }

 private:
  // Returns the character at an offset from the position, or `fallback` past the end.
  char peek(std::size_t offset, char fallback) const {
    return position_ + offset < statement_.size() ? statement_[position_ + offset] : fallback;
  }

  bool skip_space_or_comment() {
    const char current = peek(0, '\0');
    const char next = peek(1, '\0');
    const char third = peek(2, ' ');
    if (is_space(current)) {
      ++position_;
    } else if (current == '#' ||
               (current == '-' && next == '-' && static_cast<unsigned char>(third) <= ' ')) {
      position_ = std::min(statement_.find('\n', position_), statement_.size());
    } else if (current == '/' && next == '*' && third == '!') {
      // Skips only the opening and its version number, because MySQL runs the body.
      position_ += 3;
      while (position_ < statement_.size() && is_digit(statement_[position_])) ++position_;
    } else if (current == '/' && next == '*') {
      const auto end = statement_.find("*/", position_ + 2);
      position_ = end == statement_.npos ? statement_.size() : end + 2;
    } else if (current == '*' && next == '/') {
      position_ += 2;  // the end of a "/*!" comment, whose body was tokenized
    } else {
      return false;
    }
    return true;
  }

  void read_token() {
    const char current = statement_[position_];
    if (current == '\'' || current == '"') {
      read_string();
    } else if (current == '`') {
      std::string name;
      position_ = quoted_end(&name);
      tokens_.push_back({Token::Kind::kQuotedName, std::move(name)});
    } else if (current == '@') {
      read_variable();
    } else if (is_word_character(current)) {
      read_word_or_number();
    } else {
      tokens_.push_back({Token::Kind::kMark, std::string(1, current)});
      ++position_;
    }
  }

  void read_string() {
    std::string text;
    const std::size_t end = quoted_end(nullptr);
    if (end - position_ <= kMaxStoredStringSize) quoted_end(&text);
    position_ = end;
    tokens_.push_back({Token::Kind::kString, std::move(text)});
  }

  void read_variable() {
    std::size_t end = position_ + 1;
    while (end < statement_.size() &&
           (statement_[end] == '@' || statement_[end] == '.' || is_word_character(statement_[end]))) {
      ++end;
    }
    push_until(end, Token::Kind::kVariable);
  }

  void read_word_or_number() {
    std::size_t end = position_;
    while (end < statement_.size() && is_word_character(statement_[end])) ++end;
    const std::string_view text = statement_.substr(position_, end - position_);
    const bool is_number = std::all_of(text.begin(), text.end(), is_digit);
    push_until(end, is_number ? Token::Kind::kNumber : Token::Kind::kWord);
  }

  void push_until(std::size_t end, Token::Kind kind) {
    tokens_.push_back({kind, std::string(statement_.substr(position_, end - position_))});
    position_ = end;
  }

  // Returns the position after the quoted text that starts here. A doubled quote does not end the text, nor
  // does a quote after a backslash, except for backticks. Stores the text between the quotes in `inner` if
  // given.
  std::size_t quoted_end(std::string* inner) const {
    const char quote = statement_[position_];
    for (std::size_t at = position_ + 1; at < statement_.size(); ++at) {
      if (statement_[at] == '\\' && quote != '`') {
        ++at;
        continue;
      }
      if (statement_[at] == quote) {
        if (at + 1 >= statement_.size() || statement_[at + 1] != quote) return at + 1;
        ++at;
      }
      if (inner) *inner += statement_[at];
    }
    return statement_.size();
  }

  std::string_view statement_;
  std::size_t position_ = 0;
  std::vector<Token> tokens_;
};

}  // namespace

std::vector<Token> tokenize(std::string_view statement) { return Lexer(statement).run(); }

bool is_word(const Token& token, std::string_view upper_case) {
  if (token.kind != Token::Kind::kWord || token.text.size() != upper_case.size()) return false;
  // Keywords are ASCII; the result must not depend on the locale.
  const auto to_upper = [](char character) {
    return character >= 'a' && character <= 'z' ? static_cast<char>(character - ('a' - 'A')) : character;
  };
  return std::equal(token.text.begin(), token.text.end(), upper_case.begin(),
                    [&](char written, char keyword) { return to_upper(written) == keyword; });
}

bool is_mark(const Token& token, char mark) {
  return token.kind == Token::Kind::kMark && token.text[0] == mark;
}

bool is_identifier(const Token& token) {
  return token.kind == Token::Kind::kWord || token.kind == Token::Kind::kQuotedName;
}

}  // namespace rookproxy::sql
