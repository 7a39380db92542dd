// How long statements of several clients take turns at the event loop, on real sockets in an order that the
// test controls.
#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "config/config.h"
#include "fakes/credential_fixture.h"
#include "fakes/sockets.h"
#include "fakes/temporary_directory.h"
#include "fakes/test_connection.h"
#include "frontend/frame_codec.h"
#include "net/clock.h"
#include "support/frontend_fixture.h"
#include "support/require.h"

using namespace rookproxy;
using namespace rookproxy::test;
using namespace std::chrono_literals;

namespace {

// More than the size above which statements take turns, and less than a connection reads in one iteration.
constexpr std::size_t kLongStatementBytes = 40'000;

std::string long_statement() { return "SELECT " + std::string(kLongStatementBytes, 'x'); }

// Waits until the kernel of the receiver has all bytes.
void wait_until_delivered(const TestConnection& sender) {
  const auto deadline = std::chrono::steady_clock::now() + kWaitLimit;
  for (int unacknowledged_bytes = 1; unacknowledged_bytes > 0; std::this_thread::yield()) {
    require(::ioctl(sender.fd().get(), SIOCOUTQ, &unacknowledged_bytes) == 0, "can't read the send queue");
    require(std::chrono::steady_clock::now() < deadline, "the peer's kernel did not take all bytes");
  }
}

// Ends a turn that took `time`, so that the next one begins as long afterwards.
void hold_turns(FrontendFixture& fixture, Duration time) {
  fixture.loop_thread.run([&] { const TurnScheduler::Turn turn(fixture.turns, monotonic_now() - time); });
}

bool wait_for_waiting_commands(FrontendFixture& fixture, bool expected) {
  return fixture.loop_thread.until([&] { return fixture.turns.has_waiting_commands() == expected; });
}

std::size_t attempt_count(FrontendFixture& fixture) {
  return fixture.loop_thread.run([&] { return fixture.attempts.size(); });
}

// The stream and the status code of a response.
using ResponseStart = std::pair<std::uint32_t, int>;

ResponseStart read_response(TestConnection& client) {
  frames::Frame frame;
  std::size_t used = 0;
  while (frames::parse_frame(client.buffer(), frame, used) != frames::ParseStatus::kComplete) {
    REQUIRE(client.read_more());
  }
  const ResponseStart response(frame.stream_id, frame.payload[0]);
  client.take(used);
  return response;
}

constexpr Duration kLongerThanTheTest = 1h;

// A student and the settings that allow what the student does.
struct AccessFixture {
  AccessFixture() {
    credentials.make_key("k", "ES256");
    credentials.publish_keys({"k"});
    token = credentials.mint_token("k", "student", {{"sub", "s-1"}});
  }
  [[nodiscard]] std::optional<auth::AuthSettings> settings() const {
    nlohmann::json document = FrontendFixture::read_json();
    document["access"] = credentials.access_section();
    return read_config(document).access;
  }

  TemporaryDirectory directory;
  CredentialFixture credentials{directory.path()};
  std::string token;
};

// A long statement that the student may run.
std::string allowed_long_statement() {
  return "SELECT x FROM sales_17.t WHERE y = '" + long_statement() + "'";
}

}  // namespace

TEST_CASE(
    "frames: long statements of several clients wait for their turns, and others are served meanwhile") {
  // Guards against lost requests of all clients while the long statements of several are read in a row.
  constexpr std::size_t kSenderCount = 4;
  constexpr std::size_t kRequestCount = kSenderCount + 1;
  FrontendFixture fixture;
  std::vector<TestConnection> senders;
  for (std::size_t i = 0; i < kSenderCount; ++i) senders.push_back(fixture.client());
  TestConnection other = fixture.client();
  // The frontend knows the connections before the requests that matter are sent.
  for (TestConnection& sender : senders) sender.send(fixture.request(1));
  other.send(fixture.request(1));
  REQUIRE(fixture.wait_for_attempts(kRequestCount));
  for (std::size_t attempt = 0; attempt < kRequestCount; ++attempt) fixture.serve(attempt, "done");
  fixture.loop_thread.run([&] {
    for (TestConnection& sender : senders) {
      sender.send(fixture.request(2, long_statement()));
      wait_until_delivered(sender);
    }
    other.send(fixture.request(2, "SELECT 2"));
    wait_until_delivered(other);
    const TurnScheduler::Turn earlier_turn(fixture.turns, monotonic_now() - 500ms);
  });
  REQUIRE(fixture.wait_for_attempts(2 * kRequestCount));
  std::vector<bool> is_long;
  fixture.loop_thread.run([&] {
    for (std::size_t attempt = kRequestCount; attempt < 2 * kRequestCount; ++attempt) {
      is_long.push_back(fixture.attempts[attempt].query->statement.size() > kLongStatementBytes);
    }
  });
  CHECK(is_long == std::vector<bool>{false, true, true, true, true});
}

