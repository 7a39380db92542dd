// Compares the lexer with a plain reading of the published rules on comments, strings and quoted names.
#include "sql/lexer.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstddef>
#include <string>
#include <string_view>

namespace rookproxy::sql {
namespace {

constexpr std::string_view kAlphabet = "*/'!-#a \n`\\";
constexpr std::size_t kMaxLength = 5;

bool is_space_character(char character) { return character == ' ' || character == '\n'; }

// Reads character by character what a server reads: everything but comments and the space outside of quotes.
class PlainReader {
 public:
  explicit PlainReader(std::string_view statement) : rest_(statement) {}

  std::string read() {
    while (!rest_.empty()) {
      if (quote_ != '\0') {
        read_quoted();
      } else {
        read_unquoted();
      }
    }
    return text_;
  }

 private:
  void keep(std::size_t count) {
    text_ += rest_.substr(0, count);
    rest_.remove_prefix(std::min(count, rest_.size()));
  }
  void read_quoted() {
    const bool is_escape = rest_[0] == '\\' && quote_ != '`';
    const bool is_doubled = rest_[0] == quote_ && rest_.size() > 1 && rest_[1] == quote_;
    if (is_escape || is_doubled) return keep(2);
    if (rest_[0] == quote_) quote_ = '\0';
    keep(1);
  }
  void read_unquoted() {
    const bool is_dashes = rest_.starts_with("--") && (rest_.size() == 2 || is_space_character(rest_[2]));
    if (rest_[0] == '#' || is_dashes) return skip_up_to(rest_.find('\n'));
    if (rest_.starts_with("/*!")) {
      is_executed_ = true;
      return rest_.remove_prefix(3);
    }
    if (rest_.starts_with("/*")) {
      const std::size_t end = rest_.find("*/", 2);
      return skip_up_to(end == rest_.npos ? end : end + 2);
    }
    if (is_executed_ && rest_.starts_with("*/")) {
      is_executed_ = false;
      return rest_.remove_prefix(2);
    }
    if (is_space_character(rest_[0])) return rest_.remove_prefix(1);
    if (rest_[0] == '\'' || rest_[0] == '`') quote_ = rest_[0];
    keep(1);
  }
  void skip_up_to(std::size_t end) { rest_.remove_prefix(std::min(end, rest_.size())); }

  std::string_view rest_;
  std::string text_;
  // The quote that ends the text being read; 0 outside of quotes.
  char quote_ = '\0';
  bool is_executed_ = false;
};

// Puts the tokens together again, with the quotes that stand around them in the statement.
std::string read_with_lexer(std::string_view statement) {
  const char* const end = statement.data() + statement.size();
  std::string text;
  Lexer lexer(statement);
  for (Token token = lexer.next(); token.kind != Token::Kind::kEnd; token = lexer.next()) {
    const bool is_quoted = token.kind == Token::Kind::kString || token.kind == Token::Kind::kQuotedName;
    const char* const last = token.text.data() + token.text.size();
    if (is_quoted) text += token.text.data()[-1];
    text += token.text;
    if (is_quoted && last < end) text += *last;
  }
  return text;
}

// Calls `check` with every string over the alphabet up to the length.
template <class Check>
void for_each_statement(std::string& statement, std::size_t length, const Check& check) {
  check(statement);
  if (length == 0) return;
  for (const char character : kAlphabet) {
    statement += character;
    for_each_statement(statement, length - 1, check);
    statement.pop_back();
  }
}

}  // namespace

TEST_CASE("sql: an executed comment begins with a version number or with the statement") {
  CHECK(read_with_lexer("/*!50001 a*/ b") == "ab");
  CHECK(read_with_lexer("/*!080001a*/ b") == "ab");
  CHECK(read_with_lexer("/*!5000 a*/ b") == "5000ab");
  CHECK(read_with_lexer("/*!a*/*/") == "a*/");
}

TEST_CASE("sql: the lexer reads comments and quotes as the published rules have them") {
  // Guards against a query between two comments that is not authorized and that an engine runs.
  std::size_t count = 0;
  std::string statement;
  for_each_statement(statement, kMaxLength, [&](const std::string& generated) {
    ++count;
    for (const std::string& checked : {generated, "1" + generated + "1", "a*" + generated + "/**/'"}) {
      if (read_with_lexer(checked) == PlainReader(checked).read()) continue;
      CAPTURE(checked, read_with_lexer(checked), PlainReader(checked).read());
      FAIL_CHECK("the lexer reads something else");
    }
  });
  CHECK(count > 100'000);
}

}  // namespace rookproxy::sql
