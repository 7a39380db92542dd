// Responses of the MySQL protocol: where they end, and the autocommit bit of their status.
#include "mysql/response.h"

#include <catch2/catch.hpp>
#include <cstdint>
#include <string>
#include <string_view>

#include "mysql/packet.h"

namespace rookproxy {
namespace {

using namespace std::string_view_literals;

constexpr std::string_view kEof = "\xfe\0\0\2\0"sv;

TEST_CASE("mysql: a response is followed to its end and no further") {
  mysql::ResponseTracker ok;
  CHECK(ok.on_packet("\0\1\0\2\0\0\0"sv));

  mysql::ResponseTracker rows;
  CHECK_FALSE(rows.on_packet("\1"sv));
  CHECK_FALSE(rows.on_packet("column"sv));
  CHECK_FALSE(rows.on_packet(kEof));
  CHECK_FALSE(rows.on_packet("\xfe a row whose first value is long"sv));
  CHECK_FALSE(rows.on_packet("\xfb"sv));
  CHECK(rows.on_packet(kEof));
  CHECK_FALSE(rows.failed());

  mysql::ResponseTracker prepare(mysql::ResponseTracker::Kind::kPrepare);
  CHECK_FALSE(prepare.on_packet("\0\1\0\0\0\1\0\2\0\0\0\0"sv));
  CHECK_FALSE(prepare.on_packet("parameter"sv));
  CHECK_FALSE(prepare.on_packet("parameter"sv));
  CHECK_FALSE(prepare.on_packet(kEof));
  CHECK_FALSE(prepare.on_packet("column"sv));
  CHECK(prepare.on_packet(kEof));

  mysql::ResponseTracker local_file;
  CHECK_THROWS_AS(local_file.on_packet("\xfb/etc/passwd"sv), mysql::MalformedPacketError);
}

TEST_CASE("mysql: 'autocommit is on' is taken out of every status, and nothing else changes") {
  SECTION("in an OK packet") {
    std::uint8_t sequence = 1;
    std::string ok = mysql::split_into_packets(mysql::ok_payload(300, 70000), sequence);
    mysql::clear_autocommit_status(ok);
    sequence = 1;
    CHECK(ok == mysql::split_into_packets(mysql::ok_payload(300, 70000, 0), sequence));
  }
  SECTION("in the ends of columns and rows") {
    std::uint8_t sequence = 1;
    std::string columns = mysql::split_into_packets("\1", sequence);
    columns += mysql::split_into_packets("column", sequence);
    const std::string end = mysql::split_into_packets(kEof, sequence);
    // A row may begin with 0xfe or 0 and hold the same bit.
    const std::string row = mysql::split_into_packets("\0\xff\2\2\2"sv, sequence);
    std::string response = columns + end + row + end;
    mysql::clear_autocommit_status(response);
    std::string cleared_end = end;
    cleared_end[cleared_end.size() - 2] = '\0';
    CHECK(response == columns + cleared_end + row + cleared_end);
  }
}

}  // namespace
}  // namespace rookproxy
