// Whether a statement only reads, and whether it depends on its session.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sql/lexer.h"

namespace rookproxy::sql {

// Whether the statement is known to only read. Any other counts as a write.
[[nodiscard]] bool is_read_only(std::string_view statement);
// The same for a statement that was split into tokens already.
[[nodiscard]] bool is_read_only(const std::vector<Token>& tokens);

// What the statement leaves in its session, or needs from it (a transaction, a lock, a temporary table, a
// variable ...), which later statements on another engine would miss; nothing if it is independent.
[[nodiscard]] std::optional<std::string> find_session_state(std::string_view statement);

}  // namespace rookproxy::sql
