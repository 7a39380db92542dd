// Determines whether a statement only reads and whether it depends on its session.
#pragma once

#include <optional>
#include <string_view>

namespace rookproxy::sql {

// Returns whether the statement has nothing to run: no text but spaces and comments.
[[nodiscard]] bool is_empty(std::string_view statement);

// Returns whether the statement is known to only read. Any other statement counts as a write.
[[nodiscard]] bool is_read_only(std::string_view statement);

// Returns the kind of session state that the statement creates or needs (such as a transaction, a lock, a
// temporary table or a variable) and that would be missing on another engine, or nothing if it needs none.
[[nodiscard]] std::optional<std::string_view> find_session_state(std::string_view statement);

// Returns whether the statement may leave state in the session that runs it, such as a transaction, a setting
// or a temporary table: it calls a procedure, or is of a kind that is not known to leave none. Examines only
// the first words.
[[nodiscard]] bool may_change_session(std::string_view statement);

}  // namespace rookproxy::sql
