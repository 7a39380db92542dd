// Tests that a load does not run twice when its id comes again.
#include <signal.h>

#include <catch2/catch.hpp>
#include <fstream>
#include <optional>
#include <string>
#include <vector>

#include "fakes/sockets.h"
#include "fakes/temporary_directory.h"
#include "frontend/frame_codec.h"
#include "support/dispatcher_config.h"
#include "support/dispatcher_process.h"
#include "support/frames_client.h"
#include "support/frontend_fixture.h"
#include "support/request_frame.h"
#include "support/require.h"

namespace rookproxy::test {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t kCallId = 0x1d5;

// The load with the id that comes again.
std::string load() {
  return encode_request_frame(1, {{"op", "load"}, {"ttl", "20000"}, {"call", format_call_id(kCallId)}},
                              "INSERT INTO marks_1.t VALUES (1)");
}

// The status code of the next response.
int read_code(FramesClient& client) {
  auto frame = client.next_frame();
  while (frame && frame->type != frames::kResponse) frame = client.next_frame();
  if (!frame) fail_test("no response");
  return frame->payload[0];
}

// A dispatcher that shares its clients' listener and its folder with other processes.
DispatcherProcess start_process(const std::string& folder, const std::string& log,
                                const std::vector<FileDescriptor>& sockets) {
  DispatcherOptions options;
  options.directory = folder;
  options.log_path = folder + "/" + log;
  DispatcherProcess process;
  process.start(options, sockets);
  process.wait_for_log("ready to serve");
  return process;
}

// Accepts the next connection from a dispatcher and reads until a request has arrived.
TestConnection accept_request(const FileDescriptor& engine) {
  if (!wait_until_readable(engine, kWaitLimit)) fail_test("no connection to the engine");
  TestConnection connection(accept_connection(engine));
  while (connection.buffer().find("VALUES (1)") == std::string::npos) {
    if (!connection.read_more()) fail_test("no request at the engine");
  }
  return connection;
}

}  // namespace

TEST_CASE("repeated id: a load whose client left does not run again when its id comes again") {
  FrontendFixture fixture;
  FramesClient first(fixture.client());
  first.send(load());
  REQUIRE(fixture.wait_for_attempts(1));
  const bool ends_before = GENERATE(false, true);
  if (ends_before) fixture.serve(0, "done");
  if (ends_before) REQUIRE(read_code(first) == frames::kServed);
  first.connection().close();
  REQUIRE(fixture.loop_thread.until([&] { return fixture.dispatcher.gauges().requests_in_progress == 0; }));
  FramesClient second(fixture.client());
  second.send(load());
  CHECK(read_code(second) == frames::kFailed);
  CHECK(fixture.loop_thread.run([&] { return fixture.attempts.size(); }) == 1);
}

TEST_CASE("repeated id: a load does not run again at the other process of an upgrade") {
  const FileDescriptor engine = listen_on_free_port();
  TemporaryDirectory directory;
  nlohmann::json config = default_dispatcher_config();
  config["shared_folder"] = directory.path();
  config["known"]["batch"] = make_known_batch({{"e1", local_port(engine)}});
  std::vector<FileDescriptor> sockets;
  sockets.push_back(listen_on_free_port());
  const std::uint16_t port = local_port(sockets.front());
  config["listen"] = loopback_address(port);
  std::ofstream(directory.file("config.json")) << config;

  DispatcherProcess former = start_process(directory.path(), "log1", sockets);
  FramesClient first(TestConnection::connect(port));
  first.send(load());
  const TestConnection running = accept_request(engine);
  DispatcherProcess successor = start_process(directory.path(), "log2", sockets);
  former.send_signal(SIGTERM);
  former.wait_for_log("draining");
  first.connection().close();
  // The former process may still accept some connections; it does not run the load again either.
  for (int attempt = 0; attempt < 8; ++attempt) {
    FramesClient again(TestConnection::connect(port));
    again.send(load());
    CHECK(read_code(again) == frames::kFailed);
  }
  CHECK_FALSE(wait_until_readable(engine, 0ms));
}

}  // namespace rookproxy::test