TEST_CASE("frames: a long statement that waits for its turn is dropped with its cancellation or its client") {
  FrontendFixture fixture;
  hold_turns(fixture, kLongerThanTheTest);
  TestConnection client = fixture.client();
  client.send(fixture.request(1, long_statement()));
  REQUIRE(wait_for_waiting_commands(fixture, true));
  CHECK(fixture.loop_thread.run([&] { return !fixture.frames->is_flushed(); }));
  client.send(frames::encode_frame(frames::kCancel, 1, ""));
  REQUIRE(wait_for_waiting_commands(fixture, false));
  CHECK(fixture.loop_thread.run([&] { return fixture.frames->is_flushed(); }));
  client.send(fixture.request(2, long_statement()));
  REQUIRE(wait_for_waiting_commands(fixture, true));
  client.close();
  CHECK(wait_for_waiting_commands(fixture, false));
  CHECK(attempt_count(fixture) == 0);
}

TEST_CASE("frames: a long statement that has no turn in time is rejected before its deadline") {
  FrontendFixture fixture;
  hold_turns(fixture, kLongerThanTheTest);
  TestConnection client = fixture.client();
  const auto sent_at = std::chrono::steady_clock::now();
  client.send(fixture.request(1, long_statement()));
  REQUIRE(wait_for_waiting_commands(fixture, true));
  // Requests that do not wait are served, and so is the connection's close.
  client.send(fixture.request(2));
  REQUIRE(fixture.wait_for_attempts(1));
  fixture.serve(0, "small");
  CHECK(read_response(client) == ResponseStart(2, frames::kServed));
  fixture.loop_thread.run([&] { fixture.frames->close_all_gracefully(kWaitLimit); });
  CHECK(read_response(client) == ResponseStart(1, frames::kRejected));
  CHECK(std::chrono::steady_clock::now() - sent_at < 3s);  // The request's timeout.
  CHECK(client.wait_for_end());
  CHECK(attempt_count(fixture) == 1);
}

TEST_CASE(
    "frames: long statements that wait for their turns have a limit of bytes, short ones still have room") {
  AccessFixture access;
  FrontendFixture fixture({}, access.settings());
  fixture.memory->set_limit(policy::MemoryUse::kTurnWaits, 2 * kLongStatementBytes + 10'000);
  fixture.memory->set_limit(policy::MemoryUse::kTokenChecks, 2 * kLongStatementBytes + 10'000);
  hold_turns(fixture, kLongerThanTheTest);
  TestConnection client = fixture.client();
  for (std::uint32_t stream = 1; stream <= 3; ++stream) {
    client.send(fixture.request(stream, allowed_long_statement(), access.token));
  }
  CHECK(read_response(client) == ResponseStart(3, frames::kRejected));
  client.send(frames::encode_frame(frames::kCancel, 1, ""));
  client.send(fixture.request(4, allowed_long_statement(), access.token));
  client.send(fixture.request(5, allowed_long_statement(), access.token));
  CHECK(read_response(client) == ResponseStart(5, frames::kRejected));
  CHECK(attempt_count(fixture) == 0);
  client.send(fixture.request(6, "SELECT x FROM sales_17.t", access.token));
  CHECK(fixture.wait_for_attempts(1));
}

TEST_CASE("frames: a caller who is revoked while its long statement waits for its turn is denied") {
  AccessFixture access;
  FrontendFixture fixture({}, access.settings());
  TestConnection client = fixture.client();
  client.send(fixture.request(1, allowed_long_statement(), access.token));
  REQUIRE(fixture.wait_for_attempts(1));
  // The turn before the one of the next request.
  fixture.loop_thread.run([&] {
    const Time now = monotonic_now();
    const TurnScheduler::Turn earlier_turn(fixture.turns, now - 300ms);
    (void)fixture.turns.wait(now + kLongerThanTheTest, [&](TurnDecision) {
      access.credentials.revoke_token("sub", "s-1");
      fixture.authenticator->replace_settings(fixture.authenticator->settings());
    });
  });
  client.send(fixture.request(2, allowed_long_statement(), access.token));
  CHECK(read_response(client) == ResponseStart(2, frames::kRejected));
  const std::string log_text = fixture.loop_thread.run([&] { return fixture.text.str(); });
  CHECK(log_text.find("denied=\"revoked\"") != std::string::npos);
  CHECK(attempt_count(fixture) == 1);
}

TEST_CASE("fronts: long statements of both frontends take turns with each other") {
  FrontendFixture fixture;
  hold_turns(fixture, kLongerThanTheTest);
  TestConnection client = fixture.mysql_client();
  client.send(FrontendFixture::query(long_statement()));
  REQUIRE(wait_for_waiting_commands(fixture, true));
  CHECK(attempt_count(fixture) == 0);
  client.close();
  CHECK(wait_for_waiting_commands(fixture, false));
}
