// How connections of clients end: in an order that the test controls, on real sockets, with the loop in a
// thread of its own and the client in the test's.
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <cerrno>
#include <cstdio>
#include <deque>
#include <future>
#include <mutex>
#include <sstream>

#include "config/config.h"
#include "core/dispatcher.h"
#include "front/frames.h"
#include "front/mysql.h"
#include "process.h"
#include "standins/standins.h"

using namespace rookproxy;
using namespace rookproxy::test;
using namespace std::chrono_literals;

namespace {

// A loop in its own thread. It waits for nothing but what the test makes happen.
class Host final : private Watcher {
 public:
  Host() : wake_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
    loop.watch(wake_.get(), *this);
    loop.each_turn([this] {
      ++turns;
      if (each_turn) each_turn();
    });
    thread_ = std::thread([this] { loop.run(); });
  }
  // Between two turns of the loop; returns once it is done.
  template <class Task>
  auto run(Task task) {
    std::packaged_task<decltype(task())()> packaged(std::move(task));
    auto result = packaged.get_future();
    {
      const std::lock_guard lock(mutex_);
      tasks_.push_back([&packaged] { packaged(); });
    }
    const std::uint64_t one = 1;
    REQUIRE(::write(wake_.get(), &one, sizeof one) == sizeof one);
    return result.get();
  }
  ~Host() { finish(); }
  // What is on the loop must not outlive it.
  void finish(std::function<void()> last = {}) {
    if (!thread_.joinable()) return;
    run([&] {
      if (last) last();
      loop.stop();
    });
    thread_.join();
  }
  bool until(const std::function<bool()>& holds) {
    const auto end = std::chrono::steady_clock::now() + kPatience;
    while (std::chrono::steady_clock::now() < end) {
      if (run(holds)) return true;
      std::this_thread::sleep_for(1ms);
    }
    return false;
  }

  Loop loop;
  std::function<void()> each_turn;
  std::atomic<int> turns{0};

 private:
  void on_ready(std::uint32_t) override {
    std::uint64_t count = 0;
    while (::read(wake_.get(), &count, sizeof count) > 0) {
    }
    for (;;) {
      std::function<void()> task;
      {
        const std::lock_guard lock(mutex_);
        if (tasks_.empty()) return;
        task = std::move(tasks_.front());
        tasks_.pop_front();
      }
      task();
    }
  }
  Fd wake_;
  std::mutex mutex_;
  std::deque<std::function<void()>> tasks_;
  std::thread thread_;
};

struct Heard final : StreamUser {
  std::string got;
  std::vector<std::string> ends;
  std::size_t on_bytes(std::string_view bytes) override {
    got += bytes;
    return bytes.size();
  }
  void on_closed(std::string_view why) override { ends.emplace_back(why); }
};

// All that comes up to the end, and how it ended: 0 in order, else the fault.
struct Rest {
  std::string bytes;
  int fault = 0;
};
Rest read_to_end(const Fd& fd) {
  Rest rest;
  char bytes[64 * 1024];
  while (readable(fd, kPatience)) {
    const ssize_t got = ::recv(fd.get(), bytes, sizeof bytes, 0);
    if (got == 0) return rest;
    if (got < 0) {
      rest.fault = errno;
      return rest;
    }
    rest.bytes.append(bytes, static_cast<std::size_t>(got));
  }
  rest.fault = ETIMEDOUT;
  return rest;
}

// One stream of ours and the peer at its other end.
struct Pair {
  Host host;
  Fd listener = listen_anywhere();
  Peer peer = Peer::connect(local_port(listener));
  Heard heard;
  std::unique_ptr<Stream> stream;
  Pair() {
    REQUIRE(readable(listener, kPatience));
    host.run([this] {
      stream = std::make_unique<Stream>(host.loop, accept_from(listener), heard, false, 1 << 20);
    });
  }
  ~Pair() {
    host.finish([this] { stream.reset(); });
  }
};

}  // namespace

