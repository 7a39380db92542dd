// Sessions with engines that speak MySQL, in orders of events that the test controls: it plays the engine.
#include <catch2/catch.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <sstream>
#include <string>

#include "fakes/sockets.h"
#include "mysql/protocol.h"
#include "net/sockets.h"
#include "support/run_until.h"
#include "support/scripted_mysql_session.h"
#include "upstream/mysql_pool.h"

using namespace rookproxy;
using namespace rookproxy::test;

namespace {

constexpr EngineId kEngine = 0;
constexpr std::size_t kMaxResultBytes = 1U << 20;
constexpr std::size_t kMaxTotalResultBytes = 2U << 20;

std::string command(std::uint8_t code, const std::string& arguments) {
  return std::string(1, static_cast<char>(code)) + arguments;
}

// A pool with one engine, and the ends of its attempts.
class PoolFixture final : public EngineTransportCallbacks {
 public:
  PoolFixture() { pool.set_engine_address(kEngine, {kLoopbackAddress, local_port(listener)}); }

  AttemptKey send(Query::Kind kind, const std::string& statement, const std::string& schema = "") {
    auto query = std::make_shared<Query>();
    query->id = std::to_string(++requests_);
    query->kind = kind;
    query->statement = statement;
    query->schema = schema;
    query->rows_as_text_lines = false;
    AttemptRequest request;
    request.key = {requests_, 0};
    request.engine = kEngine;
    request.query = query;
    request.deadline = loop.now() + Duration(kWaitLimit);
    pool.send(request);
    return request.key;
  }
  bool wait_for_end(AttemptKey key) {
    return run_until(loop, [&] { return ended.contains(key); });
  }

  bool may_start(AttemptKey) override { return true; }
  void on_attempt_ended(AttemptKey key, AttemptResult result) override {
    ended.emplace(key, std::move(result));
  }
  void on_attempt_update(AttemptKey, routing::AttemptUpdateKind, double) override {}
  void on_probe_ended(EngineId, Outcome, std::optional<LoadReport>) override {}

  EventLoop loop;
  FileDescriptor listener = listen_on_free_port();
  std::ostringstream log_text;
  Logger log{log_text, LogLevel::kDebug, "h", "a"};
  Metrics metrics;
  std::map<AttemptKey, AttemptResult> ended;
  MysqlPool pool{loop,
                 log,
                 *this,
                 metrics,
                 {},
                 {"rookproxy", "engine-secret", ""},
                 {kMaxResultBytes, kMaxTotalResultBytes}};

 private:
  RequestKey requests_ = 0;
};

}  // namespace

TEST_CASE("mysql session: the late response to a cancelled attempt's command is not another attempt's") {
  // Guards against a crash, foreign rows and loads that nobody sent, after a client left during a PREPARE.
  // The response that is awaited at the cancellation: that to a PREPARE, or to the selection of a schema.
  const bool prepares = GENERATE(true, false);
  const auto next = GENERATE(Query::Kind::kStatement, Query::Kind::kPrepare, Query::Kind::kExecute);
  const bool is_error = GENERATE(false, true);
  CAPTURE(prepares, static_cast<int>(next), is_error);
  PoolFixture fixture;
  const AttemptKey cancelled =
      fixture.send(Query::Kind::kExecute, "INSERT INTO t VALUES (?)", prepares ? "" : "school");
  ScriptedMysqlSession first(fixture.loop, fixture.listener);
  const std::string sent = first.read_command();
  REQUIRE(sent == (prepares ? command(mysql::kStmtPrepare, "INSERT INTO t VALUES (?)")
                            : command(mysql::kInitDb, "school")));
  REQUIRE(fixture.pool.cancel(cancelled));

  // The session still waits for the response, so the next attempt gets another one.
  const AttemptKey lookup = fixture.send(next, "SELECT 2");
  ScriptedMysqlSession second(fixture.loop, fixture.listener);
  const bool starts_with_prepare = next != Query::Kind::kStatement;
  CHECK(second.read_command() ==
        command(starts_with_prepare ? mysql::kStmtPrepare : mysql::kQuery, "SELECT 2"));
  if (is_error) {
    first.send_packet(mysql::error_payload(mysql::kUnknownError, "no"));
  } else if (prepares) {
    first.send_prepared(5);
    std::string id;
    mysql::append_integer(id, 5, 4);
    CHECK(first.read_command() == command(mysql::kStmtClose, id));
  } else {
    first.send_ok();
  }
  CHECK_FALSE(first.has_command());
  CHECK(fixture.ended.empty());
  if (next == Query::Kind::kStatement) second.send_ok();
  if (next == Query::Kind::kPrepare) second.send_prepared(9);
  if (next == Query::Kind::kExecute) {
    second.send_prepared(9);
    CHECK(second.read_command().front() == mysql::kStmtExecute);
    second.send_ok();
  }
  REQUIRE(fixture.wait_for_end(lookup));
  CHECK(fixture.ended.at(lookup).outcome == Outcome::kServed);
  CHECK_FALSE(fixture.ended.contains(cancelled));
}

TEST_CASE("mysql session: a session is used again once the response to a cancelled command has arrived") {
  // Guards against connections that are lost with each client that leaves.
  PoolFixture fixture;
  REQUIRE(fixture.pool.cancel(fixture.send(Query::Kind::kPrepare, "SELECT 1", "school")));
  const AttemptKey cancelled = fixture.send(Query::Kind::kPrepare, "SELECT 1", "school");
  ScriptedMysqlSession session(fixture.loop, fixture.listener);
  REQUIRE(session.read_command() == command(mysql::kInitDb, "school"));
  REQUIRE(fixture.pool.cancel(cancelled));
  session.send_ok();
  REQUIRE_FALSE(session.has_command());
  const AttemptKey lookup = fixture.send(Query::Kind::kStatement, "SELECT 2", "school");
  CHECK(session.read_command() == command(mysql::kQuery, "SELECT 2"));
  session.send_ok();
  CHECK(fixture.wait_for_end(lookup));
}
