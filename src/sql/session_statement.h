// Statements about the session itself, which the dispatcher answers: consecutive statements may run on
// different engines, so an engine's session can't hold the state that they set.
#pragma once

#include <string_view>

namespace rookproxy::sql {

// What a statement asks of its session.
enum class SessionStatement {
  kNone,            // it is not a statement about the session
  kNoEffect,        // it asks for what is in force anyway, as SET NAMES utf8mb4
  kAutocommitOn,    // recorded; nothing else changes
  kAutocommitOff,   // recorded; a later statement that would need a transaction is rejected
  kEndTransaction,  // COMMIT or ROLLBACK: there is never a transaction to end
};
[[nodiscard]] SessionStatement classify_session_statement(std::string_view statement);

// Whether the statement causes an implicit commit whatever autocommit says (DDL and the like).
[[nodiscard]] bool commits_implicitly(std::string_view statement);

}  // namespace rookproxy::sql
