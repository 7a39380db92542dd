// How the frontends end connections: gracefully, each once what is open has its answer, and without a reset.
#include <catch2/catch.hpp>
#include <string>
#include <thread>
#include <vector>

#include "support/frontend_fixture.h"

namespace rookproxy::test {
namespace {

using namespace std::chrono_literals;

TEST_CASE("frames: all connections end in order, each once what is open has its answer") {
  FrontendFixture fixture;
  TestConnection busy = fixture.connect_frames_client();
  TestConnection idle = fixture.connect_frames_client();
  TestConnection silent = fixture.connect_frames_client();
  busy.send(fixture.encode_request(1));
  REQUIRE(fixture.wait_for_attempts(1));
  fixture.serve_request(idle, 1, 1);
  REQUIRE(fixture.wait_for_open_requests(1));
  fixture.close_frames_gracefully(kWaitLimit);
  // What comes after our end is not sent on, and resets nothing.
  idle.send(fixture.encode_request(2));
  CHECK(response_codes(read_to_graceful_end(idle)) == ResponseCodes{{1, frames::kServed}});
  read_to_graceful_end(silent);
  // What comes while an answer is owed is refused, and the answer comes.
  busy.send(fixture.encode_request(2));
  REQUIRE(busy.wait_for_bytes(1));
  fixture.serve(0, "late");
  CHECK(response_codes(read_to_graceful_end(busy)) ==
        ResponseCodes{{1, frames::kServed}, {2, frames::kRejected}});
  CHECK(fixture.has_frames_connections());
  idle.close();
  silent.close();
  busy.close();
  CHECK(fixture.wait_for_no_frames_connections());
  CHECK(fixture.attempt_count() == 2);
}

TEST_CASE("frames: a request that lies unread when all connections end is served") {
  // Guards against an end before the last look: its client wrote to a connection that was open.
  FrontendFixture fixture;
  TestConnection client = fixture.connect_frames_client();
  fixture.serve_request(client, 1, 0);
  fixture.run_on_loop([&] {
    client.send(fixture.encode_request(2));  // in the kernel before the loop's next iteration
    fixture.frames().close_all_gracefully(kWaitLimit);
  });
  REQUIRE(fixture.wait_for_attempts(2));
  fixture.serve(1, "two");
  CHECK(response_codes(read_to_graceful_end(client)) ==
        ResponseCodes{{1, frames::kServed}, {2, frames::kServed}});
}

TEST_CASE("frames: who never ends its side is closed at the bound") {
  FrontendFixture fixture;
  TestConnection client = fixture.connect_frames_client();
  client.send(fixture.encode_request(1));
  REQUIRE(fixture.wait_for_attempts(1));
  fixture.close_frames_gracefully(50ms);
  fixture.serve(0, "one");
  CHECK(fixture.wait_for_no_frames_connections());
  read_to_graceful_end(client);
}

TEST_CASE("mysql: all connections end in order, each once its command has its answer") {
  FrontendFixture fixture;
  TestConnection busy = fixture.connect_mysql_client();
  TestConnection idle = fixture.connect_mysql_client();
  TestConnection silent = fixture.connect_silent_mysql_client();
  busy.send(encode_mysql_query("SELECT 1"));
  REQUIRE(fixture.wait_for_attempts(1));
  fixture.close_mysql_gracefully(kWaitLimit);
  idle.send(encode_mysql_query("SELECT 2"));
  busy.send(encode_mysql_query("SELECT 3"));
  read_to_graceful_end(idle);
  read_to_graceful_end(silent);
  fixture.serve(0, encode_mysql_ok());
  CHECK(read_to_graceful_end(busy) == encode_mysql_ok());
  CHECK(fixture.has_mysql_connections());
  idle.close();
  silent.close();
  busy.close();
  CHECK(fixture.wait_for_no_mysql_connections());
  CHECK(fixture.attempt_count() == 1);
}

TEST_CASE("frames: an idle connection ends in order, and not over a request that lies unread") {
  FramesFrontend::Limits limits;
  limits.idle_timeout = 100ms;
  FrontendFixture fixture(limits);
  TestConnection client = fixture.connect_frames_client();
  fixture.serve_request(client, 1, 0);
  // The loop stalls beyond the time at which the connection is idle, and the request comes meanwhile.
  fixture.run_on_loop([&] {
    std::this_thread::sleep_for(150ms);
    fixture.run_later(1ms, [&] {
      client.send(fixture.encode_request(2));
    });
  });
  REQUIRE(fixture.wait_for_attempts(2));
  fixture.serve(1, "two");
  CHECK(response_codes(read_to_graceful_end(client)) ==
        ResponseCodes{{1, frames::kServed}, {2, frames::kServed}});
  // What comes after our end is not sent on, and nothing is reset.
  client.send(fixture.encode_request(3));
  CHECK(fixture.attempt_count() == 2);
}

TEST_CASE("frames: who gives way to others is served first, and ends in order") {
  // Guards against a reset over an answer just written, and against more connections than there may be.
  FramesFrontend::Limits limits;
  limits.max_connections = 8;
  FrontendFixture fixture(limits);
  std::vector<TestConnection> clients;
  for (std::size_t i = 0; i < 7; ++i) {
    clients.push_back(fixture.connect_frames_client());
    fixture.serve_request(clients.back(), 1, i);
  }
  std::this_thread::sleep_for(30ms);  // nobody is evicted before what came with it could be read
  std::vector<TestConnection> late;
  fixture.run_on_loop([&] {
    for (int i = 0; i < 2; ++i) late.push_back(fixture.connect_frames_client());
    clients[0].send(fixture.encode_request(2));  // comes in the iteration in which others come
  });
  REQUIRE(fixture.wait_for_attempts(8));
  fixture.serve(7, "two");
  for (TestConnection& client : late) client.send(fixture.encode_request(1));
  REQUIRE(fixture.wait_for_attempts(10));
  REQUIRE(clients[0].read_more());
  CHECK(response_codes(read_to_graceful_end(clients[1])) == ResponseCodes{{1, frames::kServed}});
  fixture.serve(8, "late");
  fixture.serve(9, "late");
  for (TestConnection& client : late) CHECK(client.wait_for_bytes(1));
}

TEST_CASE("mysql: an idle connection ends in order, and so does one that says goodbye") {
  FrontendFixture fixture;
  TestConnection client = fixture.connect_mysql_client();
  client.send(encode_mysql_query("SELECT 1"));
  REQUIRE(fixture.wait_for_attempts(1));
  fixture.serve(0, encode_mysql_ok());
  std::uint8_t sequence = 0;
  client.send(mysql::split_into_packets(std::string(1, static_cast<char>(mysql::kQuit)), sequence) +
              std::string(100'000, 'x'));
  CHECK(read_to_graceful_end(client) == encode_mysql_ok());
}

}  // namespace
}  // namespace rookproxy::test
