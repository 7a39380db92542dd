// Statements about a session that get their true answer here, since consecutive statements may run on
// different engines: what holds anyway, what is remembered, and what was never begun.
#pragma once

#include <string_view>

namespace rookproxy::sql {

enum class SessionStatement {
  kNone,            // not one of these
  kNoEffect,        // asks for what holds anyway, as SET NAMES utf8mb4
  kAutocommitOn,    // remembered; nothing else changes
  kAutocommitOff,   // remembered; the statement that then would need a transaction is turned down
  kEndTransaction,  // COMMIT or ROLLBACK: there is never one to end
};
SessionStatement classify_session_statement(std::string_view statement);

// Does the statement end in a commit of its own whatever autocommit says (DDL and the like)?
bool commits_implicitly(std::string_view statement);

}  // namespace rookproxy::sql
