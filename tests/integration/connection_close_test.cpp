// How client connections end, on real sockets in an order that the test controls. The event loop runs in its
// own thread, the client in the test's.
#include <fcntl.h>
#include <malloc.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>
#include <thread>

#include <catch2/catch.hpp>
#include <functional>
#include <map>

#include "fakes/sockets.h"
#include "fakes/test_connection.h"
#include "frontend/frames_frontend.h"
#include "net/file_descriptor.h"
#include "support/dispatcher_process.h"
#include "support/event_loop_thread.h"
#include "support/frontend_fixture.h"
#include "support/read_to_end.h"
#include "support/require.h"

using namespace rookproxy;
using namespace rookproxy::test;
using namespace std::chrono_literals;

namespace {

// The status codes by stream of a connection that ended gracefully: only complete responses, then the end.
std::map<std::uint32_t, int> status_codes_of(std::string_view bytes) {
  std::map<std::uint32_t, int> codes;
  frames::Frame frame;
  std::size_t used = 0;
  while (frames::parse_frame(bytes, frame, used) == frames::ParseStatus::kComplete) {
    if (frame.type == frames::kResponse) codes[frame.stream_id] = frame.payload[0];
    bytes.remove_prefix(used);
  }
  CHECK(bytes.empty());
  return codes;
}

}  // namespace

TEST_CASE("frames: on graceful close each connection ends after its open requests have responses") {
  FrontendFixture fixture;
  TestConnection busy = fixture.client(), idle = fixture.client(), silent = fixture.client();
  busy.send(fixture.request(1));
  REQUIRE(fixture.wait_for_attempts(1));
  idle.send(fixture.request(1));
  REQUIRE(fixture.wait_for_attempts(2));
  fixture.serve(1, "one");
  REQUIRE(idle.wait_for_bytes(1));
  REQUIRE(fixture.loop_thread.until([&] { return fixture.dispatcher.open_request_count() == 1; }));
  fixture.loop_thread.run([&] { fixture.frames->close_all_gracefully(kWaitLimit); });
  // After the frontend's FIN nothing is forwarded, and the connection is not reset.
  idle.send(fixture.request(2));
  const ReadResult read = read_to_end(idle.fd());
  CHECK(read.error == 0);
  CHECK(status_codes_of(idle.buffer() + read.bytes) == std::map<std::uint32_t, int>{{1, frames::kServed}});
  CHECK(read_to_end(silent.fd()).error == 0);
  // A request that arrives while a response is outstanding is rejected, and the response is sent.
  busy.send(fixture.request(2));
  REQUIRE(busy.wait_for_bytes(1));
  fixture.serve(0, "late");
  const ReadResult last = read_to_end(busy.fd());
  CHECK(last.error == 0);
  CHECK(status_codes_of(busy.buffer() + last.bytes) ==
        std::map<std::uint32_t, int>{{1, frames::kServed}, {2, frames::kRejected}});
  CHECK(fixture.loop_thread.run([&] { return fixture.frames->has_connections(); }));
  idle.close(), silent.close(), busy.close();
  CHECK(fixture.loop_thread.until([&] { return !fixture.frames->has_connections(); }));
  CHECK(fixture.attempts.size() == 2);
}

TEST_CASE("frames: a request that is still unread at graceful close is served") {
  // Guards against closing before a last read: the client wrote to a connection that was open.
  FrontendFixture fixture;
  TestConnection client = fixture.client();
  client.send(fixture.request(1));
  REQUIRE(fixture.wait_for_attempts(1));
  fixture.serve(0, "one");
  REQUIRE(client.wait_for_bytes(1));
  fixture.loop_thread.run([&] {
    client.send(fixture.request(2));  // in the kernel before the next loop iteration
    fixture.frames->close_all_gracefully(kWaitLimit);
  });
  REQUIRE(fixture.wait_for_attempts(2));
  fixture.serve(1, "two");
  const ReadResult read = read_to_end(client.fd());
  CHECK(read.error == 0);
  CHECK(status_codes_of(client.buffer() + read.bytes) ==
        std::map<std::uint32_t, int>{{1, frames::kServed}, {2, frames::kServed}});
}

