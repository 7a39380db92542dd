// Sessions with engines that speak MySQL, in orders of events that the test controls: it plays the engine.
#include <catch2/catch.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "fakes/sockets.h"
#include "mysql/protocol.h"
#include "net/sockets.h"
#include "policy/memory_ledger.h"
#include "support/run_until.h"
#include "support/scripted_mysql_session.h"
#include "upstream/mysql_pool.h"

using namespace rookproxy;
using namespace rookproxy::test;

namespace {

constexpr EngineId kEngine = 0;
constexpr std::size_t kMaxResultBytes = 1U << 20;
constexpr std::size_t kMaxTotalResultBytes = 2U << 20;
constexpr std::size_t kMaxTotalOfLargeResults = kMaxTotalResultBytes / 4 * 3;

std::string command(std::uint8_t code, const std::string& arguments) {
  return std::string(1, static_cast<char>(code)) + arguments;
}

// The query that looks for the session before it is killed.
std::string find_session(const ScriptedMysqlSession& session) {
  return command(mysql::kQuery,
                 "SELECT ID FROM information_schema.PROCESSLIST WHERE ID = 7 AND HOST LIKE '%:" +
                     std::to_string(session.client_port()) + "'");
}

// A pool with one engine, and the ends of its attempts.
class PoolFixture final : public EngineTransportCallbacks {
 public:
  PoolFixture() {
    memory->set_limit(policy::MemoryUse::kEngineResults, kMaxTotalResultBytes);
    pool.set_engine_address(kEngine, {kLoopbackAddress, local_port(listener)});
  }
  [[nodiscard]] std::size_t held_results() const { return memory->held(policy::MemoryUse::kEngineResults); }

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
  std::shared_ptr<policy::MemoryLedger> memory = std::make_shared<policy::MemoryLedger>();
  MysqlPool pool{loop, log, *this, metrics, {}, {"rookproxy", "engine-secret", ""}, kMaxResultBytes, memory};

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

TEST_CASE("mysql session: a statement is prepared again for an execution in another schema") {
  // Guards against rows of another tenant: an engine resolves a statement's names when it is prepared.
  PoolFixture fixture;
  const auto execute = [&](const std::string& schema) {
    return fixture.send(Query::Kind::kExecute, "SELECT mark FROM marks", schema);
  };
  const auto answer = [](ScriptedMysqlSession& session, std::uint8_t expected, std::uint32_t statement_id) {
    const std::string received = session.read_command();
    CHECK(static_cast<std::uint8_t>(received.front()) == expected);
    if (expected == mysql::kStmtPrepare) return session.send_prepared(statement_id);
    if (expected == mysql::kStmtExecute) {
      CHECK(mysql::PayloadReader(std::string_view(received).substr(1)).integer(4) == statement_id);
    }
    session.send_ok();
  };
  AttemptKey attempt = execute("school_1");
  ScriptedMysqlSession session(fixture.loop, fixture.listener);
  for (const std::uint8_t expected : {mysql::kInitDb, mysql::kStmtPrepare, mysql::kStmtExecute}) {
    answer(session, expected, 1);
  }
  REQUIRE(fixture.wait_for_end(attempt));
  attempt = execute("school_2");
  for (const std::uint8_t expected : {mysql::kInitDb, mysql::kStmtPrepare, mysql::kStmtExecute}) {
    answer(session, expected, 2);
  }
  REQUIRE(fixture.wait_for_end(attempt));
  attempt = execute("school_1");
  for (const std::uint8_t expected : {mysql::kInitDb, mysql::kStmtExecute}) answer(session, expected, 1);
  REQUIRE(fixture.wait_for_end(attempt));
}

TEST_CASE("mysql session: a session that a statement may have changed serves no other attempt") {
  // Guards against an open transaction or a setting that a procedure leaves to another client.
  for (const char* statement :
       {"/* x */ CALL p()", "SET autocommit = 0", "CREATE TEMPORARY TABLE t (a INT)"}) {
    INFO(statement);
    PoolFixture fixture;
    const AttemptKey attempt = fixture.send(Query::Kind::kStatement, statement);
    ScriptedMysqlSession session(fixture.loop, fixture.listener);
    (void)session.read_command();
    session.send_ok();
    REQUIRE(fixture.wait_for_end(attempt));
    CHECK(session.wait_for_end());
  }
}

TEST_CASE("mysql session: a row without a byte ends the attempt as one whose response can't be read") {
  // Guards against a result that no frontend can read, and so against a client without any answer.
  PoolFixture fixture;
  const AttemptKey lookup = fixture.send(Query::Kind::kStatement, "SELECT 1");
  ScriptedMysqlSession session(fixture.loop, fixture.listener);
  (void)session.read_command();
  session.send_packet("\1");
  session.send_packet("column definition");
  session.send_packet(std::string_view("\xfe\0\0\2\0", 5));
  session.send_packet("");
  REQUIRE(fixture.wait_for_end(lookup));
  CHECK(fixture.ended.at(lookup).outcome == Outcome::kConnectionLost);
}

namespace {

// The header of a packet, and the packets of a text result with one column before its rows.
std::string packet_header(std::size_t size, std::uint8_t sequence) {
  std::string header;
  mysql::append_integer(header, size, 3);
  header += static_cast<char>(sequence);
  return header;
}

void send_result_start(ScriptedMysqlSession& session) {
  session.send_packet("\1");
  session.send_packet("column definition");
  session.send_packet(std::string_view("\xfe\0\0\2\0", 5));
}

constexpr std::uint8_t kFirstRowSequence = 4;

}  // namespace

TEST_CASE("mysql session: a row that is said to be too long is rejected at its header") {
  // Guards against incomplete packets that take more memory than any limit on results allows.
  const std::size_t size = GENERATE(kMaxResultBytes, mysql::kMaxPayloadSize);
  PoolFixture fixture;
  const AttemptKey lookup = fixture.send(Query::Kind::kStatement, "SELECT 1");
  ScriptedMysqlSession session(fixture.loop, fixture.listener);
  (void)session.read_command();
  send_result_start(session);
  session.send_bytes(packet_header(size, kFirstRowSequence));
  REQUIRE(fixture.wait_for_end(lookup));
  CHECK(fixture.ended.at(lookup).outcome == Outcome::kServed);
  const std::string& body = fixture.ended.at(lookup).body;
  CHECK(mysql::parse_error(std::string_view(body).substr(mysql::kHeaderSize)).code == mysql::kPacketTooLarge);
  CHECK(fixture.held_results() == 0);
  CHECK(session.wait_for_end());
}

TEST_CASE("mysql session: incomplete results are counted as they arrive, and the budget is for all of them") {
  // Guards against many answers that are said to be long, keep coming and never end.
  constexpr std::size_t kRowSize = kMaxResultBytes - 1024;
  constexpr std::size_t kPartSize = 64 * 1024;
  constexpr std::size_t kSessions = 3;
  PoolFixture fixture;
  std::vector<AttemptKey> lookups;
  std::deque<ScriptedMysqlSession> sessions;
  for (std::size_t number = 0; number < kSessions; ++number) {
    lookups.push_back(fixture.send(Query::Kind::kStatement, "SELECT 1"));
    ScriptedMysqlSession& session = sessions.emplace_back(fixture.loop, fixture.listener);
    (void)session.read_command();
    send_result_start(session);
    session.send_bytes(packet_header(kRowSize, kFirstRowSequence));
  }
  const std::string part(kPartSize, 'x');
  for (std::size_t sent = 0; sent + kPartSize < kRowSize; sent += kPartSize) {
    for (ScriptedMysqlSession& session : sessions) session.send_bytes(part);
    REQUIRE_FALSE(sessions.front().has_command());
    CHECK(fixture.held_results() <= kMaxTotalOfLargeResults);
  }
  // Three rows of almost a megabyte don't fit, so at least one was rejected, and the others go on.
  CHECK_FALSE(fixture.ended.empty());
  CHECK(fixture.ended.size() < kSessions);
  for (const AttemptKey& lookup : lookups) {
    if (!fixture.ended.contains(lookup)) CHECK_FALSE(fixture.pool.cancel(lookup));
  }
  CHECK(fixture.held_results() == 0);
}

TEST_CASE("mysql session: the rest of a cancelled read's result is read without being kept") {
  // Guards against results that nobody waits for and that take the memory of others.
  PoolFixture fixture;
  const AttemptKey cancelled = fixture.send(Query::Kind::kStatement, "SELECT 1");
  ScriptedMysqlSession session(fixture.loop, fixture.listener);
  (void)session.read_command();
  send_result_start(session);
  const std::string half(kMaxResultBytes / 4, 'x');
  session.send_bytes(packet_header(2 * half.size(), kFirstRowSequence) + half);
  REQUIRE(run_until(fixture.loop, [&] { return fixture.held_results() > half.size(); }));
  REQUIRE_FALSE(fixture.pool.cancel(cancelled));
  CHECK(fixture.held_results() == 0);
  // A connection for KILL QUERY is opened beside it.
  ScriptedMysqlSession kill(fixture.loop, fixture.listener);
  CHECK(kill.read_command() == find_session(session));
  kill.send_found(true);
  CHECK(kill.read_command() == command(mysql::kQuery, "KILL QUERY 7"));
  session.send_bytes(half);
  for (std::uint8_t row = 1; row < 20; ++row) {
    session.send_bytes(packet_header(half.size(), static_cast<std::uint8_t>(kFirstRowSequence + row)) + half);
  }
  REQUIRE_FALSE(session.has_command());
  CHECK(fixture.held_results() == 0);
  // The response is complete: the connection closes, as a cancelled execution leaves an unknown session.
  session.send_bytes(packet_header(5, kFirstRowSequence + 20) + std::string("\xfe\0\0\2\0", 5));
  CHECK(session.wait_for_end());
}

TEST_CASE("mysql session: a query is killed only at the process that runs it") {
  // Guards against a kill that ends another client's query, at a new process at the engine's address.
  const bool is_same_process = GENERATE(false, true);
  PoolFixture fixture;
  const AttemptKey cancelled = fixture.send(Query::Kind::kStatement, "SELECT 1");
  ScriptedMysqlSession session(fixture.loop, fixture.listener);
  (void)session.read_command();
  REQUIRE_FALSE(fixture.pool.cancel(cancelled));
  ScriptedMysqlSession kill(fixture.loop, fixture.listener);
  CHECK(kill.read_command() == find_session(session));
  kill.send_found(is_same_process);
  if (is_same_process) {
    CHECK(kill.read_command() == command(mysql::kQuery, "KILL QUERY 7"));
  } else {
    CHECK(kill.wait_for_end());
    CHECK_FALSE(kill.has_command());
  }
}

TEST_CASE("mysql session: a response is the same however its bytes arrive") {
  // Guards against packets that are read differently when a read ends in the middle of them.
  std::uint8_t sequence = 1;
  std::string response;
  for (const std::string& payload :
       {std::string("\1"), std::string("column definition"), std::string("\xfe\0\0\2\0", 5),
        std::string(2000, 'x'), std::string("row"), std::string("\xfe\0\0\2\0", 5)}) {
    response += mysql::split_into_packets(payload, sequence);
  }
  const std::size_t part_size = GENERATE_COPY(1UL, 3UL, 5UL, 700UL, response.size());
  PoolFixture fixture;
  const AttemptKey lookup = fixture.send(Query::Kind::kStatement, "SELECT 1");
  ScriptedMysqlSession session(fixture.loop, fixture.listener);
  (void)session.read_command();
  for (std::size_t sent = 0; sent < response.size(); sent += part_size) {
    CHECK_FALSE(fixture.ended.contains(lookup));
    session.send_bytes(std::string_view(response).substr(sent, part_size));
    REQUIRE_FALSE(session.has_command());
  }
  REQUIRE(fixture.wait_for_end(lookup));
  CHECK(fixture.ended.at(lookup).body == response);
}
