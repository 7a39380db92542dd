// Tests of closing streams on real sockets. The event loop runs in a separate thread and the peer in the
// test's thread.
#include <sys/socket.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "fakes/sockets.h"
#include "fakes/test_connection.h"
#include "net/file_descriptor.h"
#include "net/sockets.h"
#include "net/stream.h"
#include "support/event_loop_thread.h"
#include "support/read_to_end.h"

using namespace rookproxy;
using namespace rookproxy::test;
using namespace std::chrono_literals;

namespace {

// Records received bytes and close reasons.
struct RecordingHandler final : StreamHandler {
  std::string received;
  std::vector<std::string> end_reasons;
  std::size_t on_bytes(std::string_view bytes) override {
    received += bytes;
    return bytes.size();
  }
  void on_closed(std::string_view reason) override { end_reasons.emplace_back(reason); }
};

// A stream and its peer.
struct StreamPair {
  EventLoopThread host;
  FileDescriptor listener = listen_on_free_port();
  TestConnection peer = TestConnection::connect(local_port(listener));
  RecordingHandler handler;
  std::unique_ptr<Stream> stream;
  StreamPair() {
    REQUIRE(wait_until_readable(listener, kWaitLimit));
    host.run([this] {
      stream = std::make_unique<Stream>(host.loop, accept_connection(listener), handler, false, 1 << 20);
    });
  }
  ~StreamPair() {
    host.finish([this] { stream.reset(); });
  }
};

}  // namespace

TEST_CASE("stream: a graceful close loses no written data when input is unread") {
  // Guards against a close that resets the connection, which may discard sent data.
  StreamPair pair;
  // Exceeds the kernel's buffers, so that some bytes stay queued.
  const std::string response(16u << 20, 'a');
  pair.host.run([&] { pair.stream->set_read_paused(true); });
  pair.peer.send(std::string(100'000, 'q'));
  pair.host.run([&] {
    pair.stream->write(response);
    CHECK(pair.stream->queued_bytes() > 0);
    pair.stream->close_gracefully(kWaitLimit);
    pair.stream->write("too late");
  });
  pair.peer.send("behind the end");
  const ReadResult read = read_to_end(pair.peer.fd());
  CHECK(read.error == 0);
  CHECK((read.bytes == response));
  CHECK(pair.host.run([&] { return pair.handler.end_reasons.empty() && pair.stream->is_open(); }));
  pair.peer.close();
  CHECK(pair.host.until([&] { return !pair.handler.end_reasons.empty(); }));
  CHECK(pair.host.run([&] { return pair.handler.end_reasons; }) ==
        std::vector<std::string>{"closed by the peer"});
  CHECK(pair.host.run([&] { return pair.handler.received; }) == "");
}

TEST_CASE("stream: a graceful close still delivers data to a peer that has closed its side") {
  StreamPair pair;
  const std::string response(16u << 20, 'a');
  pair.host.run([&] {
    pair.stream->write(response);
    ::shutdown(pair.peer.fd().get(), SHUT_WR);
    pair.stream->close_gracefully(kWaitLimit);
  });
  const ReadResult read = read_to_end(pair.peer.fd());
  CHECK(read.error == 0);
  CHECK((read.bytes == response));
  CHECK(pair.host.until([&] { return pair.handler.end_reasons.size() == 1; }));
}

TEST_CASE("stream: a graceful close ends at its timeout without keeping the event loop busy") {
  // Guards against a peer that never closes its side, and against a busy event loop: each shutdown() of a
  // socket causes another event.
  for (const bool peer_sends : {false, true}) {
    StreamPair pair;
    if (peer_sends) pair.peer.send(std::string(1000, 'q'));
    const auto start = std::chrono::steady_clock::now();
    const int iterations = pair.host.iterations;
    std::promise<void> finished;
    pair.host.run([&] {
      pair.stream->close_gracefully(200ms);
      pair.host.loop.run_at(pair.host.loop.now() + 300ms, [&] { finished.set_value(); });
    });
    finished.get_future().get();
    CHECK(std::chrono::steady_clock::now() - start >= 200ms);
    CHECK(pair.host.run([&] { return pair.handler.end_reasons; }) ==
          std::vector<std::string>{"the peer did not close its side in time"});
    CHECK(pair.host.iterations - iterations < 50);
    CHECK(read_to_end(pair.peer.fd()).error == 0);
  }
}
