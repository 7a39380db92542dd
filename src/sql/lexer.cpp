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
  if (token.kind != Token::Kind::kWord || token.text.size() != upper_case.size()) return false;
  // ASCII alone, as keywords are; a locale's notion of letters is none of theirs.
  for (std::size_t i = 0; i < upper_case.size(); ++i) {
    const char c = token.text[i];
    if ((c >= 'a' && c <= 'z' ? c - ('a' - 'A') : c) != upper_case[i]) return false;
  }
  return true;
}

std::vector<Token> tokenize(std::string_view s) {
  std::vector<Token> out;
  out.reserve(std::min<std::size_t>(s.size() / 4 + 4, 4096));
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

std::optional<std::string> find_ambiguity(std::string_view s, bool mysql) {
  for (std::size_t i = 0; i < s.size();) {
    const char c = s[i];
    const char next = i + 1 < s.size() ? s[i + 1] : '\0';
    const char after = i + 2 < s.size() ? s[i + 2] : ' ';
    if (static_cast<unsigned char>(c) < 32 && c != '\t' && c != '\n' && c != '\r')
      return "a control character";
    if (!mysql && (c == '$' || c == '#' || c == '[' || c == '{')) return std::string("a '") + c + "'";
    if (c == '#' || (c == '-' && next == '-')) {
      if (c == '-' && static_cast<unsigned char>(after) > ' ') {
        if (!mysql) return "'--' with no space after it";
        ++i;  // two minus signs
        continue;
      }
      // Some end such a comment at a lone carriage return.
      const auto end = std::min(s.find('\n', i), s.size());
      if (s.substr(i, end - i).find('\r') < end - i - (end < s.size() && s[end - 1] == '\r')) {
        return "a carriage return in a comment";
      }
      i = end;
    } else if (c == '/' && next == '*') {
      if (after == '!' || (after == 'M' && i + 3 < s.size() && s[i + 3] == '!')) {
        return "a comment that some servers run";
      }
      const auto end = s.find("*/", i + 2);
      if (end == s.npos) return "a comment that does not end";
      if (s.substr(i + 2, end - i - 2).find("/*") != s.npos) return "a comment within a comment";
      i = end + 2;
    } else if (c == '\'' || c == '"' || c == '`') {
      std::size_t at = i + 1;
      for (;; ++at) {
        if (at >= s.size()) return "a quote that does not end";
        if (s[at] == '\0') return "a control character";
        if (s[at] == '\\' && c != '`') {
          if (!mysql) return "a backslash in a string";
          ++at;
        } else if (s[at] == c) {
          if (at + 1 >= s.size() || s[at + 1] != c) break;
          ++at;
        }
      }
      i = at + 1;
    } else {
      ++i;
    }
  }
  return std::nullopt;
}

std::uint64_t table_group(std::string_view statement, std::string_view schema) {
  const auto list = tokenize(statement);
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

bool is_side_effect_free_function(const Token& token) {
  constexpr auto kNames = std::to_array<std::string_view>({"ABS",
                                                           "ASCII",
                                                           "AVG",
                                                           "BINARY",
                                                           "BIT_COUNT",
                                                           "CAST",
                                                           "CEIL",
                                                           "CEILING",
                                                           "CHAR",
                                                           "CHAR_LENGTH",
                                                           "COALESCE",
                                                           "CONCAT",
                                                           "CONCAT_WS",
                                                           "CONVERT",
                                                           "COUNT",
                                                           "CRC32",
                                                           "CUME_DIST",
                                                           "CURDATE",
                                                           "CURRENT_DATE",
                                                           "CURRENT_TIME",
                                                           "CURRENT_TIMESTAMP",
                                                           "CURTIME",
                                                           "DATABASE",
                                                           "DATE",
                                                           "DATEDIFF",
                                                           "DATETIME",
                                                           "DATE_ADD",
                                                           "DATE_FORMAT",
                                                           "DATE_SUB",
                                                           "DAY",
                                                           "DAYNAME",
                                                           "DAYOFMONTH",
                                                           "DAYOFWEEK",
                                                           "DAYOFYEAR",
                                                           "DECIMAL",
                                                           "DENSE_RANK",
                                                           "EXTRACT",
                                                           "FIRST_VALUE",
                                                           "FLOOR",
                                                           "FORMAT",
                                                           "FROM_UNIXTIME",
                                                           "GREATEST",
                                                           "GROUP_CONCAT",
                                                           "HEX",
                                                           "HOUR",
                                                           "IF",
                                                           "IFNULL",
                                                           "INSTR",
                                                           "ISNULL",
                                                           "JSON_ARRAY",
                                                           "JSON_EXTRACT",
                                                           "JSON_OBJECT",
                                                           "JSON_UNQUOTE",
                                                           "LAG",
                                                           "LAST_DAY",
                                                           "LAST_VALUE",
                                                           "LEAD",
                                                           "LEAST",
                                                           "LEFT",
                                                           "LENGTH",
                                                           "LN",
                                                           "LOCATE",
                                                           "LOG",
                                                           "LOWER",
                                                           "LPAD",
                                                           "LTRIM",
                                                           "MAX",
                                                           "MD5",
                                                           "MID",
                                                           "MIN",
                                                           "MINUTE",
                                                           "MOD",
                                                           "MONTH",
                                                           "MONTHNAME",
                                                           "NOW",
                                                           "NTILE",
                                                           "NULLIF",
                                                           "PERCENT_RANK",
                                                           "POW",
                                                           "POWER",
                                                           "QUARTER",
                                                           "RANK",
                                                           "REPEAT",
                                                           "REVERSE",
                                                           "RIGHT",
                                                           "ROUND",
                                                           "ROW",
                                                           "ROW_NUMBER",
                                                           "RPAD",
                                                           "RTRIM",
                                                           "SECOND",
                                                           "SHA1",
                                                           "SHA2",
                                                           "SIGN",
                                                           "SQRT",
                                                           "STD",
                                                           "STDDEV",
                                                           "STDDEV_POP",
                                                           "STDDEV_SAMP",
                                                           "STR_TO_DATE",
                                                           "SUBSTR",
                                                           "SUBSTRING",
                                                           "SUBSTRING_INDEX",
                                                           "SUM",
                                                           "TIME",
                                                           "TIMESTAMPDIFF",
                                                           "TIMESTAMP",
                                                           "TRIM",
                                                           "TRUNCATE",
                                                           "UCASE",
                                                           "UNHEX",
                                                           "UNIX_TIMESTAMP",
                                                           "UPPER",
                                                           "UTC_TIMESTAMP",
                                                           "VARCHAR",
                                                           "VARIANCE",
                                                           "VAR_POP",
                                                           "VAR_SAMP",
                                                           "VERSION",
                                                           "WEEK",
                                                           "WEEKDAY",
                                                           "YEAR"});
  return among(token, kNames);
}

bool is_keyword_before_parenthesis(const Token& token) {
  constexpr auto kWords = std::to_array<std::string_view>(
      {"ALL",       "AND",      "ANY",    "AS",        "BETWEEN", "BY",      "CASE", "DISTINCT",
       "DIV",       "ELSE",     "EXCEPT", "EXISTS",    "FROM",    "HAVING",  "IN",   "INDEX",
       "INTERSECT", "INTERVAL", "IS",     "JOIN",      "KEY",     "LATERAL", "LIKE", "NOT",
       "ON",        "OR",       "OVER",   "PARTITION", "REGEXP",  "SELECT",  "SOME", "THEN",
       "UNION",     "USING",    "VALUE",  "VALUES",    "WHEN",    "WHERE",   "XOR"});
  return among(token, kWords);
}

bool is_read_only(std::string_view statement) { return is_read_only(tokenize(statement)); }

bool is_read_only(const std::vector<Token>& list) {
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
    if (!is_side_effect_free_function(list[i]) && !is_keyword_before_parenthesis(list[i])) return false;
  }
  return true;
}

std::optional<std::string> find_session_state(std::string_view statement) {
  const auto list = tokenize(statement);
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
