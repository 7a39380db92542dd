// Statements about the session itself.
#include "sql/session_statement.h"

#include <catch2/catch.hpp>
#include <utility>
#include <vector>

namespace rookproxy {
namespace {

using sql::SessionStatement;

TEST_CASE("sql: what a session asks for is told apart from what it would change") {
  const std::vector<std::pair<const char*, SessionStatement>> cases{
      {"SET AUTOCOMMIT = 0", SessionStatement::kAutocommitOff},
      {"set session autocommit=ON;", SessionStatement::kAutocommitOn},
      {"SET @@autocommit := false", SessionStatement::kAutocommitOff},
      {"SET GLOBAL autocommit = 0", SessionStatement::kNone},
      {"SET autocommit = 2", SessionStatement::kNone},
      {"SET autocommit = 0, sql_mode = ''", SessionStatement::kNone},
      {"SET NAMES utf8mb4", SessionStatement::kNoEffect},
      {"SET NAMES 'utf8'", SessionStatement::kNoEffect},
      {"SET NAMES latin1", SessionStatement::kNone},
      {"SET NAMES utf8mb4 COLLATE utf8mb4_bin", SessionStatement::kNone},
      {"SET character_set_results = NULL", SessionStatement::kNoEffect},
      {"COMMIT", SessionStatement::kEndTransaction},
      {"rollback work;", SessionStatement::kEndTransaction},
      {"COMMIT AND NO CHAIN NO RELEASE", SessionStatement::kEndTransaction},
      {"COMMIT AND CHAIN", SessionStatement::kNone},
      {"COMMIT RELEASE", SessionStatement::kNone},
      {"ROLLBACK TO SAVEPOINT a", SessionStatement::kNone},
      {"SET", SessionStatement::kNone},
      {"SET NAMES", SessionStatement::kNone},
      {"", SessionStatement::kNone}};
  for (const auto& [statement, expected] : cases) {
    INFO(statement);
    CHECK(sql::classify_session_statement(statement) == expected);
  }
}

}  // namespace
}  // namespace rookproxy
