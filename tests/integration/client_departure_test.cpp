// Clients that leave: the frontends notice it at once, also while they read nothing, and cancel what is open.
#include <sys/socket.h>

#include <catch2/catch.hpp>
#include <string>

#include "support/frontend_fixture.h"

namespace rookproxy::test {
namespace {

using namespace std::chrono_literals;

// A way in which a client's connection ends.
struct Departure {
  const char* description;
  void (*leave)(TestConnection& client);
};

void end_sending(TestConnection& client) { ::shutdown(client.fd().get(), SHUT_WR); }

void close(TestConnection& client) { client.close(); }

void reset(TestConnection& client) {
  set_reset_on_close(client.fd());
  client.close();
}

constexpr Departure kDepartures[] = {{"ends its side", end_sending}, {"closes", close}, {"resets", reset}};

// Has requests served until the kernel takes no more answers for the client, which reads none; one request
// stays open. Returns the last stream.
std::uint32_t fill_send_buffer(FrontendFixture& fixture, TestConnection& client, const std::string& body) {
  std::uint32_t stream = 1;
  client.send(fixture.encode_request(stream));
  REQUIRE(fixture.wait_for_attempts(stream));
  while (fixture.is_frames_flushed()) {
    ++stream;
    client.send(fixture.encode_request(stream));
    REQUIRE(fixture.wait_for_attempts(stream));
    fixture.serve(stream - 2, body);
    REQUIRE(fixture.wait_for_open_requests(1));
  }
  return stream;
}

TEST_CASE("frames: a client that has gone is noticed while nothing is read from it") {
  // Guards against attempts for nobody: the end lay unseen while the client's answers were not taken.
  for (const auto& [description, leave] : kDepartures) {
    INFO(description);
    FramesFrontend::Limits limits;
    limits.max_unread_bytes_per_connection = 64 * 1024;
    FrontendFixture fixture(limits);
    TestConnection client = fixture.connect_frames_client();
    const std::string body(40'000, 'r');
    std::uint32_t served = fill_send_buffer(fixture, client, body);
    std::uint32_t stream = served + 3;
    for (std::uint32_t next = served + 1; next <= stream; ++next) client.send(fixture.encode_request(next));
    REQUIRE(fixture.wait_for_attempts(stream));
    for (; served < stream; ++served) fixture.serve(served - 1, body);
    REQUIRE(fixture.wait_for_open_requests(1));
    ++stream;
    client.send(fixture.encode_request(stream));  // lies unread, and must stay so
    leave(client);
    // Well before its deadline, which is 3 s off.
    CHECK(fixture.wait_for_open_requests(0, 1500ms));
    CHECK(fixture.cancelled_attempts().size() == 1);
    CHECK(fixture.attempt_count() == stream - 1);
  }
}

TEST_CASE("mysql: a client that has gone is noticed while its command runs") {
  for (const auto& [description, leave] : kDepartures) {
    INFO(description);
    FrontendFixture fixture;
    TestConnection client = fixture.connect_mysql_client();
    client.send(encode_mysql_query("SELECT 1"));
    REQUIRE(fixture.wait_for_attempts(1));
    client.send(encode_mysql_query("SELECT 2") + encode_mysql_query(std::string(50'000, 'x')));
    leave(client);
    CHECK(fixture.wait_for_open_requests(0));
    CHECK(fixture.cancelled_attempts().size() == 1);
    CHECK(fixture.attempt_count() == 1);
  }
}

TEST_CASE("fronts: what came in one piece with its client's end is not sent on") {
  FrontendFixture fixture;
  TestConnection frames_client = fixture.connect_frames_client();
  TestConnection mysql_client = fixture.connect_mysql_client();
  REQUIRE(fixture.wait_for_frames_connections());
  fixture.run_on_loop([&] {
    frames_client.send(fixture.encode_request(1) + fixture.encode_request(2));
    mysql_client.send(encode_mysql_query("SELECT 1"));
    frames_client.close();
    mysql_client.close();
  });
  CHECK(fixture.wait_for_no_connections());
  CHECK(fixture.attempt_count() == 0);
  CHECK(fixture.open_request_count() == 0);
}

TEST_CASE("frames: an abandoned stream is called off on a broken connection, too") {
  // Guards against attempts for somebody who has gone, for as long as another stream keeps the connection.
  FrontendFixture fixture;
  TestConnection client = fixture.connect_frames_client();
  client.send(fixture.encode_request(1) + fixture.encode_request(2));
  REQUIRE(fixture.wait_for_attempts(2));
  client.send(encode_unknown_frame() + frames::encode_frame(frames::kCancel, 2, ""));
  CHECK(fixture.wait_for_open_requests(1));
  REQUIRE(fixture.cancelled_attempts().size() == 1);
  CHECK(fixture.cancelled_attempts().at(0) == 1);
  client.send(frames::encode_frame(frames::kCancel, 1, ""));
  CHECK(response_codes(read_to_graceful_end(client)) == ResponseCodes{{0, frames::kFailed}});
}

TEST_CASE("frames: the end of a client is noticed where its frames can't be told apart") {
  FrontendFixture fixture;
  TestConnection client = fixture.connect_frames_client();
  client.send(fixture.encode_request(1));
  REQUIRE(fixture.wait_for_attempts(1));
  client.send(std::string(4, '\xff') + std::string(100'000, 'x'));
  REQUIRE(client.wait_for_bytes(1));
  client.close();
  CHECK(fixture.wait_for_open_requests(0));
  CHECK(fixture.cancelled_attempts().size() == 1);
}

}  // namespace
}  // namespace rookproxy::test
