// Determines the table group of a statement, by which requests are routed to engines.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace rookproxy::sql {

// The table groups that a statement's names indicate. A schema belongs to the group whose number follows the
// last underscore in its name; other schemas belong to no group.
struct TableGroups {
  // From the first schema in a list of tables that belongs to a group.
  std::optional<std::uint64_t> of_table;
  // From the first schema elsewhere that belongs to a group.
  std::optional<std::uint64_t> of_other_name;
  // Whether a table belongs to the session's schema.
  bool has_unqualified_table = false;

  // Returns the statement's group in a session with this default schema, or 0 if there is none.
  [[nodiscard]] std::uint64_t group_in(std::string_view default_schema) const;
};
[[nodiscard]] TableGroups find_table_groups(std::string_view statement);

// Returns the statement's group in a session with this default schema, or 0 if there is none.
[[nodiscard]] inline std::uint64_t table_group(std::string_view statement,
                                               std::string_view default_schema = "") {
  return find_table_groups(statement).group_in(default_schema);
}

}  // namespace rookproxy::sql