TEST_CASE("frames: a client that never closes its side is closed after the timeout") {
  FrontendFixture fixture;
  TestConnection client = fixture.client();
  client.send(fixture.request(1));
  REQUIRE(fixture.wait_for_attempts(1));
  fixture.loop_thread.run([&] { fixture.frames->close_all_gracefully(50ms); });
  fixture.serve(0, "one");
  CHECK(fixture.loop_thread.until([&] { return !fixture.frames->has_connections(); }));
  CHECK(read_to_end(client.fd()).error == 0);
}

TEST_CASE("mysql: on graceful close each connection ends after its command has a response") {
  FrontendFixture fixture;
  TestConnection busy = fixture.mysql_client(), idle = fixture.mysql_client(),
                 silent = TestConnection::connect(fixture.mysql->port());
  REQUIRE(read_mysql_message(silent));
  busy.send(FrontendFixture::query("SELECT 1"));
  REQUIRE(fixture.wait_for_attempts(1));
  fixture.loop_thread.run([&] { fixture.mysql->close_all_gracefully(kWaitLimit); });
  idle.send(FrontendFixture::query("SELECT 2"));
  busy.send(FrontendFixture::query("SELECT 3"));
  CHECK(read_to_end(idle.fd()).error == 0);
  CHECK(read_to_end(silent.fd()).error == 0);
  std::uint8_t sequence = 1;
  const std::string answer = mysql::split_into_packets(mysql::ok_payload(0, 0, mysql::kAutocommit), sequence);
  fixture.serve(0, answer);
  const ReadResult read = read_to_end(busy.fd());
  CHECK(read.error == 0);
  CHECK(read.bytes == answer);
  CHECK(fixture.loop_thread.run([&] { return fixture.mysql->has_connections(); }));
  idle.close(), silent.close(), busy.close();
  CHECK(fixture.loop_thread.until([&] { return !fixture.mysql->has_connections(); }));
  CHECK(fixture.attempts.size() == 1);
}

