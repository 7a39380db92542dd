// The group of tables that a statement works on, by which requests are routed to engines.
#pragma once

#include <cstdint>
#include <string_view>

namespace rookproxy::sql {

// The number behind the last underscore of the name of the schema that the statement reads or writes, or 0 if
// it names none. `default_schema` is the connection's, for tables whose schema is not written.
[[nodiscard]] std::uint64_t table_group(std::string_view statement, std::string_view default_schema = "");

}  // namespace rookproxy::sql
