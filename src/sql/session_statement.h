// Recognizes statements about the session, which the dispatcher answers itself: consecutive statements may
// run on different engines, so an engine's session cannot hold the state that they set.
#pragma once

#include <string_view>

namespace rookproxy::sql {

// The effect of a statement on its session.
enum class SessionStatement {
  kNone,            // not a statement about the session
  kNoEffect,        // requests a setting that is always in force, such as SET NAMES utf8mb4
  kAutocommitOn,    // recorded without further effect
  kAutocommitOff,   // recorded; later statements that need a transaction are rejected
  kEndTransaction,  // COMMIT or ROLLBACK: there is never a transaction to end
};
// Returns kNone for any statement that it does not recognize.
[[nodiscard]] SessionStatement classify_session_statement(std::string_view statement);

// Returns whether the statement, such as DDL, causes an implicit commit regardless of autocommit.
[[nodiscard]] bool commits_implicitly(std::string_view statement);

}  // namespace rookproxy::sql
