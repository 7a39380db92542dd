#include "sql/table_group.h"

#include <array>

#include "base/numbers.h"
#include "sql/token_cursor.h"

namespace rookproxy::sql {
namespace {

constexpr std::array<std::string_view, 7> kWordsBeforeTables{"FROM",  "JOIN",   "INTO",   "UPDATE",
                                                             "TABLE", "DELETE", "REPLACE"};
constexpr std::array<std::string_view, 12> kWordsAfterTables{
    "WHERE", "SET", "VALUES", "VALUE", "SELECT", "ON", "GROUP", "HAVING", "ORDER", "LIMIT", "UNION", "USING"};

// A schema without an underscore, such as "staging", belongs to no group.
std::optional<std::uint64_t> group_of_schema(std::string_view schema) {
  const auto underscore = schema.rfind('_');
  if (underscore == schema.npos) return std::nullopt;
  return parse_number<std::uint64_t>(schema.substr(underscore + 1));
}

// Returns whether "schema.table" starts here.
bool is_qualified(const TokenCursor& tokens) {
  return tokens.has_mark('.', 1) && is_identifier(tokens.peek(2));
}

}  // namespace

TableGroups find_table_groups(std::string_view statement) {
  TableGroups groups;
  bool in_tables = false;
  for (TokenCursor tokens(statement); !tokens.at_end(); tokens.skip()) {
    const Token& token = tokens.peek();
    if (is_any_word(token, kWordsBeforeTables)) {
      in_tables = true;
      continue;
    }
    if (is_any_word(token, kWordsAfterTables)) in_tables = false;
    const bool is_tail_of_name = is_mark(tokens.previous(), '.');
    if (!is_identifier(token) || is_tail_of_name) continue;
    if (is_qualified(tokens)) {
      const auto group = group_of_schema(token.text);
      if (group && in_tables) {
        groups.of_table = group;
        return groups;
      }
      if (group && !groups.of_other_name) groups.of_other_name = group;
    } else if (in_tables) {
      groups.has_unqualified_table = true;
    }
  }
  return groups;
}

std::uint64_t TableGroups::group_in(std::string_view default_schema) const {
  if (of_table) return *of_table;
  if (has_unqualified_table) {
    if (const auto group = group_of_schema(default_schema)) return *group;
  }
  return of_other_name.value_or(0);
}

}  // namespace rookproxy::sql
