// What a process does next after SIGTERM, by a table.
#include "policy/shutdown.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

namespace rookproxy::policy {
namespace {

using namespace std::chrono_literals;

TEST_CASE("shutdown: each time lies before the earliest SIGKILL, for every longest deadline") {
  for (const Duration longest : {0ms, 100ms, 300ms, 500ms, 1000ms, 1500ms, 2900ms, 3000ms, 25'000ms}) {
    const ShutdownTimes times = shutdown_times(longest);
    const Duration kill = std::min<Duration>(longest, 3s) + 700ms;
    CAPTURE(longest.count());
    // What the protocol says still comes: new connections for 0.4 s, requests on open ones 0.2 s more.
    CHECK(times.accept_until >= 400ms);
    CHECK(times.accept_until < kill);
    CHECK(times.serve_until >= 600ms);
    CHECK(times.receive_until >= times.serve_until);
    CHECK(times.exit_by >= times.receive_until);
    CHECK(times.exit_by <= kill - 50ms);
    CHECK(client_close_timeout(times, times.serve_until) >= 250ms);
    CHECK(client_close_timeout(times, 20s) == 250ms);
    if (longest >= 300ms) CHECK(times.exit_by - times.receive_until >= 200ms);
    if (longest >= 2500ms) CHECK(times.receive_until == 2600ms);  // a request that is written in 2 s
  }
}

// What a process knows, and what it has to do then.
struct ShutdownCase {
  const char* description;
  ShutdownState state;
  ShutdownAction expected;
};

void check_cases(const std::vector<ShutdownCase>& cases) {
  const ShutdownTimes times = shutdown_times(3s);
  for (const ShutdownCase& one : cases) {
    CAPTURE(one.description);
    const ShutdownAction action = next_shutdown_step(times, one.state);
    CHECK(action.step == one.expected.step);
    CHECK(action.accept_clients == one.expected.accept_clients);
  }
}

constexpr ShutdownAction kServeAll{ShutdownStep::kContinue, true};
constexpr ShutdownAction kServeOpenClients{ShutdownStep::kContinue, false};
constexpr ShutdownAction kDrainInput{ShutdownStep::kDrainInput, true};
constexpr ShutdownAction kDrainInputLeaveClients{ShutdownStep::kDrainInput, false};
constexpr ShutdownAction kCloseClientsLeaveClients{ShutdownStep::kCloseClients, false};
constexpr ShutdownAction kCloseClients{ShutdownStep::kCloseClients, true};
constexpr ShutdownAction kExit{ShutdownStep::kExit, false};

TEST_CASE("shutdown: what is done next before clients are closed") {
  ShutdownState successor_and_drained;
  successor_and_drained.elapsed = 1s;
  successor_and_drained.successor_ready = true;
  successor_and_drained.input_drained = true;

  check_cases({
      {"at once, nothing open", {.elapsed = 0ms}, kServeAll},
      {"at once, requests open", {.elapsed = 0ms, .open_requests = 3}, kServeAll},
      {"a successor accepts", {.elapsed = 0ms, .successor_ready = true}, kServeOpenClients},
      {"late clients", {.elapsed = 999ms, .has_connections = true}, kServeAll},
      {"no more late clients", {.elapsed = 1000ms, .has_connections = true}, kDrainInput},
      {"no more late clients, requests open", {.elapsed = 1000ms, .open_requests = 1}, kDrainInput},
      {"drained", {.elapsed = 1s, .input_drained = true, .has_connections = true}, kCloseClients},
      {"drained, a request open", {.elapsed = 1s, .input_drained = true, .open_requests = 1}, kCloseClients},
      {"drained too early", {.elapsed = 999ms, .input_drained = true}, kServeAll},
      {"events never cease", {.elapsed = 2700ms, .has_connections = true}, kCloseClients},
      {"a request comes in", {.elapsed = 1s, .is_receiving = true, .input_drained = true}, kServeAll},
      {"for too long", {.elapsed = 2600ms, .is_receiving = true, .input_drained = true}, kCloseClients},
      {"a successor, backlog unseen", {.elapsed = 1s, .successor_ready = true}, kDrainInputLeaveClients},
      {"a successor, backlog seen", successor_and_drained, kCloseClientsLeaveClients},
  });
}

TEST_CASE("shutdown: what is done next while clients are closed") {
  ShutdownState closing;
  closing.elapsed = 1100ms;
  closing.closing_clients = true;

  ShutdownState connected = closing;
  connected.has_connections = true;

  ShutdownState serving = closing;
  serving.open_requests = 1;

  ShutdownState serving_on_shared_listener = serving;
  serving_on_shared_listener.listener_is_shared = true;

  ShutdownState late = connected;
  late.elapsed = 3550ms;
  late.idle_for = 250ms;

  ShutdownState just_responded = connected;
  just_responded.elapsed = 20s;
  just_responded.idle_for = 249ms;

  ShutdownState late_and_serving = connected;
  late_and_serving.elapsed = 20s;
  late_and_serving.open_requests = 1;

  check_cases({
      {"a connection open", connected, kServeOpenClients},
      {"a request open", serving, kServeAll},
      {"a request open, the listener shared", serving_on_shared_listener, kServeOpenClients},
      {"nothing open", closing, kExit},
      {"late, a client stays", late, kExit},
      {"late, a response just sent", just_responded, kServeOpenClients},
      {"late, a request open", late_and_serving, kServeAll},
  });
}

TEST_CASE("shutdown: what is done next by a process that was never ready") {
  check_cases({
      {"at once", {.elapsed = 0ms, .was_ready = false}, kServeOpenClients},
      {"no more new clients", {.elapsed = 500ms, .was_ready = false}, kDrainInput},
      {"drained", {.elapsed = 510ms, .was_ready = false, .input_drained = true}, kCloseClients},
      {"the listener shared", {.elapsed = 0ms, .was_ready = false, .listener_is_shared = true}, kExit},
      {"ready, the listener shared", {.elapsed = 0ms, .listener_is_shared = true}, kServeAll},
  });
}

}  // namespace
}  // namespace rookproxy::policy
