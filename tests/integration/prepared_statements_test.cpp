// Prepared statements of the MySQL frontend: the schema that they keep, and the memory that they hold.
#include <catch2/catch.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "mysql/protocol.h"
#include "policy/memory_ledger.h"
#include "support/frontend_fixture.h"
#include "support/mysql_client.h"

using namespace rookproxy;
using namespace rookproxy::test;

namespace {

constexpr std::size_t kLimit = std::size_t{8} << 20;
constexpr std::size_t kLimitOfLargeHoldings = kLimit / 4 * 3;
constexpr std::size_t kPartSize = std::size_t{1} << 20;

// An engine's response to the PREPARE of a statement with one parameter.
std::string prepared_response() {
  std::string payload(1, '\0');
  mysql::append_integer(payload, 77, 4);  // the engine's id
  mysql::append_integer(payload, 0, 2);   // columns
  mysql::append_integer(payload, 1, 2);   // parameters
  mysql::append_integer(payload, 0, 3);
  std::uint8_t sequence = 1;
  std::string packets = mysql::split_into_packets(payload, sequence);
  packets += mysql::split_into_packets("parameter", sequence);
  return packets + mysql::split_into_packets(std::string_view("\xfe\0\0\2\0", 5), sequence);
}

// The frontend with a limit on prepared statements, and its clients.
class MemoryFixture {
 public:
  MemoryFixture() {
    frontend.loop_thread.run(
        [&] { frontend.memory->set_limit(policy::MemoryUse::kPreparedStatements, kLimit); });
  }

  [[nodiscard]] std::size_t held() {
    return frontend.loop_thread.run(
        [&] { return frontend.memory->held(policy::MemoryUse::kPreparedStatements); });
  }
  MysqlClient log_in() { return MysqlClient(frontend.mysql_client()); }
  // Prepares a statement and returns the first message of the response.
  mysql::Message prepare(MysqlClient& client, const std::string& text) {
    client.send_prepare(text);
    REQUIRE(frontend.wait_for_attempts(++attempts_));
    frontend.serve(attempts_ - 1, prepared_response());
    mysql::Message response = client.read_first_message();
    client.read_remaining_messages(response, mysql::ResponseTracker::Kind::kPrepare);
    client.add_statement(
        static_cast<std::uint32_t>(mysql::PayloadReader(response.payload.substr(1)).integer(4)));
    return response;
  }
  [[nodiscard]] std::size_t attempts() const { return attempts_; }
  // Serves the next attempt with an OK.
  void serve_ok() {
    std::uint8_t sequence = 1;
    frontend.serve(attempts_++, mysql::split_into_packets(mysql::ok_payload(), sequence));
  }
  // Waits until everything that the client has sent is handled.
  static void synchronize(MysqlClient& client) {
    client.send_command(std::string(1, static_cast<char>(mysql::kPing)));
    (void)client.read_first_message();
  }

  FrontendFixture frontend;

 private:
  std::size_t attempts_ = 0;
};

std::uint16_t error_of(const mysql::Message& message) {
  return message.payload.starts_with('\xff') ? mysql::parse_error(message.payload).code : std::uint16_t{0};
}

}  // namespace

TEST_CASE("mysql: long data of all clients together is bounded, and an execution without it is rejected") {
  // Guards against clients whose long data takes the dispatcher over its memory.
  constexpr std::size_t kClients = 4;
  constexpr std::size_t kStatements = 3;
  MemoryFixture fixture;
  std::vector<MysqlClient> clients;
  for (std::size_t number = 0; number < kClients; ++number) {
    MysqlClient& client = clients.emplace_back(fixture.log_in());
    for (std::size_t statement = 1; statement <= kStatements; ++statement) {
      fixture.prepare(client, "INSERT INTO essays VALUES (?)");
      for (int part = 0; part < 3; ++part) client.send_long_data(statement, 0, std::string(kPartSize, 'e'));
    }
    MemoryFixture::synchronize(client);
    CHECK(fixture.held() <= kLimitOfLargeHoldings + kClients * kStatements * 1024);
  }
  // The last statement's long data was refused, so it does not run with a part of it.
  clients.back().send_execute(kStatements, "LONG", MysqlClient::ParameterTypes::kSent);
  const mysql::Message refused = clients.back().read_first_message();
  CHECK(error_of(refused) == mysql::kServerNotAvailable);
  CHECK(mysql::parse_error(refused.payload).text.find("nothing was run") != std::string::npos);
  // A usual client is served beside them.
  MysqlClient usual = fixture.log_in();
  CHECK(error_of(fixture.prepare(usual, "SELECT ?")) == 0);
  usual.send_long_data(1, 0, std::string(1000, 'e'));
  usual.send_execute(1, "LONG", MysqlClient::ParameterTypes::kSent);
  CHECK(fixture.frontend.wait_for_attempts(kClients * kStatements + 2));
  clients.clear();
  CHECK(fixture.frontend.loop_thread.until(
      [&] { return fixture.frontend.memory->held(policy::MemoryUse::kPreparedStatements) < 8192; }));
}