TEST_CASE("stream: an end in order takes nothing with it, though bytes lie unread") {
  // Guards against a close that resets the connection and takes with it what was just written.
  Pair pair;
  const std::string answer(16u << 20, 'a');  // more than kernels hold, so that some is queued
  pair.host.run([&] { pair.stream->hold_reading(true); });
  pair.peer.send(std::string(100'000, 'q'));
  pair.host.run([&] {
    pair.stream->write(answer);
    CHECK(pair.stream->queued() > 0);
    pair.stream->end_in_order(kPatience);
    pair.stream->write("too late");
  });
  pair.peer.send("behind the end");
  const Rest rest = read_to_end(pair.peer.fd());
  CHECK(rest.fault == 0);
  CHECK((rest.bytes == answer));
  CHECK(pair.host.run([&] { return pair.heard.ends.empty() && pair.stream->is_open(); }));
  pair.peer.close();
  CHECK(pair.host.until([&] { return !pair.heard.ends.empty(); }));
  CHECK(pair.host.run([&] { return pair.heard.ends; }) == std::vector<std::string>{"closed by the peer"});
  CHECK(pair.host.run([&] { return pair.heard.got; }) == "");
}

TEST_CASE("stream: an end in order still delivers to a peer that has ended its side") {
  Pair pair;
  const std::string answer(16u << 20, 'a');
  pair.host.run([&] {
    pair.stream->write(answer);
    ::shutdown(pair.peer.fd().get(), SHUT_WR);
    pair.stream->end_in_order(kPatience);
  });
  const Rest rest = read_to_end(pair.peer.fd());
  CHECK(rest.fault == 0);
  CHECK((rest.bytes == answer));
  CHECK(pair.host.until([&] { return pair.heard.ends.size() == 1; }));
}

TEST_CASE("stream: an end in order is over at its bound, and the loop waits meanwhile") {
  // Guards against a peer that never ends, and against a loop that turns with no wait: each shutdown() of a
  // socket makes it ready once more.
  for (const bool sends_on : {false, true}) {
    Pair pair;
    if (sends_on) pair.peer.send(std::string(1000, 'q'));
    const auto begun = std::chrono::steady_clock::now();
    const int turns = pair.host.turns;
    std::promise<void> over;
    pair.host.run([&] {
      pair.stream->end_in_order(200ms);
      pair.host.loop.at(pair.host.loop.now() + 300ms, [&] { over.set_value(); });
    });
    over.get_future().get();
    CHECK(std::chrono::steady_clock::now() - begun >= 200ms);
    CHECK(pair.host.run([&] { return pair.heard.ends; }) ==
          std::vector<std::string>{"the peer did not end in time"});
    CHECK(pair.host.turns - turns < 50);
    CHECK(read_to_end(pair.peer.fd()).fault == 0);
  }
}

namespace {

// A front with its core, and links that only write down what they are told.
struct FrontBench final : EngineLinks {
  explicit FrontBench(FramesFront::Limits limits = {})
      : log(text, Level::kDebug, "h", "a"),
        core(host.loop, log, figures, read_config(read_json()).settings, {"z"}, {}) {
    host.run([&] {
      core.use(*this);
      host.each_turn = [this] { core.settle(); };
      core.learn_members(
          {{"a", {0x7f000001, 1}, lemonshift::EngineState::kServing, "z", "m", 0, 1, std::nullopt}}, false);
      core.settle();
      frames = std::make_unique<FramesFront>(host.loop, log, core, listen_anywhere(), limits);
      frames->accept_clients(true);
      MysqlFrontConfig config;
      config.users = {{"school", "secret"}};
      config.read_class = "lookup";
      config.load_class = "load";
      config.read_deadline = config.load_deadline = kPatience;
      mysql = std::make_unique<MysqlFront>(host.loop, log, core, listen_anywhere(), config, 1);
      mysql->accept_clients(true);
    });
  }
  ~FrontBench() {
    host.finish([this] {
      frames.reset();
      mysql.reset();
      host.each_turn = {};
    });
  }
  static nlohmann::json read_json() {
    nlohmann::json document = base_config();
    document["nameserver"] = "127.0.0.1:1";  // never asked
    document["settings"]["permissions"]["second_copies"] = false;
    return document;
  }

  Peer client() { return Peer::connect(frames->port()); }
  Peer mysql_client() {
    Peer peer = Peer::connect(mysql->port());
    const auto greeting = take_mysql(peer);
    REQUIRE(greeting);
    const auto read = mysql::read_greeting(greeting->payload);
    mysql::Login login;
    login.capabilities = mysql::kCapabilities & ~mysql::kConnectAttrs & ~mysql::kConnectWithDb;
    login.user = "school";
    login.plugin = read.plugin;
    login.proof = *mysql::proof_for(read.plugin, "secret", read.nonce);
    std::uint8_t sequence = 1;
    peer.send(mysql::packets(mysql::login_payload(login), sequence));
    auto answer = take_mysql(peer);
    if (answer && answer->payload == "\x01\x03") answer = take_mysql(peer);
    REQUIRE((answer && answer->payload.starts_with('\0')));
    return peer;
  }
  static std::string query(const std::string& text) {
    std::uint8_t sequence = 0;
    return mysql::packets("\x03" + text, sequence);
  }
  std::string request(std::uint32_t stream, const std::string& statement = "SELECT 1") {
    char call[17];
    std::snprintf(call, sizeof call, "%016x", ++calls);
    std::string payload(1, '\3');
    for (const auto& [name, value] :
         {std::pair<std::string, std::string>{"op", "lookup"}, {"ttl", "3000"}, {"call", call}}) {
      payload += static_cast<char>(name.size()) + name + '\0' + static_cast<char>(value.size()) + value;
    }
    return frames::make_frame(frames::kRequest, stream, payload + statement);
  }
  bool sent(std::size_t count) {
    return host.until([&] { return orders.size() >= count; });
  }
  void serve(std::size_t order, const std::string& body) {
    host.run([&] { core.attempt_ended(orders.at(order).key, {Outcome::kServed, std::nullopt, body}); });
  }

  void send(const Order& order) override { orders.push_back(order); }
  bool withdraw(AttemptKey key) override {
    withdrawn.push_back(key);
    return true;
  }
  void set_rank(AttemptKey, int) override {}
  void probe(EngineId) override {}
  void engine_at(EngineId, const Endpoint&) override {}
  void engine_closed(EngineId) override {}

  std::ostringstream text;
  Host host;
  Log log;
  Figures figures;
  Dispatcher core;
  std::unique_ptr<FramesFront> frames;
  std::unique_ptr<MysqlFront> mysql;
  unsigned calls = 0;
  std::vector<Order> orders;
  std::vector<AttemptKey> withdrawn;
};

// What an ending in order leaves a client: whole answers by stream, and the end.
std::map<std::uint32_t, int> codes_of(std::string_view bytes) {
  std::map<std::uint32_t, int> codes;
  frames::Frame frame;
  std::size_t used = 0;
  while (frames::parse_frame(bytes, frame, used) == frames::Parse::kOne) {
    if (frame.type == frames::kAnswer) codes[frame.stream] = frame.payload[0];
    bytes.remove_prefix(used);
  }
  CHECK(bytes.empty());
  return codes;
}

}  // namespace

TEST_CASE("frames: all connections end in order, each once what is open has its answer") {
  FrontBench bench;
  Peer busy = bench.client(), idle = bench.client(), silent = bench.client();
  busy.send(bench.request(1));
  REQUIRE(bench.sent(1));
  idle.send(bench.request(1));
  REQUIRE(bench.sent(2));
  bench.serve(1, "one");
  REQUIRE(idle.has(1));
  REQUIRE(bench.host.until([&] { return bench.core.open_requests() == 1; }));
  bench.host.run([&] { bench.frames->end_all(kPatience); });
  // Behind our end nothing is sent on, and it resets nothing.
  idle.send(bench.request(2));
  const Rest rest = read_to_end(idle.fd());
  CHECK(rest.fault == 0);
  CHECK(codes_of(idle.buffer() + rest.bytes) == std::map<std::uint32_t, int>{{1, frames::kServed}});
  CHECK(read_to_end(silent.fd()).fault == 0);
  // What comes while an answer is owed is refused, and the answer comes.
  busy.send(bench.request(2));
  REQUIRE(busy.has(1));
  bench.serve(0, "late");
  const Rest last = read_to_end(busy.fd());
  CHECK(last.fault == 0);
  CHECK(codes_of(busy.buffer() + last.bytes) ==
        std::map<std::uint32_t, int>{{1, frames::kServed}, {2, frames::kRefused}});
  CHECK(bench.host.run([&] { return bench.frames->has_connections(); }));
  idle.close(), silent.close(), busy.close();
  CHECK(bench.host.until([&] { return !bench.frames->has_connections(); }));
  CHECK(bench.orders.size() == 2);
}

TEST_CASE("frames: a request that lies unread when all connections end is served") {
  // Guards against an end before the last look: its client wrote to a connection that was open.
  FrontBench bench;
  Peer client = bench.client();
  client.send(bench.request(1));
  REQUIRE(bench.sent(1));
  bench.serve(0, "one");
  REQUIRE(client.has(1));
  bench.host.run([&] {
    client.send(bench.request(2));  // in the kernel before the loop's next turn
    bench.frames->end_all(kPatience);
  });
  REQUIRE(bench.sent(2));
  bench.serve(1, "two");
  const Rest rest = read_to_end(client.fd());
  CHECK(rest.fault == 0);
  CHECK(codes_of(client.buffer() + rest.bytes) ==
        std::map<std::uint32_t, int>{{1, frames::kServed}, {2, frames::kServed}});
}

TEST_CASE("frames: who never ends its side is closed at the bound") {
  FrontBench bench;
  Peer client = bench.client();
  client.send(bench.request(1));
  REQUIRE(bench.sent(1));
  bench.host.run([&] { bench.frames->end_all(50ms); });
  bench.serve(0, "one");
  CHECK(bench.host.until([&] { return !bench.frames->has_connections(); }));
  CHECK(read_to_end(client.fd()).fault == 0);
}

TEST_CASE("mysql: all connections end in order, each once its command has its answer") {
  FrontBench bench;
  Peer busy = bench.mysql_client(), idle = bench.mysql_client(), silent = Peer::connect(bench.mysql->port());
  REQUIRE(take_mysql(silent));
  busy.send(FrontBench::query("SELECT 1"));
  REQUIRE(bench.sent(1));
  bench.host.run([&] { bench.mysql->end_all(kPatience); });
  idle.send(FrontBench::query("SELECT 2"));
  busy.send(FrontBench::query("SELECT 3"));
  CHECK(read_to_end(idle.fd()).fault == 0);
  CHECK(read_to_end(silent.fd()).fault == 0);
  std::uint8_t sequence = 1;
  const std::string answer = mysql::packets(mysql::ok_payload(0, 0, mysql::kAutocommit), sequence);
  bench.serve(0, answer);
  const Rest rest = read_to_end(busy.fd());
  CHECK(rest.fault == 0);
  CHECK(rest.bytes == answer);
  CHECK(bench.host.run([&] { return bench.mysql->has_connections(); }));
  idle.close(), silent.close(), busy.close();
  CHECK(bench.host.until([&] { return !bench.mysql->has_connections(); }));
  CHECK(bench.orders.size() == 1);
}
