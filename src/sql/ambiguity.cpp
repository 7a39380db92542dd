#include "sql/ambiguity.h"

#include <algorithm>
#include <cstddef>

namespace rookproxy::sql {
namespace {

constexpr unsigned char kFirstPrintable = 32;

class AmbiguityScanner {
 public:
  AmbiguityScanner(std::string_view statement, Dialect dialect)
      : statement_(statement), is_mysql_(dialect == Dialect::kMysql) {}

  std::optional<std::string> run() {
    while (position_ < statement_.size()) {
      if (auto ambiguity = scan_one()) return ambiguity;
    }
    return std::nullopt;
  }

 private:
  char peek(std::size_t offset, char fallback) const {
    return position_ + offset < statement_.size() ? statement_[position_ + offset] : fallback;
  }

  // Checks one character, comment or quoted text and moves past it.
  std::optional<std::string> scan_one() {
    const char current = statement_[position_];
    const char next = peek(1, '\0');
    const bool is_control = static_cast<unsigned char>(current) < kFirstPrintable;
    if (is_control && current != '\t' && current != '\n' && current != '\r') return "a control character";
    if (!is_mysql_ && (current == '$' || current == '#' || current == '[' || current == '{')) {
      return std::string("a '") + current + "'";
    }
    if (current == '#' || (current == '-' && next == '-')) return scan_line_comment();
    if (current == '/' && next == '*') return scan_block_comment();
    if (current == '\'' || current == '"' || current == '`') return scan_quoted();
    ++position_;
    return std::nullopt;
  }

  std::optional<std::string> scan_line_comment() {
    const bool starts_with_dashes = statement_[position_] == '-';
    if (starts_with_dashes && static_cast<unsigned char>(peek(2, ' ')) > ' ') {
      if (!is_mysql_) return "'--' with no space after it";
      ++position_;  // MySQL reads two minus signs
      return std::nullopt;
    }
    // Some servers end a line comment at a carriage return without a line feed.
    const auto end = std::min(statement_.find('\n', position_), statement_.size());
    const bool ends_in_crlf = end < statement_.size() && statement_[end - 1] == '\r';
    const auto size = end - position_;
    if (statement_.substr(position_, size).find('\r') < size - (ends_in_crlf ? 1 : 0)) {
      return "a carriage return in a comment";
    }
    position_ = end;
    return std::nullopt;
  }

  std::optional<std::string> scan_block_comment() {
    if (peek(2, ' ') == '!' || (peek(2, ' ') == 'M' && peek(3, ' ') == '!')) {
      return "a comment that some servers run";
    }
    const auto body = position_ + 2;
    const auto end = statement_.find("*/", body);
    if (end == statement_.npos) return "a comment that does not end";
    if (statement_.substr(body, end - body).find("/*") != statement_.npos) {
      return "a comment within a comment";
    }
    position_ = end + 2;
    return std::nullopt;
  }

  std::optional<std::string> scan_quoted() {
    const char quote = statement_[position_];
    std::size_t at = position_ + 1;
    for (;; ++at) {
      if (at >= statement_.size()) return "a quote that does not end";
      if (statement_[at] == '\0') return "a control character";
      if (statement_[at] == '\\' && quote != '`') {
        if (!is_mysql_) return "a backslash in a string";
        ++at;
      } else if (statement_[at] == quote) {
        if (at + 1 >= statement_.size() || statement_[at + 1] != quote) break;
        ++at;
      }
    }
    position_ = at + 1;
    return std::nullopt;
  }

  std::string_view statement_;
  bool is_mysql_;
  std::size_t position_ = 0;
};

}  // namespace

std::optional<std::string> find_ambiguity(std::string_view statement, Dialect dialect) {
  return AmbiguityScanner(statement, dialect).run();
}

}  // namespace rookproxy::sql
