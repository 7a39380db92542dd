// How connections of clients end: in an order that the test controls, on real sockets, with the loop in a
// thread of its own and the client in the test's.
#include <fcntl.h>
#include <malloc.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>
#include <thread>

#include <catch2/catch.hpp>
#include <cstdio>
#include <functional>
#include <map>
#include <sstream>

#include "config/config.h"
#include "dispatcher/dispatcher.h"

#include "fakes/sockets.h"
#include "fakes/test_connection.h"
#include "frontend/frames_frontend.h"
#include "frontend/mysql_frontend.h"
#include "net/event_loop.h"
#include "net/file_descriptor.h"
#include "net/socket_address.h"
#include "net/sockets.h"
#include "support/dispatcher_config.h"
#include "support/dispatcher_process.h"
#include "support/event_loop_thread.h"
#include "support/read_to_end.h"
#include "support/require.h"

using namespace rookproxy;
using namespace rookproxy::test;
using namespace std::chrono_literals;

namespace {

// A front with its core, and links that only write down what they are told.
struct FrontendFixture final : EngineTransport {
  explicit FrontendFixture(FramesFrontend::Limits limits = {})
      : log(text, LogLevel::kDebug, "h", "a"),
        core(host.loop, log, figures, read_config(read_json()).settings, {"z"}, {}) {
    host.run([&] {
      core.set_transport(*this);
      host.on_iteration_end = [this] { core.process_events(); };
      core.update_endpoints(
          {{"a", {0x7f000001, 1}, rookproxy::routing::EngineState::kServing, "z", "m", 0, 1, std::nullopt}},
          false);
      core.process_events();
      frames = std::make_unique<FramesFrontend>(host.loop, log, core, listen_on_free_port(), limits);
      frames->set_accepting(true);
      MysqlFrontendConfig config;
      config.users = {{"school", "secret"}};
      config.read_class = "lookup";
      config.load_class = "load";
      config.read_timeout = config.load_timeout = kWaitLimit;
      mysql = std::make_unique<MysqlFrontend>(host.loop, log, core, listen_on_free_port(), config, 1);
      mysql->set_accepting(true);
    });
  }
  ~FrontendFixture() {
    host.finish([this] {
      frames.reset();
      mysql.reset();
      host.on_iteration_end = {};
    });
  }
  static nlohmann::json read_json() {
    nlohmann::json document = default_dispatcher_config();
    document["nameserver"] = "127.0.0.1:1";  // never asked
    document["settings"]["permissions"]["second_copies"] = false;
    return document;
  }

  TestConnection client() { return TestConnection::connect(frames->port()); }
  TestConnection mysql_client() {
    TestConnection peer = TestConnection::connect(mysql->port());
    const auto greeting = read_mysql_message(peer);
    REQUIRE(greeting);
    const auto read = mysql::parse_greeting(greeting->payload);
    mysql::Login login;
    login.capabilities = mysql::kCapabilities & ~mysql::kConnectAttrs & ~mysql::kConnectWithDb;
    login.user = "school";
    login.plugin = read.plugin;
    login.auth_response = *mysql::make_auth_response(read.plugin, "secret", read.nonce);
    std::uint8_t sequence = 1;
    peer.send(mysql::split_into_packets(mysql::login_payload(login), sequence));
    auto answer = read_mysql_message(peer);
    if (answer && answer->payload == "\x01\x03") answer = read_mysql_message(peer);
    REQUIRE((answer && answer->payload.starts_with('\0')));
    return peer;
  }
  static std::string query(const std::string& text) {
    std::uint8_t sequence = 0;
    return mysql::split_into_packets("\x03" + text, sequence);
  }
  std::string request(std::uint32_t stream, const std::string& statement = "SELECT 1") {
    char call[17];
    std::snprintf(call, sizeof call, "%016x", ++calls);
    std::string payload(1, '\3');
    for (const auto& [name, value] :
         {std::pair<std::string, std::string>{"op", "lookup"}, {"ttl", "3000"}, {"call", call}}) {
      payload += static_cast<char>(name.size()) + name + '\0' + static_cast<char>(value.size()) + value;
    }
    return frames::encode_frame(frames::kRequest, stream, payload + statement);
  }
  bool sent(std::size_t count) {
    return host.until([&] { return orders.size() >= count; });
  }
  void serve(std::size_t order, const std::string& body) {
    host.run([&] { core.on_attempt_ended(orders.at(order).key, {Outcome::kServed, std::nullopt, body}); });
  }

