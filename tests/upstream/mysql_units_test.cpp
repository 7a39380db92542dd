// Tests of the parts of a MySQL connection: prepared statements, error codes, and buffered responses.
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "mysql/protocol.h"
#include "upstream/engine_statement_cache.h"
#include "upstream/mysql_error_class.h"
#include "upstream/response_buffer.h"

using namespace rookproxy;

TEST_CASE("statement cache: the least recently used statement is evicted first") {
  EngineStatementCache statements;
  CHECK_FALSE(statements.use("0"));
  for (std::uint32_t id = 0; id <= 64; ++id) statements.add(std::to_string(id), id);
  CHECK(statements.use("0") == 0u);
  CHECK(statements.evict("none") == std::vector<std::uint32_t>{1});
  CHECK(statements.evict("none").empty());
  CHECK(statements.evict("5") == std::vector<std::uint32_t>{5});
  CHECK_FALSE(statements.use("5"));
  statements.remove("6");
  CHECK_FALSE(statements.use("6"));
}

TEST_CASE("mysql: an engine's error code determines the error class of the attempt") {
  CHECK(classify_mysql_error(mysql::kTooManyConnections) == MysqlErrorClass::kOverloaded);
  CHECK(classify_mysql_error(mysql::kServerNotAvailable) == MysqlErrorClass::kOverloaded);
  CHECK(classify_mysql_error(mysql::kServerShutdown) == MysqlErrorClass::kEngineFault);
  CHECK(classify_mysql_error(mysql::kOutOfResources) == MysqlErrorClass::kEngineFault);
  CHECK(classify_mysql_error(0) == MysqlErrorClass::kEngineFault);
  CHECK(classify_mysql_error(mysql::kNeedReprepare) == MysqlErrorClass::kUnknownStatement);
  CHECK(classify_mysql_error(mysql::kEmptyQuery) == MysqlErrorClass::kStatement);
}

TEST_CASE("response buffer: the total is updated when a buffer changes") {
  std::size_t total = 0;
  ResponseBuffer first(total);
  ResponseBuffer second(total);
  first.append("abc");
  second.append("de");
  CHECK(total == 5);
  CHECK(first.take() == "abc");
  CHECK(total == 2);
  second.clear();
  CHECK(total == 0);
  CHECK(second.size() == 0);
}