namespace {

// A way in which a client disconnects.
struct ClientDisconnect {
  const char* how;
  std::function<void(FrontendFixture&, TestConnection&)> disconnect;
};
// Disconnects that must be detected at once although the frontend reads nothing.
const std::vector<ClientDisconnect>& client_disconnects() {
  static const std::vector<ClientDisconnect> kinds{
      {"ends its side", [](FrontendFixture&, TestConnection& peer) { ::shutdown(peer.fd().get(), SHUT_WR); }},
      {"closes", [](FrontendFixture&, TestConnection& peer) { peer.close(); }},
      {"resets",
       [](FrontendFixture&, TestConnection& peer) {
         const linger reset_on_close{1, 0};
         ::setsockopt(peer.fd().get(), SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
         peer.close();
       }},
  };
  return kinds;
}

}  // namespace

TEST_CASE("frames: a client's disconnect is detected while reading is paused") {
  // Guards against attempts without a client: the disconnect went unnoticed while responses could not be
  // written.
  for (const auto& [how, disconnect] : client_disconnects()) {
    INFO(how);
    FramesFrontend::Limits limits;
    limits.max_unread_bytes_per_connection = 64 * 1024;
    FrontendFixture fixture(limits);
    TestConnection client = fixture.client();
    // Sends responses until the kernel accepts no more and reading is paused. One more request is open then.
    std::uint32_t stream = 0;
    client.send(fixture.request(++stream));
    REQUIRE(fixture.wait_for_attempts(stream));
    const std::string body(40'000, 'r');
    const auto has_unsent_output = [&] {
      return fixture.loop_thread.run([&] { return !fixture.frames->is_flushed(); });
    };
    while (!has_unsent_output()) {
      client.send(fixture.request(++stream));
      REQUIRE(fixture.wait_for_attempts(stream));
      fixture.serve(stream - 2, body);
      REQUIRE(fixture.loop_thread.until([&] { return fixture.dispatcher.open_request_count() == 1; }));
    }
    std::uint32_t last = stream;
    for (int more = 0; more < 3; ++more) client.send(fixture.request(++stream));
    REQUIRE(fixture.wait_for_attempts(stream));
    for (; last < stream; ++last) fixture.serve(last - 1, body);
    REQUIRE(fixture.loop_thread.until([&] { return fixture.dispatcher.open_request_count() == 1; }));
    client.send(fixture.request(++stream));  // stays unread
    disconnect(fixture, client);
    // Well before the request's deadline of 3 s.
    CHECK(fixture.loop_thread.until([&] { return fixture.dispatcher.open_request_count() == 0; }, 1500ms));
    CHECK(fixture.loop_thread.run([&] { return fixture.cancelled.size(); }) == 1);
    CHECK(fixture.loop_thread.run([&] { return fixture.attempts.size(); }) == stream - 1);
  }
}

TEST_CASE("mysql: a client's disconnect is detected while its command runs") {
  for (const auto& [how, disconnect] : client_disconnects()) {
    INFO(how);
    FrontendFixture fixture;
    TestConnection client = fixture.mysql_client();
    client.send(FrontendFixture::query("SELECT 1"));
    REQUIRE(fixture.wait_for_attempts(1));
    client.send(FrontendFixture::query("SELECT 2") + FrontendFixture::query(std::string(50'000, 'x')));
    disconnect(fixture, client);
    CHECK(fixture.loop_thread.until([&] { return fixture.dispatcher.open_request_count() == 0; }));
    CHECK(fixture.loop_thread.run([&] { return fixture.cancelled.size(); }) == 1);
    CHECK(fixture.loop_thread.run([&] { return fixture.attempts.size(); }) == 1);
  }
}

TEST_CASE("fronts: requests received together with the client's disconnect are not forwarded") {
  FrontendFixture fixture;
  TestConnection frames_peer = fixture.client(), mysql_peer = fixture.mysql_client();
  REQUIRE(fixture.loop_thread.until([&] { return fixture.frames->has_connections(); }));
  fixture.loop_thread.run([&] {
    frames_peer.send(fixture.request(1) + fixture.request(2));
    mysql_peer.send(FrontendFixture::query("SELECT 1"));
    frames_peer.close();
    mysql_peer.close();
  });
  CHECK(fixture.loop_thread.until(
      [&] { return !fixture.frames->has_connections() && !fixture.mysql->has_connections(); }));
  CHECK(fixture.attempts.empty());
  CHECK(fixture.dispatcher.open_request_count() == 0);
}

TEST_CASE("frames: a cancelled stream cancels its attempt on a connection with a protocol error") {
  // Guards against attempts without a client for as long as another stream keeps the connection open.
  FrontendFixture fixture;
  TestConnection client = fixture.client();
  client.send(fixture.request(1) + fixture.request(2));
  REQUIRE(fixture.wait_for_attempts(2));
  client.send(frames::encode_frame(77, 3, "") + frames::encode_frame(frames::kCancel, 2, ""));
  CHECK(fixture.loop_thread.until([&] { return fixture.dispatcher.open_request_count() == 1; }));
  CHECK(fixture.loop_thread.run([&] { return fixture.cancelled.size(); }) == 1);
  CHECK(fixture.loop_thread.run([&] { return fixture.cancelled.at(0) == fixture.attempts.at(1).key; }));
  client.send(frames::encode_frame(frames::kCancel, 1, ""));
  const ReadResult read = read_to_end(client.fd());
  CHECK(read.error == 0);
  CHECK(status_codes_of(read.bytes) == std::map<std::uint32_t, int>{{0, frames::kFailed}});
}

TEST_CASE("frames: a client's disconnect is detected after its frames became unreadable") {
  FrontendFixture fixture;
  TestConnection client = fixture.client();
  client.send(fixture.request(1));
  REQUIRE(fixture.wait_for_attempts(1));
  client.send(std::string(4, '\xff') + std::string(100'000, 'x'));
  REQUIRE(client.wait_for_bytes(1));
  client.close();
  CHECK(fixture.loop_thread.until([&] { return fixture.dispatcher.open_request_count() == 0; }));
  CHECK(fixture.loop_thread.run([&] { return fixture.cancelled.size(); }) == 1);
}

TEST_CASE("frames: an idle connection closes gracefully, but not with an unread request") {
  FramesFrontend::Limits limits;
  limits.idle_timeout = 100ms;
  FrontendFixture fixture(limits);
  TestConnection client = fixture.client();
  client.send(fixture.request(1));
  REQUIRE(fixture.wait_for_attempts(1));
  fixture.serve(0, "one");
  REQUIRE(client.wait_for_bytes(1));
  // The loop is blocked past the idle timeout, and the request arrives meanwhile.
  fixture.loop_thread.run([&] {
    std::this_thread::sleep_for(150ms);
    fixture.loop_thread.loop.run_at(fixture.loop_thread.loop.now() + 1ms,
                                    [&] { client.send(fixture.request(2)); });
  });
  REQUIRE(fixture.wait_for_attempts(2));
  fixture.serve(1, "two");
  const ReadResult read = read_to_end(client.fd());
  CHECK(read.error == 0);
  CHECK(status_codes_of(client.buffer() + read.bytes) ==
        std::map<std::uint32_t, int>{{1, frames::kServed}, {2, frames::kServed}});
  // After the frontend's FIN nothing is forwarded, and the connection is not reset.
  client.send(fixture.request(3));
  CHECK(fixture.loop_thread.run([&] { return fixture.attempts.size(); }) == 2);
}

TEST_CASE("frames: a connection evicted for others is served first and closes gracefully") {
  // Guards against a reset that discards a response just written, and against exceeding the connection limit.
  FramesFrontend::Limits limits;
  limits.max_connections = 8;
  FrontendFixture fixture(limits);
  std::vector<TestConnection> clients;
  for (int i = 0; i < 7; ++i) {
    clients.push_back(fixture.client());
    clients.back().send(fixture.request(1));
    REQUIRE(fixture.wait_for_attempts(clients.size()));
    fixture.serve(clients.size() - 1, "one");
    REQUIRE(clients.back().wait_for_bytes(1));
  }
  std::this_thread::sleep_for(30ms);  // a connection is evicted only after its data could be read
  std::vector<TestConnection> new_clients;
  fixture.loop_thread.run([&] {
    for (int i = 0; i < 2; ++i) new_clients.push_back(fixture.client());
    clients[0].send(fixture.request(2));  // arrives in the same iteration as the new connections
  });
  REQUIRE(fixture.wait_for_attempts(8));
  fixture.serve(7, "two");
  for (TestConnection& one : new_clients) one.send(fixture.request(1));
  REQUIRE(fixture.wait_for_attempts(10));
  REQUIRE(clients[0].read_more());
  const ReadResult first = read_to_end(clients[1].fd());
  CHECK(first.error == 0);
  CHECK(status_codes_of(clients[1].buffer() + first.bytes) ==
        std::map<std::uint32_t, int>{{1, frames::kServed}});
  fixture.serve(8, "late"), fixture.serve(9, "late");
  for (TestConnection& one : new_clients) CHECK(one.wait_for_bytes(1));
}

TEST_CASE("mysql: a connection whose client quits closes gracefully") {
  FrontendFixture fixture;
  TestConnection client = fixture.mysql_client();
  client.send(FrontendFixture::query("SELECT 1"));
  REQUIRE(fixture.wait_for_attempts(1));
  std::uint8_t sequence = 1;
  const std::string answer = mysql::split_into_packets(mysql::ok_payload(0, 0, mysql::kAutocommit), sequence);
  fixture.serve(0, answer);
  sequence = 0;
  client.send(mysql::split_into_packets("\x01", sequence) + std::string(100'000, 'x'));
  const ReadResult read = read_to_end(client.fd());
  CHECK(read.error == 0);
  CHECK(read.bytes == answer);
}

namespace {

// Bytes allocated on the heap, including mapped blocks. 0 with AddressSanitizer, which replaces the heap.
std::size_t heap_bytes() {
#ifdef __SANITIZE_ADDRESS__
  return 0;
#endif
  const struct mallinfo2 info = ::mallinfo2();
  return info.uordblks + info.hblkhd;
}

}  // namespace

TEST_CASE("frames: data behind a protocol error uses bounded memory and is released with its clients") {
  // Guards against a buffer for each connection with a protocol error, which lasts as long as a request is
  // open on it. All incomplete large frames share a limit, on valid and broken connections.
  FrontendFixture fixture;
  fixture.memory->set_limit(policy::MemoryUse::kPartialCommands, 1u << 20);
  std::vector<TestConnection> flooding_clients;
  const std::string large = frames::encode_frame(frames::kRequest, 9, std::string(260'000, 'x'));
  const std::size_t before = heap_bytes();
  for (std::uint32_t i = 0; i < 30; ++i) {
    flooding_clients.push_back(fixture.client());
    flooding_clients.back().send(fixture.request(1) + frames::encode_frame(77, 3, ""));
    REQUIRE(flooding_clients.back().wait_for_bytes(1));  // the protocol error was reported
    flooding_clients.back().send(std::string_view(large).substr(0, large.size() - 1));
  }
  // Other clients are served meanwhile. Each iteration reads 64 kB from each flooding client.
  TestConnection other_client = fixture.client();
  for (int round = 0; round < 10; ++round) {
    other_client.send(frames::encode_frame(frames::kReadinessQuery, 1, std::string(1, '\0')));
    REQUIRE(other_client.wait_for_bytes(1));
    other_client.buffer().clear();
  }
  CHECK(fixture.loop_thread.run([&] { return fixture.dispatcher.open_request_count(); }) == 30);
  CHECK(heap_bytes() - before < (4u << 20));  // 7.8 MB were sent
  flooding_clients.clear();
  CHECK(fixture.loop_thread.until([&] { return fixture.dispatcher.open_request_count() == 0; }));
}

TEST_CASE("mysql: the input of a long command is released although the next command has begun") {
  // Guards against 4 MB for each client that sends a long command and a part of another one.
  constexpr int kClients = 16;
  FrontendFixture fixture;
  fixture.memory->set_limit(policy::MemoryUse::kStatements, 1u << 20);
  const std::string long_statement = "SELECT '" + std::string(4'000'000, 'x') + "'";
  std::vector<TestConnection> clients;
  for (int number = 0; number < kClients; ++number) clients.push_back(fixture.mysql_client());
  const std::size_t before = heap_bytes();
  for (TestConnection& client : clients) {
    client.send(FrontendFixture::query(long_statement) + std::string(3, '\x10'));
    const auto message = read_mysql_message(client);
    REQUIRE(message);
    CHECK(mysql::parse_error(message->payload).code == mysql::kServerNotAvailable);
  }
  CHECK(heap_bytes() - before < (8u << 20));  // 64 MB were sent
}

TEST_CASE("mysql: large incomplete commands share a budget, and before log-in only little is accepted") {
  FrontendFixture fixture;
  fixture.memory->set_limit(policy::MemoryUse::kPartialCommands, 1u << 20);
  const auto is_receiving_large_command = [&] {
    return fixture.memory->held(policy::MemoryUse::kPartialCommands) > 0;
  };
  const auto begin = [](std::size_t length, std::uint8_t sequence) {
    std::string head;
    mysql::append_integer(head, length, 3);
    return head + static_cast<char>(sequence);
  };
  const auto error_of = [](TestConnection& peer) {
    const auto message = read_mysql_message(peer);
    return message && message->payload.starts_with('\xff') ? mysql::parse_error(message->payload).code : 0;
  };
  TestConnection unauthenticated = TestConnection::connect(fixture.mysql->port());
  REQUIRE(read_mysql_message(unauthenticated));
  unauthenticated.send(begin(100'000, 1));
  CHECK(error_of(unauthenticated) == mysql::kPacketTooLarge);
  TestConnection first = fixture.mysql_client(), second = fixture.mysql_client(),
                 third = fixture.mysql_client();
  first.send(begin(900'000, 0));
  CHECK(fixture.loop_thread.until(is_receiving_large_command));
  second.send(begin(900'000, 0));
  CHECK(error_of(second) == mysql::kOutOfResources);
  third.send(FrontendFixture::query("SELECT 1"));  // small commands are accepted
  REQUIRE(fixture.wait_for_attempts(1));
  first.close();
  CHECK(fixture.loop_thread.until([&] { return !is_receiving_large_command(); }));
  third.close();
  TestConnection fourth = fixture.mysql_client();
  fourth.send(FrontendFixture::query("SELECT '" + std::string(900'000, 'x') + "'"));
  CHECK(fixture.wait_for_attempts(2));
}