  void send(const AttemptRequest& order) override { orders.push_back(order); }
  bool cancel_if_unsent(AttemptKey) override { return false; }  // whatever is sent here has begun
  bool cancel(AttemptKey key) override {
    cancelled.push_back(key);
    return true;
  }
  void set_priority(AttemptKey, int) override {}
  void probe(EngineId) override {}
  void set_engine_address(EngineId, const SocketAddress&) override {}
  void stop_new_attempts(EngineId) override {}

  std::ostringstream text;
  EventLoopThread host;
  Logger log;
  Metrics figures;
  Dispatcher core;
  std::unique_ptr<FramesFrontend> frames;
  std::unique_ptr<MysqlFrontend> mysql;
  unsigned calls = 0;
  std::vector<AttemptRequest> orders;
  std::vector<AttemptKey> cancelled;
};

// What an ending in order leaves a client: whole answers by stream, and the end.
std::map<std::uint32_t, int> codes_of(std::string_view bytes) {
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

TEST_CASE("frames: all connections end in order, each once what is open has its answer") {
  FrontendFixture bench;
  TestConnection busy = bench.client(), idle = bench.client(), silent = bench.client();
  busy.send(bench.request(1));
  REQUIRE(bench.sent(1));
  idle.send(bench.request(1));
  REQUIRE(bench.sent(2));
  bench.serve(1, "one");
  REQUIRE(idle.wait_for_bytes(1));
  REQUIRE(bench.host.until([&] { return bench.core.open_request_count() == 1; }));
  bench.host.run([&] { bench.frames->close_all_gracefully(kWaitLimit); });
  // Behind our end nothing is sent on, and it resets nothing.
  idle.send(bench.request(2));
  const ReadResult read = read_to_end(idle.fd());
  CHECK(read.error == 0);
  CHECK(codes_of(idle.buffer() + read.bytes) == std::map<std::uint32_t, int>{{1, frames::kServed}});
  CHECK(read_to_end(silent.fd()).error == 0);
  // What comes while an answer is owed is refused, and the answer comes.
  busy.send(bench.request(2));
  REQUIRE(busy.wait_for_bytes(1));
  bench.serve(0, "late");
  const ReadResult last = read_to_end(busy.fd());
  CHECK(last.error == 0);
  CHECK(codes_of(busy.buffer() + last.bytes) ==
        std::map<std::uint32_t, int>{{1, frames::kServed}, {2, frames::kRejected}});
  CHECK(bench.host.run([&] { return bench.frames->has_connections(); }));
  idle.close(), silent.close(), busy.close();
  CHECK(bench.host.until([&] { return !bench.frames->has_connections(); }));
  CHECK(bench.orders.size() == 2);
}

TEST_CASE("frames: a request that lies unread when all connections end is served") {
  // Guards against an end before the last look: its client wrote to a connection that was open.
  FrontendFixture bench;
  TestConnection client = bench.client();
  client.send(bench.request(1));
  REQUIRE(bench.sent(1));
  bench.serve(0, "one");
  REQUIRE(client.wait_for_bytes(1));
  bench.host.run([&] {
    client.send(bench.request(2));  // in the kernel before the loop's next turn
    bench.frames->close_all_gracefully(kWaitLimit);
  });
  REQUIRE(bench.sent(2));
  bench.serve(1, "two");
  const ReadResult read = read_to_end(client.fd());
  CHECK(read.error == 0);
  CHECK(codes_of(client.buffer() + read.bytes) ==
        std::map<std::uint32_t, int>{{1, frames::kServed}, {2, frames::kServed}});
}

TEST_CASE("frames: who never ends its side is closed at the bound") {
  FrontendFixture bench;
  TestConnection client = bench.client();
  client.send(bench.request(1));
  REQUIRE(bench.sent(1));
  bench.host.run([&] { bench.frames->close_all_gracefully(50ms); });
  bench.serve(0, "one");
  CHECK(bench.host.until([&] { return !bench.frames->has_connections(); }));
  CHECK(read_to_end(client.fd()).error == 0);
}

TEST_CASE("mysql: all connections end in order, each once its command has its answer") {
  FrontendFixture bench;
  TestConnection busy = bench.mysql_client(), idle = bench.mysql_client(),
                 silent = TestConnection::connect(bench.mysql->port());
  REQUIRE(read_mysql_message(silent));
  busy.send(FrontendFixture::query("SELECT 1"));
  REQUIRE(bench.sent(1));
  bench.host.run([&] { bench.mysql->close_all_gracefully(kWaitLimit); });
  idle.send(FrontendFixture::query("SELECT 2"));
  busy.send(FrontendFixture::query("SELECT 3"));
  CHECK(read_to_end(idle.fd()).error == 0);
  CHECK(read_to_end(silent.fd()).error == 0);
  std::uint8_t sequence = 1;
  const std::string answer = mysql::split_into_packets(mysql::ok_payload(0, 0, mysql::kAutocommit), sequence);
  bench.serve(0, answer);
  const ReadResult read = read_to_end(busy.fd());
  CHECK(read.error == 0);
  CHECK(read.bytes == answer);
  CHECK(bench.host.run([&] { return bench.mysql->has_connections(); }));
  idle.close(), silent.close(), busy.close();
  CHECK(bench.host.until([&] { return !bench.mysql->has_connections(); }));
  CHECK(bench.orders.size() == 1);
}

namespace {

// The steps of a request's life at which its client may go, each brought about by the test.
struct Departure {
  const char* how;
  std::function<void(FrontendFixture&, TestConnection&)> go;
};
// The ways to go while the front reads nothing: the end must be seen all the same, and at once.
const std::vector<Departure>& departures() {
  static const std::vector<Departure> ways{
      {"ends its side", [](FrontendFixture&, TestConnection& peer) { ::shutdown(peer.fd().get(), SHUT_WR); }},
      {"closes", [](FrontendFixture&, TestConnection& peer) { peer.close(); }},
      {"resets",
       [](FrontendFixture&, TestConnection& peer) {
         const linger none{1, 0};
         ::setsockopt(peer.fd().get(), SOL_SOCKET, SO_LINGER, &none, sizeof none);
         peer.close();
       }},
  };
  return ways;
}

}  // namespace

TEST_CASE("frames: a client that has gone is noticed while nothing is read from it") {
  // Guards against attempts for nobody: the end lay unseen while the client's answers were not taken.
  for (const auto& [how, go] : departures()) {
    INFO(how);
    FramesFrontend::Limits limits;
    limits.max_unread_bytes_per_connection = 64 * 1024;
    FrontendFixture bench(limits);
    TestConnection client = bench.client();
    // Answers until the kernel takes no more, so that reading is held; then one more is open.
    std::uint32_t stream = 0;
    client.send(bench.request(++stream));
    REQUIRE(bench.sent(stream));
    const std::string body(40'000, 'r');
    const auto is_queued = [&] { return bench.host.run([&] { return !bench.frames->is_flushed(); }); };
    while (!is_queued()) {
      client.send(bench.request(++stream));
      REQUIRE(bench.sent(stream));
      bench.serve(stream - 2, body);
      REQUIRE(bench.host.until([&] { return bench.core.open_request_count() == 1; }));
    }
    std::uint32_t last = stream;
    for (int more = 0; more < 3; ++more) client.send(bench.request(++stream));
    REQUIRE(bench.sent(stream));
    for (; last < stream; ++last) bench.serve(last - 1, body);
    REQUIRE(bench.host.until([&] { return bench.core.open_request_count() == 1; }));
    client.send(bench.request(++stream));  // lies unread, and must stay so
    go(bench, client);
    // Well before its deadline, which is 3 s off.
    CHECK(bench.host.until([&] { return bench.core.open_request_count() == 0; }, 1500ms));
    CHECK(bench.host.run([&] { return bench.cancelled.size(); }) == 1);
    CHECK(bench.host.run([&] { return bench.orders.size(); }) == stream - 1);
  }
}

TEST_CASE("mysql: a client that has gone is noticed while its command runs") {
  for (const auto& [how, go] : departures()) {
    INFO(how);
    FrontendFixture bench;
    TestConnection client = bench.mysql_client();
    client.send(FrontendFixture::query("SELECT 1"));
    REQUIRE(bench.sent(1));
    client.send(FrontendFixture::query("SELECT 2") + FrontendFixture::query(std::string(50'000, 'x')));
    go(bench, client);
    CHECK(bench.host.until([&] { return bench.core.open_request_count() == 0; }));
    CHECK(bench.host.run([&] { return bench.cancelled.size(); }) == 1);
    CHECK(bench.host.run([&] { return bench.orders.size(); }) == 1);
  }
}

TEST_CASE("fronts: what came in one piece with its client's end is not sent on") {
  FrontendFixture bench;
  TestConnection of_frames = bench.client(), of_mysql = bench.mysql_client();
  REQUIRE(bench.host.until([&] { return bench.frames->has_connections(); }));
  bench.host.run([&] {
    of_frames.send(bench.request(1) + bench.request(2));
    of_mysql.send(FrontendFixture::query("SELECT 1"));
    of_frames.close();
    of_mysql.close();
  });
  CHECK(
      bench.host.until([&] { return !bench.frames->has_connections() && !bench.mysql->has_connections(); }));
  CHECK(bench.orders.empty());
  CHECK(bench.core.open_request_count() == 0);
}

TEST_CASE("frames: an abandoned stream is called off on a broken connection, too") {
  // Guards against attempts for somebody who has gone, for as long as another stream keeps the connection.
  FrontendFixture bench;
  TestConnection client = bench.client();
  client.send(bench.request(1) + bench.request(2));
  REQUIRE(bench.sent(2));
  client.send(frames::encode_frame(77, 3, "") + frames::encode_frame(frames::kCancel, 2, ""));
  CHECK(bench.host.until([&] { return bench.core.open_request_count() == 1; }));
  CHECK(bench.host.run([&] { return bench.cancelled.size(); }) == 1);
  CHECK(bench.host.run([&] { return bench.cancelled.at(0) == bench.orders.at(1).key; }));
  client.send(frames::encode_frame(frames::kCancel, 1, ""));
  const ReadResult read = read_to_end(client.fd());
  CHECK(read.error == 0);
  CHECK(codes_of(read.bytes) == std::map<std::uint32_t, int>{{0, frames::kFailed}});
}

TEST_CASE("frames: the end of a client is noticed where its frames can't be told apart") {
  FrontendFixture bench;
  TestConnection client = bench.client();
  client.send(bench.request(1));
  REQUIRE(bench.sent(1));
  client.send(std::string(4, '\xff') + std::string(100'000, 'x'));
  REQUIRE(client.wait_for_bytes(1));
  client.close();
  CHECK(bench.host.until([&] { return bench.core.open_request_count() == 0; }));
  CHECK(bench.host.run([&] { return bench.cancelled.size(); }) == 1);
}

TEST_CASE("frames: an idle connection ends in order, and not over a request that lies unread") {
  FramesFrontend::Limits limits;
  limits.idle_timeout = 100ms;
  FrontendFixture bench(limits);
  TestConnection client = bench.client();
  client.send(bench.request(1));
  REQUIRE(bench.sent(1));
  bench.serve(0, "one");
  REQUIRE(client.wait_for_bytes(1));
  // The loop stands still over the time at which the connection is idle, and the request comes meanwhile.
  bench.host.run([&] {
    std::this_thread::sleep_for(150ms);
    bench.host.loop.run_at(bench.host.loop.now() + 1ms, [&] { client.send(bench.request(2)); });
  });
  REQUIRE(bench.sent(2));
  bench.serve(1, "two");
  const ReadResult read = read_to_end(client.fd());
  CHECK(read.error == 0);
  CHECK(codes_of(client.buffer() + read.bytes) ==
        std::map<std::uint32_t, int>{{1, frames::kServed}, {2, frames::kServed}});
  // Behind our end nothing is sent on, and nothing is reset.
  client.send(bench.request(3));
  CHECK(bench.host.run([&] { return bench.orders.size(); }) == 2);
}

TEST_CASE("frames: who gives way to others is served first, and ends in order") {
  // Guards against a reset over an answer just written, and against more connections than there may be.
  FramesFrontend::Limits limits;
  limits.max_connections = 8;
  FrontendFixture bench(limits);
  std::vector<TestConnection> clients;
  for (int i = 0; i < 7; ++i) {
    clients.push_back(bench.client());
    clients.back().send(bench.request(1));
    REQUIRE(bench.sent(clients.size()));
    bench.serve(clients.size() - 1, "one");
    REQUIRE(clients.back().wait_for_bytes(1));
  }
  std::this_thread::sleep_for(30ms);  // nobody is pushed out before what came with it could be read
  std::vector<TestConnection> late;
  bench.host.run([&] {
    for (int i = 0; i < 2; ++i) late.push_back(bench.client());
    clients[0].send(bench.request(2));  // comes in the turn in which others come
  });
  REQUIRE(bench.sent(8));
  bench.serve(7, "two");
  for (TestConnection& one : late) one.send(bench.request(1));
  REQUIRE(bench.sent(10));
  REQUIRE(clients[0].read_more());
  const ReadResult first = read_to_end(clients[1].fd());
  CHECK(first.error == 0);
  CHECK(codes_of(clients[1].buffer() + first.bytes) == std::map<std::uint32_t, int>{{1, frames::kServed}});
  bench.serve(8, "late"), bench.serve(9, "late");
  for (TestConnection& one : late) CHECK(one.wait_for_bytes(1));
}

TEST_CASE("mysql: an idle connection ends in order, and so does one that says goodbye") {
  FrontendFixture bench;
  TestConnection client = bench.mysql_client();
  client.send(FrontendFixture::query("SELECT 1"));
  REQUIRE(bench.sent(1));
  std::uint8_t sequence = 1;
  const std::string answer = mysql::split_into_packets(mysql::ok_payload(0, 0, mysql::kAutocommit), sequence);
  bench.serve(0, answer);
  sequence = 0;
  client.send(mysql::split_into_packets("\x01", sequence) + std::string(100'000, 'x'));
  const ReadResult read = read_to_end(client.fd());
  CHECK(read.error == 0);
  CHECK(read.bytes == answer);
}

namespace {

// Bytes that the program holds of its heap, in both kinds of blocks. A sanitizer's heap does not tell.
std::size_t heap_bytes() {
#ifdef __SANITIZE_ADDRESS__
  return 0;
#endif
  const struct mallinfo2 info = ::mallinfo2();
  return info.uordblks + info.hblkhd;
}

}  // namespace

TEST_CASE("frames: a flood behind a broken frame is bounded while it comes, and gone with its clients") {
  // Guards against a buffer for each such connection: they stay as long as something is open on them. Of
  // large frames that have begun there are most_unfinished bytes, in good connections and broken ones.
  FramesFrontend::Limits limits;
  limits.max_partial_frame_bytes = 1u << 20;
  FrontendFixture bench(limits);
  std::vector<TestConnection> crowd;
  const std::string large = frames::encode_frame(frames::kRequest, 9, std::string(260'000, 'x'));
  const std::size_t before = heap_bytes();
  for (std::uint32_t i = 0; i < 30; ++i) {
    crowd.push_back(bench.client());
    crowd.back().send(bench.request(1) + frames::encode_frame(77, 3, ""));
    REQUIRE(crowd.back().wait_for_bytes(1));  // it was told of the broken frame
    crowd.back().send(std::string_view(large).substr(0, large.size() - 1));
  }
  // Others are served meanwhile. In each turn that this takes, 64 kB of each flood are read.
  TestConnection good = bench.client();
  for (int round = 0; round < 10; ++round) {
    good.send(frames::encode_frame(frames::kReadinessQuery, 1, std::string(1, '\0')));
    REQUIRE(good.wait_for_bytes(1));
    good.buffer().clear();
  }
  CHECK(bench.host.run([&] { return bench.core.open_request_count(); }) == 30);
  CHECK(heap_bytes() - before < (4u << 20));  // 7.8 MB were sent
  crowd.clear();
  CHECK(bench.host.until([&] { return bench.core.open_request_count() == 0; }));
}

TEST_CASE("mysql: large commands that have begun share a budget, and little comes before a log-in") {
  FrontendFixture bench;
  bench.host.run([&] { bench.mysql->set_resource_limits(100, 1u << 20, 1u << 20); });
  const auto begin = [](std::size_t length, std::uint8_t sequence) {
    std::string head;
    mysql::append_integer(head, length, 3);
    return head + static_cast<char>(sequence);
  };
  const auto error_of = [](TestConnection& peer) {
    const auto message = read_mysql_message(peer);
    return message && message->payload.starts_with('\xff') ? mysql::parse_error(message->payload).code : 0;
  };
  TestConnection stranger = TestConnection::connect(bench.mysql->port());
  REQUIRE(read_mysql_message(stranger));
  stranger.send(begin(100'000, 1));
  CHECK(error_of(stranger) == mysql::kPacketTooLarge);
  TestConnection first = bench.mysql_client(), second = bench.mysql_client(), third = bench.mysql_client();
  first.send(begin(900'000, 0));
  CHECK(bench.host.until([&] { return bench.mysql->is_receiving_large_command(); }));
  second.send(begin(900'000, 0));
  CHECK(error_of(second) == mysql::kOutOfResources);
  third.send(FrontendFixture::query("SELECT 1"));  // small ones pass
  REQUIRE(bench.sent(1));
  first.close();
  CHECK(bench.host.until([&] { return !bench.mysql->is_receiving_large_command(); }));
  third.close();
  TestConnection fourth = bench.mysql_client();
  fourth.send(FrontendFixture::query("SELECT '" + std::string(900'000, 'x') + "'"));
  CHECK(bench.sent(2));
}
