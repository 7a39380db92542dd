// Damaged results of MySQL engines: whatever an engine sends, each request gets one answer.
#include <catch2/catch.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "mysql/protocol.h"
#include "support/frontend_fixture.h"
#include "support/mysql_client.h"

using namespace rookproxy;
using namespace rookproxy::test;

namespace {

const std::string kEndOfRows("\xfe\0\0\2\0", 5);

std::string packets_of(const std::vector<std::string>& payloads) {
  std::uint8_t sequence = 1;
  std::string packets;
  for (const std::string& payload : payloads) packets += mysql::split_into_packets(payload, sequence);
  return packets;
}

// Responses as engines send them: rows, an OK, an error, rows of two results, an error after rows.
std::vector<std::string> recorded_responses() {
  const std::string more_results("\xfe\0\0\x0a\0", 5);
  return {
      packets_of({"\1", "column", kEndOfRows, "\3one", "\xfb", kEndOfRows}),
      packets_of({mysql::ok_payload(1, 2)}), packets_of({mysql::error_payload(mysql::kUnknownError, "no")}),
      packets_of({"\1", "column", kEndOfRows, "\3one", more_results, mysql::ok_payload()}),
      packets_of({"\1", "column", kEndOfRows, "\3one", mysql::error_payload(mysql::kUnknownError, "no")})};
}

// Reads the response as a connection to an engine does. Returns the complete response, or nothing if it is
// malformed or incomplete.
std::string accepted_part(std::string_view bytes) {
  mysql::ResponseTracker tracker;
  std::size_t end = 0;
  std::uint8_t sequence = 1;
  try {
    while (bytes.size() - end >= mysql::kHeaderSize) {
      mysql::PayloadReader header(bytes.substr(end, mysql::kHeaderSize));
      const std::size_t size = header.integer(3);
      if (header.integer(1) != sequence++ || bytes.size() - end - mysql::kHeaderSize < size) return "";
      const std::string_view payload = bytes.substr(end + mysql::kHeaderSize, size);
      end += mysql::kHeaderSize + size;
      if (tracker.on_packet(payload)) return std::string(bytes.substr(0, end));
    }
  } catch (const mysql::MalformedPacketError&) {
  }
  return "";
}

}  // namespace

TEST_CASE("damaged result: what a connection to an engine accepts can be read by the frontend") {
  // Guards against a client that gets no answer because its result is read differently in two places.
  std::size_t accepted = 0;
  const auto check = [&](const std::string& damaged) {
    std::string packets = accepted_part(damaged);
    if (packets.empty()) return;
    ++accepted;
    const std::size_t size = packets.size();
    CHECK_NOTHROW(mysql::clear_autocommit_status(packets));
    CHECK(packets.size() == size);
  };
  for (const std::string& recorded : recorded_responses()) {
    REQUIRE(accepted_part(recorded) == recorded);
    for (std::size_t position = 0; position < recorded.size(); ++position) {
      check(recorded.substr(0, position));
      for (int value = 0; value < 256; ++value) {
        std::string damaged = recorded;
        damaged[position] = static_cast<char>(value);
        check(damaged);
      }
      // A packet is lost, repeated or emptied.
      check(recorded.substr(0, position) + recorded.substr(position / 2));
      check(recorded.substr(0, position) + std::string("\0\0\0\5", 4) + recorded.substr(position));
    }
  }
  CHECK(accepted > 1000);
}

TEST_CASE("mysql: a client with autocommit off gets one answer to a result that can't be read") {
  // Guards against a client without any answer, and an engine whose attempt never ends for the router.
  FrontendFixture fixture;
  MysqlClient client(fixture.mysql_client());
  client.send_query("SET autocommit = 0");
  (void)client.read_first_message();
  const std::vector<std::string> bodies = {
      packets_of({"\1", "column", kEndOfRows, "", kEndOfRows}),  // a row without a byte
      packets_of({std::string(1, '\0')}),                        // an OK without its numbers
      packets_of({std::string("\0\xfe", 2)}),                    // a number that ends too soon
  };
  for (std::size_t number = 0; number < bodies.size(); ++number) {
    client.send_query("SELECT 1");
    REQUIRE(fixture.wait_for_attempts(number + 1));
    fixture.serve(number, bodies[number]);
    (void)client.read_first_message();
    CHECK(fixture.loop_thread.until([&] { return fixture.dispatcher.open_request_count() == 0; }));
    // The rest of an answer that is passed on as it is.
    while (client.connection().wait_for_bytes(1, std::chrono::milliseconds(50))) {
      client.connection().take(client.connection().buffer().size());
    }
  }
  client.send_query("SELECT 2");
  CHECK(fixture.wait_for_attempts(bodies.size() + 1));
}
