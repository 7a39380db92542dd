// Tests of the parts of a MySQL connection: prepared statements, error codes, and buffered responses.
#include <catch2/catch.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "mysql/protocol.h"
#include "policy/memory_ledger.h"
#include "support/processor_time.h"
#include "upstream/engine_statement_cache.h"
#include "upstream/mysql_error_class.h"
#include "upstream/response_buffer.h"

using namespace rookproxy;
using routing::Outcome;

TEST_CASE("statement cache: the least recently used statement is evicted first") {
  EngineStatementCache statements(nullptr);
  CHECK_FALSE(statements.use({"", "0"}));
  for (std::uint32_t id = 0; id < 64; ++id) CHECK(statements.add({"", std::to_string(id)}, id).empty());
  CHECK(statements.use({"", "0"}) == 0u);
  CHECK(statements.add({"", "64"}, 64) == std::vector<std::uint32_t>{1});
  CHECK(statements.evict({"", "none"}).empty());
  CHECK(statements.evict({"", "5"}) == std::vector<std::uint32_t>{5});
  CHECK_FALSE(statements.use({"", "5"}));
  statements.remove({"", "6"});
  CHECK_FALSE(statements.use({"", "6"}));
}

TEST_CASE("statement cache: a statement that is added again replaces the earlier one") {
  // Guards against a place in the order of use that outlives its statement (a crash at the next eviction).
  EngineStatementCache statements(nullptr);
  CHECK(statements.add({"", "again"}, 1).empty());
  CHECK(statements.add({"", "again"}, 2) == std::vector<std::uint32_t>{1});
  CHECK(statements.use({"", "again"}) == 2u);
  for (std::uint32_t id = 10; id < 73; ++id) CHECK(statements.add({"", std::to_string(id)}, id).empty());
  CHECK(statements.add({"", "last"}, 99) == std::vector<std::uint32_t>{2});
  for (std::uint32_t id = 10; id < 73; ++id) {
    CHECK(statements.add({"", "new " + std::to_string(id)}, id) == std::vector<std::uint32_t>{id});
  }
}

TEST_CASE("statement cache: a text that was prepared in another schema is another statement") {
  // Guards against a tenant that is served the rows of the tenant in whose schema a statement was prepared.
  EngineStatementCache statements(nullptr);
  CHECK(statements.add({"school", "SELECT 1"}, 1).empty());
  CHECK_FALSE(statements.use({"", "SELECT 1"}));
  CHECK_FALSE(statements.use({"other", "SELECT 1"}));
  CHECK(statements.add({"other", "SELECT 1"}, 2).empty());
  CHECK(statements.use({"school", "SELECT 1"}) == 1u);
  CHECK(statements.use({"other", "SELECT 1"}) == 2u);
  CHECK(statements.evict({"school", "SELECT 1"}) == std::vector<std::uint32_t>{1});
  CHECK(statements.use({"other", "SELECT 1"}) == 2u);
}

