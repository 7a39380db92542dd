// As much SQL as the dispatcher has to see: words and names outside strings and comments.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rookproxy::sql {

struct Token {
  enum class Kind { kWord, kQuotedName, kNumber, kString, kVariable, kMark };
  Kind kind = Kind::kMark;
  std::string
      text;  // a word, a name without its quotes, a short string likewise, or one character of punctuation
};

// Comments are left out, except the bodies of '/*!' ones, which MySQL runs. Unclosed strings run to the end.
std::vector<Token> tokenize(std::string_view statement);

// Where servers, or their modes, would part the text otherwise, so that these tokens may not be what is run:
// the first such place in words, or nothing. `mysql`: only what MySQL servers themselves read differently.
std::optional<std::string> find_ambiguity(std::string_view statement, bool mysql);

bool is_word(const Token& token, std::string_view upper_case);

// Of a word before a parenthesis: is it a function that looks at nothing but its arguments and the session,
// or a word that may stand there without being one? Any other may be a stored function, which reads and
// writes what it likes.
bool is_side_effect_free_function(const Token& token);
bool is_keyword_before_parenthesis(const Token& token);

// The group of tables: the number after the underscore in the name of the schema that the statement reads or
// writes; 0 if it names none. `schema` is the connection's default, used where tables carry no schema's name.
std::uint64_t table_group(std::string_view statement, std::string_view schema = "");

// Is the statement known to only read? Everything else counts as a write.
bool is_read_only(std::string_view statement);
bool is_read_only(const std::vector<Token>& statement);

// Would it leave something behind in its session (a transaction, a lock, a temporary table, a variable ...)
// that later statements, on whichever engine they land, would miss? Says what, or nothing.
std::optional<std::string> find_session_state(std::string_view statement);

}  // namespace rookproxy::sql