TEST_CASE("mysql: an execution that is refused leaves no long data to the next one") {
  // Guards against 'AAAAAAAA' being stored for 'AAAA' after the client has sent its data again.
  enum class Refusal { kCursor, kTypesNotBound, kTransaction };
  const Refusal refusal = GENERATE(Refusal::kCursor, Refusal::kTypesNotBound, Refusal::kTransaction);
  CAPTURE(static_cast<int>(refusal));
  MemoryFixture fixture;
  MysqlClient client = fixture.log_in();
  fixture.prepare(client, "INSERT INTO essays VALUES (?)");
  client.send_long_data(1, 0, "AAAA");
  if (refusal == Refusal::kCursor) {
    std::string execution(1, static_cast<char>(mysql::kStmtExecute));
    mysql::append_integer(execution, 1, 4);  // the statement
    mysql::append_integer(execution, 1, 1);  // a cursor
    mysql::append_integer(execution, 1, 4);  // iterations
    client.send_command(execution);
  } else if (refusal == Refusal::kTypesNotBound) {
    client.send_execute(1, "LONG", MysqlClient::ParameterTypes::kOmitted);
  } else {
    client.send_query("SET autocommit = 0");
    REQUIRE(error_of(client.read_first_message()) == 0);
    client.send_execute(1, "LONG", MysqlClient::ParameterTypes::kSent);
  }
  REQUIRE(error_of(client.read_first_message()) != 0);
  if (refusal == Refusal::kTransaction) {
    client.send_query("SET autocommit = 1");
    REQUIRE(error_of(client.read_first_message()) == 0);
  }
  client.send_long_data(1, 0, "AAAA");
  client.send_execute(1, "LONG", MysqlClient::ParameterTypes::kSent);
  REQUIRE(fixture.frontend.wait_for_attempts(2));
  const auto long_data =
      fixture.frontend.loop_thread.run([&] { return fixture.frontend.attempts.at(1).query->long_data; });
  REQUIRE(long_data.size() == 1);
  CHECK(long_data.front().second == "AAAA");
}

TEST_CASE("mysql: long data is released by its execution, a reset, and the end of its statement") {
  // Guards against a budget that shrinks with each use until nothing is accepted any more.
  enum class End { kExecute, kReset, kClose, kOverLimit };
  const End end = GENERATE(End::kExecute, End::kReset, End::kClose, End::kOverLimit);
  MemoryFixture fixture;
  MysqlClient client = fixture.log_in();
  fixture.prepare(client, "INSERT INTO essays VALUES (?)");
  const std::size_t before = fixture.held();
  client.send_long_data(1, 0, std::string(kPartSize, 'e'));
  MemoryFixture::synchronize(client);
  CHECK(fixture.held() >= before + kPartSize);
  std::string id;
  mysql::append_integer(id, 1, 4);
  switch (end) {
    case End::kExecute:
      client.send_execute(1, "LONG", MysqlClient::ParameterTypes::kSent);
      REQUIRE(fixture.frontend.wait_for_attempts(2));
      break;
    case End::kReset:
      client.send_command(static_cast<char>(mysql::kStmtReset) + id);
      (void)client.read_first_message();
      break;
    case End::kClose:
      client.send_command(static_cast<char>(mysql::kStmtClose) + id);
      MemoryFixture::synchronize(client);
      CHECK(fixture.held() == 0);
      return;
    case End::kOverLimit:
      for (int part = 0; part < 4; ++part) client.send_long_data(1, 0, std::string(kPartSize, 'e'));
      MemoryFixture::synchronize(client);
      break;
  }
  CHECK(fixture.held() == before);
}

TEST_CASE("mysql: the texts of prepared statements are bounded, and one that does not fit is rejected") {
  // Guards against statements whose texts take the dispatcher over its memory.
  MemoryFixture fixture;
  MysqlClient client = fixture.log_in();
  const std::string text = "INSERT INTO essays VALUES (?, '" + std::string(2 * kPartSize, 'e') + "')";
  CHECK(error_of(fixture.prepare(client, text)) == 0);
  CHECK(error_of(fixture.prepare(client, text)) == 0);
  CHECK(fixture.held() > 4 * kPartSize);
  client.send_prepare(text);
  CHECK(error_of(client.read_first_message()) == mysql::kServerNotAvailable);
  const std::size_t held = fixture.held();
  CHECK(held < 5 * kPartSize);
  // A small one fits, and what failed left nothing behind.
  CHECK(error_of(fixture.prepare(client, "SELECT ?")) == 0);
  CHECK(fixture.held() < held + 1024);
}

TEST_CASE("mysql: a prepared statement runs in the schema that was selected when it was prepared") {
  // Guards against executions in a schema that the client selected later, as on no server.
  MemoryFixture fixture;
  MysqlClient client = fixture.log_in();
  const auto use_schema = [&](const std::string& schema) {
    client.send_command(static_cast<char>(mysql::kInitDb) + schema);
    REQUIRE(fixture.frontend.wait_for_attempts(fixture.attempts() + 1));
    fixture.serve_ok();
    CHECK(error_of(client.read_first_message()) == 0);
  };
  use_schema("marks_1");
  fixture.prepare(client, "SELECT mark FROM marks WHERE pupil = ?");
  use_schema("marks_2");
  client.send_execute(1, "7", MysqlClient::ParameterTypes::kSent);
  REQUIRE(fixture.frontend.wait_for_attempts(fixture.attempts() + 1));
  CHECK(fixture.frontend.loop_thread.run([&] { return fixture.frontend.attempts.back().query->schema; }) ==
        "marks_1");
}
