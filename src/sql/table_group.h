// Determines the table group of a statement, by which requests are routed to engines.
#pragma once

#include <cstdint>
#include <string_view>

namespace rookproxy::sql {

// Returns the number after the last underscore in the name of the schema that the statement accesses, or 0 if
// there is none. `default_schema` is the connection's schema, to which unqualified tables belong.
[[nodiscard]] std::uint64_t table_group(std::string_view statement, std::string_view default_schema = "");

}  // namespace rookproxy::sql
