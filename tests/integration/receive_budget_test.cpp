// Memory for what clients have only partly sent: bounded for all connections of a frontend together.
#include <malloc.h>

#include <catch2/catch.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "support/frontend_fixture.h"

namespace rookproxy::test {
namespace {

// Bytes that the program holds of its heap, in both kinds of blocks. A sanitizer's heap does not tell.
std::size_t heap_bytes() {
#ifdef __SANITIZE_ADDRESS__
  return 0;
#else
  const struct mallinfo2 info = ::mallinfo2();
  return info.uordblks + info.hblkhd;
#endif
}

// The header of a MySQL packet, as the first bytes of a command.
std::string encode_packet_header(std::size_t length, std::uint8_t sequence) {
  std::string header;
  mysql::append_integer(header, length, 3);
  return header + static_cast<char>(sequence);
}

// The code of the error that the next message is; 0 if it is none.
int read_error_code(TestConnection& client) {
  const auto message = read_mysql_message(client);
  const bool is_error = message && message->payload.starts_with('\xff');
  return is_error ? mysql::parse_error(message->payload).code : 0;
}

// Readiness queries, each answered before the next.
void query_readiness(TestConnection& client, int times) {
  for (int i = 0; i < times; ++i) {
    client.send(frames::encode_frame(frames::kReadinessQuery, 1, std::string(1, '\0')));
    REQUIRE(client.wait_for_bytes(1));
    client.buffer().clear();
  }
}

TEST_CASE("frames: a flood behind a broken frame is bounded while it comes, and gone with its clients") {
  // Guards against a buffer for each such connection: they stay as long as something is open on them. Of
  // large frames that have begun there are max_partial_frame_bytes, in good connections and broken ones.
  FramesFrontend::Limits limits;
  limits.max_partial_frame_bytes = 1U << 20;
  FrontendFixture fixture(limits);
  std::vector<TestConnection> crowd;
  const std::string large = frames::encode_frame(frames::kRequest, 9, std::string(260'000, 'x'));
  const std::size_t heap_before = heap_bytes();
  for (int i = 0; i < 30; ++i) {
    crowd.push_back(fixture.connect_frames_client());
    crowd.back().send(fixture.encode_request(1) + encode_unknown_frame());
    REQUIRE(crowd.back().wait_for_bytes(1));  // it was told of the broken frame
    crowd.back().send(std::string_view(large).substr(0, large.size() - 1));
  }
  // Others are served meanwhile. In each iteration that this takes, 64 kB of each flood are read.
  TestConnection good = fixture.connect_frames_client();
  query_readiness(good, 10);
  CHECK(fixture.open_request_count() == 30);
  CHECK(heap_bytes() - heap_before < (4U << 20));  // 7.8 MB were sent
  crowd.clear();
  CHECK(fixture.wait_for_open_requests(0));
}

TEST_CASE("mysql: large commands that have begun share a budget, and little comes before a log-in") {
  constexpr std::size_t kLargeCommand = 900'000;
  FrontendFixture fixture;
  fixture.set_mysql_limits(100, 1U << 20);
  TestConnection stranger = fixture.connect_silent_mysql_client();
  stranger.send(encode_packet_header(100'000, 1));
  CHECK(read_error_code(stranger) == mysql::kPacketTooLarge);
  TestConnection first = fixture.connect_mysql_client();
  TestConnection second = fixture.connect_mysql_client();
  TestConnection third = fixture.connect_mysql_client();
  first.send(encode_packet_header(kLargeCommand, 0));
  CHECK(fixture.wait_for_large_command(true));
  second.send(encode_packet_header(kLargeCommand, 0));
  CHECK(read_error_code(second) == mysql::kOutOfResources);
  third.send(encode_mysql_query("SELECT 1"));  // small ones pass
  REQUIRE(fixture.wait_for_attempts(1));
  first.close();
  CHECK(fixture.wait_for_large_command(false));
  third.close();
  TestConnection fourth = fixture.connect_mysql_client();
  fourth.send(encode_mysql_query("SELECT '" + std::string(kLargeCommand, 'x') + "'"));
  CHECK(fixture.wait_for_attempts(2));
}

}  // namespace
}  // namespace rookproxy::test
