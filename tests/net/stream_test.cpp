// Tests of streams on real sockets.
#include "net/stream.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "fakes/sockets.h"
#include "fakes/test_connection.h"
#include "net/clock.h"
#include "net/event_loop.h"
#include "net/file_descriptor.h"
#include "net/sockets.h"
#include "support/run_until.h"

using namespace rookproxy;
using namespace std::chrono_literals;

namespace {

// Consumes all bytes.
struct ReadingHandler final : StreamHandler {
  std::size_t on_bytes(std::string_view bytes) override { return bytes.size(); }
  void on_closed(std::string_view) override {}
};

// Consumes nothing, so that all bytes stay in the stream's buffer.
struct UnreadingHandler final : StreamHandler {
  std::size_t on_bytes(std::string_view) override { return 0; }
  void on_closed(std::string_view reason) override { close_reason = reason; }
  std::string close_reason;
};

// Consumes one byte a call, each of which takes some time.
struct SlowHandler final : StreamHandler {
  std::size_t on_bytes(std::string_view) override {
    const Time end = monotonic_now() + kTimePerByte;
    while (monotonic_now() < end) continue;
    ++consumed;
    return 1;
  }
  void on_closed(std::string_view) override {}

  static constexpr Duration kTimePerByte = 100us;
  std::size_t consumed = 0;
};

constexpr std::size_t kInputLimit = 1024;

}  // namespace

TEST_CASE("stream: reading before a close takes no longer than a turn, and the rest is read later") {
  // Guards against a process whose last pass over flooding connections takes longer than it has.
  constexpr std::size_t kBytes = 500;
  EventLoop loop;
  FileDescriptor listener = test::listen_on_free_port();
  test::TestConnection peer = test::TestConnection::connect(local_port(listener));
  REQUIRE(test::wait_until_readable(listener, test::kWaitLimit));
  SlowHandler handler;
  Stream stream(loop, accept_connection(listener), handler, false, kInputLimit);
  peer.send(std::string(kBytes, 'x'));
  while (handler.consumed == 0) stream.read_now();
  CHECK(handler.consumed <=
        static_cast<std::size_t>(policy::InputSchedule::kMaxTurn / SlowHandler::kTimePerByte));
  CHECK(test::run_until(loop, [&] { return handler.consumed == kBytes; }));
}

TEST_CASE("stream: a write can be cancelled only before it has started") {
  // Guards against reporting a request as not sent although the engine may have received it.
  EventLoop loop;
  FileDescriptor listener = test::listen_on_free_port();
  ReadingHandler handler;
  Stream stream(loop, connect_tcp({0x7f000001, local_port(listener)}), handler, true, kInputLimit);
  const auto first = stream.write("first");
  const auto second = stream.write("second");
  CHECK_FALSE(stream.has_write_started(first));
  CHECK(stream.cancel_write(first));
  CHECK_FALSE(stream.cancel_write(first));
  loop.run_at(loop.now() + 50ms, [&] { loop.stop(); });
  loop.run();
  CHECK(stream.has_write_started(second));
  CHECK_FALSE(stream.cancel_write(second));
  test::TestConnection peer(accept_connection(listener));
  REQUIRE(peer.wait_for_bytes(6));
  CHECK(peer.take(6) == "second");
}

TEST_CASE("stream: shared bytes are sent behind their head, and their owner is kept until then") {
  // Guards against a write whose bytes are gone or mixed up when the kernel takes them in parts.
  constexpr std::size_t kSharedSize = 8u << 20;  // More than the kernel's buffers hold.
  EventLoop loop;
  FileDescriptor listener = test::listen_on_free_port();
  ReadingHandler handler;
  Stream stream(loop, connect_tcp({0x7f000001, local_port(listener)}), handler, true, kInputLimit);
  auto owner = std::make_shared<std::string>();
  while (owner->size() < kSharedSize) *owner += "row" + std::to_string(owner->size()) + "\n";
  const std::string expected = "before,head:" + *owner + "after";
  std::uint64_t completed = 0;
  stream.write("before,");
  const auto cancelled = stream.write("cancelled", {owner, *owner});
  const auto shared = stream.write("head:", {owner, *owner}, &completed);
  stream.write("after");
  CHECK(stream.cancel_write(cancelled));
  CHECK(stream.queued_bytes() == expected.size());
  const std::weak_ptr<std::string> watched = owner;
  owner.reset();

  loop.run_at(loop.now() + 50ms, [&] { loop.stop(); });
  loop.run();
  CHECK(stream.has_write_started(shared));
  CHECK(stream.queued_bytes() > 0);
  CHECK_FALSE(watched.expired());
  test::TestConnection peer(accept_connection(listener));
  const auto read_all = [&] {
    while (peer.buffer().size() < expected.size() && peer.read_more(1ms)) continue;
    return peer.buffer().size() >= expected.size();
  };
  REQUIRE(test::run_until(loop, read_all));
  CHECK(peer.buffer() == expected);
  CHECK(completed == 1);
  CHECK(watched.expired());
}

TEST_CASE("stream: a message larger than the input buffer closes the stream") {
  UnreadingHandler handler;
  EventLoop loop;
  FileDescriptor listener = test::listen_on_free_port();
  test::TestConnection peer = test::TestConnection::connect(local_port(listener));
  REQUIRE(test::wait_until_readable(listener, test::kWaitLimit));
  Stream stream(loop, accept_connection(listener), handler, false, kInputLimit);
  peer.send(std::string(5000, 'x'));
  loop.run_at(loop.now() + 100ms, [&] { loop.stop(); });
  loop.run();
  CHECK(handler.close_reason == "message larger than the input buffer");
}
