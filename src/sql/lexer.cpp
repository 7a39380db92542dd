#include "sql/lexer.h"

#include <algorithm>
#include <array>
#include <cctype>

#include "base/numbers.h"

namespace rookproxy::sql {
namespace {

bool word_char(char c) {
  return std::isalnum(static_cast<unsigned char>(c)) || c == '_' || c == '$' || (c & 0x80) != 0;
}

// The end of what a quote opens at `at`; doubled quotes, and backslashes but for backticks, don't close it.
std::size_t quoted_end(std::string_view text, std::size_t at, std::string* inner) {
  const char quote = text[at];
  for (std::size_t i = at + 1; i < text.size(); ++i) {
    if (text[i] == '\\' && quote != '`') {
      ++i;
      continue;
    }
    if (text[i] == quote) {
      if (i + 1 >= text.size() || text[i + 1] != quote) return i + 1;
      ++i;
    }
    if (inner) *inner += text[i];
  }
  return text.size();
}

template <std::size_t N>
bool among(const Token& token, const std::array<std::string_view, N>& words) {
  return std::any_of(words.begin(), words.end(), [&](std::string_view word) { return is_word(token, word); });
}

bool is_mark(const Token& token, char mark) {
  return token.kind == Token::Kind::kMark && token.text[0] == mark;
}

bool is_name(const Token& token) {
  return token.kind == Token::Kind::kWord || token.kind == Token::Kind::kQuotedName;
}

std::optional<std::uint64_t> group_in(std::string_view schema) {
  const auto underscore = schema.rfind('_');
  if (underscore == schema.npos) return std::nullopt;
  return parse_number<std::uint64_t>(schema.substr(underscore + 1));
}

constexpr std::size_t kShortString = 66;  // with its quotes; nobody looks into longer ones

constexpr std::array<std::string_view, 7> kBeforeTables{"FROM",  "JOIN",   "INTO",   "UPDATE",
                                                        "TABLE", "DELETE", "REPLACE"};
constexpr std::array<std::string_view, 12> kAfterTables{
    "WHERE", "SET", "VALUES", "VALUE", "SELECT", "ON", "GROUP", "HAVING", "ORDER", "LIMIT", "UNION", "USING"};

}  // namespace

bool is_word(const Token& token, std::string_view upper_case) {
  return token.kind == Token::Kind::kWord &&
         std::equal(token.text.begin(), token.text.end(), upper_case.begin(), upper_case.end(),
                    [](char a, char b) { return std::toupper(static_cast<unsigned char>(a)) == b; });
}

std::vector<Token> tokens(std::string_view s) {
  std::vector<Token> out;
  for (std::size_t i = 0; i < s.size();) {
    const char c = s[i];
    const char next = i + 1 < s.size() ? s[i + 1] : '\0';
    const char after = i + 2 < s.size() ? s[i + 2] : ' ';
    if (std::isspace(static_cast<unsigned char>(c))) {
      ++i;
    } else if (c == '#' || (c == '-' && next == '-' && static_cast<unsigned char>(after) <= ' ')) {
      i = std::min(s.find('\n', i), s.size());
    } else if (c == '/' && next == '*' && after == '!') {
      for (i += 3; i < s.size() && std::isdigit(static_cast<unsigned char>(s[i]));) ++i;
    } else if (c == '/' && next == '*') {
      const auto end = s.find("*/", i + 2);
      i = end == s.npos ? s.size() : end + 2;
    } else if (c == '*' && next == '/') {
      i += 2;  // of a '/*!' comment, whose body was read
    } else if (c == '\'' || c == '"') {
      Token string{Token::Kind::kString, ""};
      const std::size_t end = quoted_end(s, i, nullptr);
      if (end - i <= kShortString) quoted_end(s, i, &string.text);
      i = end;
      out.push_back(std::move(string));
    } else if (c == '`') {
      Token name{Token::Kind::kQuotedName, ""};
      i = quoted_end(s, i, &name.text);
      out.push_back(std::move(name));
    } else if (c == '@') {
      std::size_t end = i + 1;
      while (end < s.size() && (s[end] == '@' || s[end] == '.' || word_char(s[end]))) ++end;
      out.push_back({Token::Kind::kVariable, std::string(s.substr(i, end - i))});
      i = end;
    } else if (word_char(c)) {
      std::size_t end = i;
      while (end < s.size() && word_char(s[end])) ++end;
      const std::string_view text = s.substr(i, end - i);
      const bool number = std::all_of(text.begin(), text.end(),
                                      [](char d) { return std::isdigit(static_cast<unsigned char>(d)); });
      out.push_back({number ? Token::Kind::kNumber : Token::Kind::kWord, std::string(text)});
      i = end;
    } else {
      out.push_back({Token::Kind::kMark, std::string(1, c)});
      ++i;
    }
  }
  return out;
}

std::uint64_t table_group(std::string_view statement, std::string_view schema) {
  const auto list = tokens(statement);
  std::optional<std::uint64_t> anywhere;
  bool tables = false, bare_table = false;
  for (std::size_t i = 0; i < list.size(); ++i) {
    if (among(list[i], kBeforeTables)) {
      tables = true;
      continue;
    }
    if (among(list[i], kAfterTables)) tables = false;
    if (!is_name(list[i])) continue;
    // 'schema.table', and not the tail of a longer name.
    const bool qualified = i + 2 < list.size() && is_mark(list[i + 1], '.') && is_name(list[i + 2]);
    const bool tail = i > 0 && is_mark(list[i - 1], '.');
    if (qualified && !tail) {
      const auto group = list[i].text == "staging" ? std::nullopt : group_in(list[i].text);
      if (group && tables) return *group;
      if (group && !anywhere) anywhere = group;
    } else if (tables && !tail) {
      bare_table = true;
    }
  }
  if (bare_table && schema != "staging") {
    if (const auto group = group_in(schema)) return *group;
  }
  return anywhere.value_or(0);
}

bool only_reads(std::string_view statement) {
  const auto list = tokens(statement);
  if (list.empty()) return true;
  constexpr std::array<std::string_view, 6> kReaders{"SELECT", "SHOW", "EXPLAIN", "DESCRIBE", "DESC", "WITH"};
  std::size_t first = 0;
  while (first < list.size() && is_mark(list[first], '(')) ++first;
  if (first == list.size() || !among(list[first], kReaders)) return false;
  constexpr std::array<std::string_view, 9> kWriters{"INSERT", "UPDATE", "DELETE",  "REPLACE", "INTO",
                                                     "LOAD",   "CALL",   "ANALYZE", "DO"};
  for (std::size_t i = first; i < list.size(); ++i) {
    if (among(list[i], kWriters)) return false;
    if (is_mark(list[i], ';') && i + 1 < list.size()) return false;  // a second statement
    // 'x := ...' sets a variable. A function that is not MySQL's own may do anything.
    if (is_mark(list[i], ':') && i + 1 < list.size() && is_mark(list[i + 1], '=')) return false;
    if (list[i].kind == Token::Kind::kQuotedName && i + 1 < list.size() && is_mark(list[i + 1], '('))
      return false;
    if (list[i].kind != Token::Kind::kWord || i + 1 >= list.size() || !is_mark(list[i + 1], '(')) continue;
    constexpr std::array<std::string_view, 56> kHarmless{
        "COUNT",        "SUM",      "AVG",    "MIN",       "MAX",      "COALESCE", "IFNULL",      "NULLIF",
        "IF",           "CONCAT",   "SUBSTR", "SUBSTRING", "LOWER",    "UPPER",    "TRIM",        "LENGTH",
        "ROUND",        "FLOOR",    "CEIL",   "CEILING",   "ABS",      "MOD",      "NOW",         "DATE",
        "YEAR",         "MONTH",    "DAY",    "DATEDIFF",  "DATE_ADD", "DATE_SUB", "DATE_FORMAT", "CAST",
        "CONVERT",      "LEFT",     "RIGHT",  "REPEAT",    "IN",       "VALUES",   "AND",         "OR",
        "NOT",          "ON",       "USING",  "FROM",      "JOIN",     "SELECT",   "WHERE",       "AS",
        "GROUP_CONCAT", "DISTINCT", "EXISTS", "OVER",      "BY",       "VERSION",  "DATABASE",    "HAVING"};
    if (!among(list[i], kHarmless)) return false;
  }
  return true;
}

std::optional<std::string> session_state(std::string_view statement) {
  const auto list = tokens(statement);
  if (list.empty()) return std::nullopt;
  const auto at = [&](std::size_t i) { return i < list.size() ? list[i] : Token{}; };
  constexpr std::array<std::string_view, 6> kTransactions{"BEGIN",     "COMMIT",  "ROLLBACK",
                                                          "SAVEPOINT", "RELEASE", "XA"};
  if (among(list[0], kTransactions) || (is_word(list[0], "START") && is_word(at(1), "TRANSACTION"))) {
    return "transactions";
  }
  if (is_word(list[0], "LOCK") || is_word(list[0], "UNLOCK") || is_word(list[0], "FLUSH"))
    return "table locks";
  if (is_word(list[0], "HANDLER") || is_word(list[0], "DECLARE")) return "cursors";
  if (is_word(list[0], "PREPARE") || is_word(list[0], "EXECUTE") || is_word(list[0], "DEALLOCATE")) {
    return "prepared statements in SQL text";
  }
  if (is_word(list[0], "SET") && !is_word(at(1), "GLOBAL")) return "session variables";
  if (is_word(list[0], "USE")) return "USE in SQL text";
  if (is_word(list[0], "SHOW") && (is_word(at(1), "WARNINGS") || is_word(at(1), "ERRORS"))) {
    return "results of an earlier statement";
  }
  for (std::size_t i = 0; i < list.size(); ++i) {
    if (is_word(list[i], "TEMPORARY")) return "temporary tables";
    if (is_mark(list[i], ';') && i + 1 < list.size()) return "several statements in one";
    if (list[i].kind == Token::Kind::kVariable && !list[i].text.starts_with("@@")) return "user variables";
    if (is_word(list[i], "GET_LOCK") || is_word(list[i], "RELEASE_LOCK") ||
        is_word(list[i], "IS_USED_LOCK")) {
      return "named locks";
    }
    if (is_word(list[i], "LAST_INSERT_ID") || is_word(list[i], "FOUND_ROWS") ||
        is_word(list[i], "ROW_COUNT")) {
      return "results of an earlier statement";
    }
    if (is_word(list[i], "FOR") && (is_word(at(i + 1), "UPDATE") || is_word(at(i + 1), "SHARE"))) {
      return "row locks";
    }
    if (is_word(list[i], "LOCK") && is_word(at(i + 1), "IN")) return "row locks";
  }
  return std::nullopt;
}

}  // namespace rookproxy::sql
