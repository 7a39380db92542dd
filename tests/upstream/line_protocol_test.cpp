// Tests of the line protocol's parser: complete, truncated, malformed and corrupted responses.
#include "upstream/line_protocol.h"

#include <catch2/catch.hpp>
#include <string>
#include <string_view>

#include "support/damaged_input.h"

using namespace rookproxy;

TEST_CASE("line protocol: a response is parsed only when it is complete, wherever it is split") {
  const std::string bytes = "9b1f03aa5c7e2d41 data parts=2,use=queue:3;x0:0.5 6\r\na\tb\r\nc\r\n";
  for (std::size_t cut = 0; cut < bytes.size(); ++cut) {
    CHECK(parse_line_response(std::string_view(bytes).substr(0, cut)).status == LineParseStatus::kIncomplete);
  }
  const LineParseResult parsed = parse_line_response(bytes);
  REQUIRE(parsed.status == LineParseStatus::kComplete);
  CHECK(parsed.consumed == bytes.size());
  CHECK(parsed.response.id == "9b1f03aa5c7e2d41");
  CHECK(parsed.response.kind == "data");
  CHECK(parsed.response.body == "a\tb\r\nc");  // The length is given, so the body may contain line ends.
  CHECK(find_line_field(parsed.response.fields, "parts") == "2");
  const auto report = parse_load_report(*find_line_field(parsed.response.fields, "use"));
  REQUIRE(report);
  CHECK(report->queries_waiting_for_memory == 3.0);
  CHECK(report->memory_utilization == 0.5);
}

TEST_CASE("line protocol: an invalid response is reported as malformed") {
  for (const char* malformed :
       {"id data -\r\n", "id data - x\r\n\r\n", "id  - 0\r\n\r\n", "id data - 1\r\nab\r\n", "a b c d e\r\n",
        "id data - 99999999999999999999\r\n", "id data - 70000\r\n"}) {
    INFO(malformed);
    CHECK(parse_line_response(malformed).status == LineParseStatus::kMalformed);
  }
  CHECK(parse_line_response(std::string(5000, 'x')).status == LineParseStatus::kMalformed);
  CHECK_FALSE(parse_load_report("x0:nan;x1:"));
  test::parse_damaged("id data parts=1,use=x0:1 3\r\nabc\r\n", [](const std::string& bytes) {
    const LineParseResult parsed = parse_line_response(bytes);
    if (parsed.status == LineParseStatus::kComplete) (void)parse_load_report(parsed.response.fields);
  });
}

TEST_CASE("line protocol: a request carries its options, clamped to the protocol's ranges") {
  const auto query = std::make_shared<Query>();
  query->id = "9b1f";
  query->class_name = "lookup";
  query->statement = "SELECT 1";
  AttemptRequest request;
  const Time now{};
  request.deadline = now + std::chrono::milliseconds(1500);
  request.priority = 7;
  request.query = query;
  CHECK(make_line_request(request, now) == "REQ 9b1f queue=lookup,budget=1500,rank=3 8\r\nSELECT 1\r\n");
  query->idempotency_key = "k1";
  request.memory_grant_mb = 63.6;
  request.priority = -1;
  request.deadline = now;
  CHECK(make_line_request(request, now) ==
        "REQ 9b1f queue=lookup,budget=1,grant=64,rank=0,uniq=k1 8\r\nSELECT 1\r\n");
  CHECK(make_line_priority_change("9b1f", 9) == "NICE 9b1f 3\r\n");
}