TEST_CASE("statement cache: a text is compared with few of the others") {
  // Guards against executions that take as long as comparing megabytes with every statement of a connection.
  constexpr std::size_t kTextBytes = 64 * 1024;
  constexpr int kStatementCount = 64;
  // Between the logarithm of the number of statements and the number, with room for the scatter of
  // measurements.
  constexpr double kMaxCostGrowth = 24;
  EngineStatementCache one_statement(nullptr), many_statements(nullptr);
  std::string text(kTextBytes, 'x');
  for (std::uint32_t id = 0; id < kStatementCount; ++id) {
    text.back() = static_cast<char>('0' + id);
    (void)many_statements.add({"", text}, id);
    if (id == 0) (void)one_statement.add({"", text}, id);
  }
  const auto cost_of_all = [](EngineStatementCache& statements, std::string searched) {
    return test::least_processor_time(3, [&] {
      for (int id = 0; id < kStatementCount; ++id) {
        searched.back() = static_cast<char>('0' + id);
        (void)statements.use({"", searched});
      }
    });
  };
  const auto cost_of_one = cost_of_all(one_statement, text);
  const auto cost_of_many = cost_of_all(many_statements, text);
  INFO(cost_of_one.count() << " ns, then " << cost_of_many.count() << " ns");
  CHECK(static_cast<double>(cost_of_many.count()) <
        kMaxCostGrowth * static_cast<double>(cost_of_one.count()));
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

TEST_CASE("mysql: no error code in response to an execution proves that it never ran") {
  // Guards against repeating a load whose procedure failed after some of its statements had run.
  FailedMysqlAttempt attempt;
  attempt.progress = policy::AttemptProgress::kRequested;
  for (std::uint32_t code = 0; code <= UINT16_MAX; ++code) {
    for (const bool is_prepared : {false, true}) {
      attempt.executes_prepared_statement = is_prepared;
      const MysqlErrorClass error = classify_mysql_error(static_cast<std::uint16_t>(code));
      const Outcome outcome = outcome_of_mysql_error(error, attempt);
      if (outcome != Outcome::kServed && outcome != Outcome::kError) FAIL("error " << code);
    }
  }
}

TEST_CASE(
    "mysql: an error tells that nothing ran before the execution, or matters only to a repeatable one") {
  const auto outcome = [](std::uint16_t code, policy::AttemptProgress progress, bool is_idempotent) {
    return outcome_of_mysql_error(classify_mysql_error(code), {progress, true, is_idempotent});
  };
  constexpr auto kBefore = policy::AttemptProgress::kNotRequested;
  constexpr auto kAfter = policy::AttemptProgress::kRequested;
  for (const bool is_idempotent : {false, true}) {
    CHECK(outcome(mysql::kTooManyConnections, kBefore, is_idempotent) == Outcome::kRejected);
    CHECK(outcome(mysql::kServerShutdown, kBefore, is_idempotent) == Outcome::kRejected);
    CHECK(outcome(mysql::kNeedReprepare, kBefore, is_idempotent) == Outcome::kNotSent);
    CHECK(outcome(mysql::kServerShutdown, kAfter, is_idempotent) == Outcome::kError);
    CHECK(outcome(mysql::kEmptyQuery, kAfter, is_idempotent) == Outcome::kServed);
  }
  CHECK(outcome(mysql::kTooManyConnections, kAfter, true) == Outcome::kRejected);
  CHECK(outcome(mysql::kUnknownStatement, kAfter, true) == Outcome::kNotSent);
}

TEST_CASE("response buffer: the ledger knows what the buffers hold, and both limits refuse more") {
  const auto memory = std::make_shared<policy::MemoryLedger>();
  const auto held = [&] { return memory->held(policy::MemoryUse::kEngineResults); };
  memory->set_limit(policy::MemoryUse::kEngineResults, 6);
  ResponseBuffer first(memory, 4);
  ResponseBuffer second(memory, 4);
  CHECK(first.try_append("abc"));
  CHECK_FALSE(first.try_append("de"));  // One response has at most 4 bytes.
  CHECK(second.try_append("de"));
  CHECK_FALSE(second.try_append("fg"));  // All together have at most 6.
  CHECK(held() == 5);
  CHECK(first.take() == "abc");
  CHECK(held() == 2);
  CHECK(second.try_append("fg"));
  second.clear();
  CHECK(held() == 0);
  CHECK(second.size() == 0);
  {
    ResponseBuffer lost(memory, 4);
    CHECK(lost.try_append("abcd"));
  }
  CHECK(held() == 0);
}

TEST_CASE("statement cache: a text that memory is too short for is in single use") {
  // Guards against sessions with engines that together keep more texts than the process may hold.
  const auto memory = std::make_shared<policy::MemoryLedger>();
  memory->set_limit(policy::MemoryUse::kEngineStatements, 8);
  EngineStatementCache statements(memory), others(memory);
  CHECK(statements.add({"", "four"}, 1).empty());
  CHECK(statements.add({"", "more"}, 2).empty());
  CHECK(statements.add({"", "next"}, 3) == std::vector<std::uint32_t>{1});
  CHECK(others.add({"", "text"}, 7).empty());  // In single use.
  CHECK(others.use({"", "text"}) == 7u);
  CHECK(others.end_use() == std::vector<std::uint32_t>{7});
  CHECK_FALSE(others.use({"", "text"}));
  CHECK(others.end_use().empty());
  CHECK(memory->held(policy::MemoryUse::kEngineStatements) == 8);
  CHECK(statements.add({"", "too long a text"}, 4) == std::vector<std::uint32_t>{2, 3});
  CHECK(memory->held(policy::MemoryUse::kEngineStatements) == 0);
}
