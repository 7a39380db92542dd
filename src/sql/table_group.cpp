#include "sql/table_group.h"

#include <array>
#include <cstddef>
#include <optional>
#include <vector>

#include "base/numbers.h"
#include "sql/lexer.h"

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
bool is_qualified(const std::vector<Token>& tokens, std::size_t index) {
  return index + 2 < tokens.size() && is_mark(tokens[index + 1], '.') && is_identifier(tokens[index + 2]);
}

}  // namespace

std::uint64_t table_group(std::string_view statement, std::string_view default_schema) {
  const auto tokens = tokenize(statement);
  std::optional<std::uint64_t> group_elsewhere;  // from a name outside the lists of tables
  bool in_tables = false;
  bool has_unqualified_table = false;
  for (std::size_t index = 0; index < tokens.size(); ++index) {
    if (is_any_word(tokens[index], kWordsBeforeTables)) {
      in_tables = true;
      continue;
    }
    if (is_any_word(tokens[index], kWordsAfterTables)) in_tables = false;
    if (!is_identifier(tokens[index])) continue;
    const bool is_tail_of_name = index > 0 && is_mark(tokens[index - 1], '.');
    if (is_tail_of_name) continue;
    if (is_qualified(tokens, index)) {
      const auto group = group_of_schema(tokens[index].text);
      if (group && in_tables) return *group;
      if (group && !group_elsewhere) group_elsewhere = group;
    } else if (in_tables) {
      has_unqualified_table = true;
    }
  }
  if (has_unqualified_table) {
    if (const auto group = group_of_schema(default_schema)) return *group;
  }
  return group_elsewhere.value_or(0);
}

}  // namespace rookproxy::sql
