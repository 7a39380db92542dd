#include "sql/session.h"

#include <algorithm>
#include <array>
#include <cctype>

#include "sql/lexer.h"

namespace rookproxy::sql {
namespace {

bool is_mark(const Token& token, char mark) {
  return token.kind == Token::Kind::kMark && token.text[0] == mark;
}

std::string lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return text;
}

// The statement's words without the mark at its end.
std::vector<Token> words(std::string_view statement) {
  auto list = tokenize(statement);
  while (!list.empty() && is_mark(list.back(), ';')) list.pop_back();
  return list;
}

SessionStatement autocommit(const Token& value) {
  const std::string text = lower(value.text);
  if (text == "1" || text == "on" || text == "true") return SessionStatement::kAutocommitOn;
  if (text == "0" || text == "off" || text == "false") return SessionStatement::kAutocommitOff;
  return SessionStatement::kNone;
}

bool is_utf8(const std::string& name) { return name == "utf8mb4" || name == "utf8" || name == "utf8mb3"; }

// SET of one variable, for the session.
SessionStatement set(const std::vector<Token>& list) {
  std::size_t at = 1;
  if (is_word(list[at], "NAMES")) {
    // With a collation it would change how strings compare, which is not kept.
    return list.size() == 3 && is_utf8(lower(list[2].text)) ? SessionStatement::kNoEffect
                                                            : SessionStatement::kNone;
  }
  if (is_word(list[at], "SESSION") || is_word(list[at], "LOCAL")) ++at;
  if (list.size() < at + 3) return SessionStatement::kNone;
  std::string name = lower(list[at].text);
  for (const std::string_view prefix : {"@@session.", "@@local.", "@@"}) {
    if (name.starts_with(prefix)) {
      name.erase(0, prefix.size());
      break;
    }
  }
  ++at;
  if (is_mark(list[at], ':') && at + 2 < list.size()) ++at;
  if (!is_mark(list[at], '=') || list.size() != at + 2) return SessionStatement::kNone;
  const Token& value = list[at + 1];
  if (name == "autocommit") return autocommit(value);
  const bool charset =
      name == "character_set_client" || name == "character_set_connection" || name == "character_set_results";
  if (charset && is_utf8(lower(value.text))) return SessionStatement::kNoEffect;
  // Results come in UTF-8 as they are, which is what NULL asks for.
  if (name == "character_set_results" && is_word(value, "NULL")) return SessionStatement::kNoEffect;
  return SessionStatement::kNone;
}

}  // namespace

SessionStatement classify_session_statement(std::string_view statement) {
  // The longest of these is short: nothing longer needs to be read.
  if (statement.size() > 200) return SessionStatement::kNone;
  const auto list = words(statement);
  if (list.empty()) return SessionStatement::kNone;
  if (is_word(list[0], "SET") && list.size() >= 3) return set(list);
  if (!is_word(list[0], "COMMIT") && !is_word(list[0], "ROLLBACK")) return SessionStatement::kNone;
  // Only '[WORK] [AND NO CHAIN] [NO RELEASE]': anything else asks for more than an end.
  constexpr std::array<std::string_view, 6> kTransactionEndWords{"WORK",  "AND", "NO",
                                                                 "CHAIN", "NO",  "RELEASE"};
  std::size_t next = 0;
  for (std::size_t i = 1; i < list.size(); ++i) {
    while (next < kTransactionEndWords.size() && !is_word(list[i], kTransactionEndWords[next])) ++next;
    if (next++ >= kTransactionEndWords.size()) return SessionStatement::kNone;
  }
  const auto has = [&](std::string_view word) {
    return std::any_of(list.begin(), list.end(), [&](const Token& t) { return is_word(t, word); });
  };
  const auto negated =
      std::count_if(list.begin(), list.end(), [](const Token& t) { return is_word(t, "NO"); });
  const bool plain =
      negated == (has("CHAIN") ? 1 : 0) + (has("RELEASE") ? 1 : 0) && has("AND") == has("CHAIN");
  return plain ? SessionStatement::kEndTransaction : SessionStatement::kNone;
}

bool commits_implicitly(std::string_view statement) {
  const auto list = tokenize(statement);
  constexpr std::array<std::string_view, 10> kWords{"CREATE", "ALTER",  "DROP",    "TRUNCATE", "RENAME",
                                                    "GRANT",  "REVOKE", "ANALYZE", "OPTIMIZE", "REPAIR"};
  return !list.empty() && std::any_of(kWords.begin(), kWords.end(),
                                      [&](std::string_view word) { return is_word(list[0], word); });
}

}  // namespace rookproxy::sql
