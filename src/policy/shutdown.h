// Decides what a process does next after SIGTERM, from the time since then, its open connections and
// requests, and whether another process accepts on the clients' listener.
//
//   time since SIGTERM            state                             action
//   before the limits below       a successor is ready              leave new clients to it, serve the others
//                                 the process was never ready       accept no clients
//                                 otherwise                         serve all clients, also new ones
//   any; never ready              the listener is shared            exit: the waiting clients belong to other
//                                                                   processes
//   accept_until; never ready     the listener is not shared        drain input, close the waiting clients
//   serve_until; was ready        a request is being received or    continue serving, until receive_until at
//                                 responses are unread              the latest
//   after that                    input is not drained yet          drain input
//                                 otherwise                         close clients
//   clients are being closed      a request is open                 wait; if the listener is not shared,
//                                                                   accept new clients and close them, so
//                                                                   that they don't hang
//                                 a connection is open              wait
//                                 otherwise                         exit
//   exit_by, and shortly after    a connection is open              exit, even if clients have not closed
//   the last response
//
// Requests that arrive in time are never dropped for an earlier exit. The platform does not count requests
// that are unanswered at SIGKILL as failed; if no SIGKILL follows, they are served.
#pragma once

#include <cstddef>

#include "base/time.h"

namespace rookproxy::policy {

// Time limits, counted from SIGTERM.
struct ShutdownTimes {
  Duration accept_until{};
  Duration serve_until{};
  Duration receive_until{};
  Duration exit_by{};
};

// Computes the limits. `longest_deadline` is the longest deadline of all classes; the platform sends SIGKILL
// no earlier than that deadline (at most 3 s) plus 0.7 s after SIGTERM.
[[nodiscard]] ShutdownTimes shutdown_times(Duration longest_deadline);

// The state of the process that the decision depends on.
struct ShutdownState {
  // The time since SIGTERM.
  Duration elapsed{};
  // Whether the process was ready to serve before SIGTERM.
  bool was_ready = true;
  // Whether the clients' listener was passed to this process, so that it stays open after the process exits.
  bool listener_is_shared = false;
  // Whether another process accepts on the shared listener.
  bool successor_ready = false;
  // Whether kCloseClients has been carried out.
  bool closing_clients = false;
  // Whether a request is being received or a client has not read its responses yet.
  bool is_receiving = false;
  // Whether an iteration of the event loop that did not wait found no events.
  bool input_drained = false;
  // Whether a client's connection is open.
  bool has_connections = false;
  // The number of open requests, including those whose clients have disconnected.
  std::size_t open_requests = 0;
  // How long no request has been open.
  Duration idle_for{};
};

// What the process does next.
enum class ShutdownStep { kContinue, kDrainInput, kCloseClients, kExit };

// A step, and whether new clients are accepted in the meantime.
struct ShutdownAction {
  ShutdownStep step = ShutdownStep::kContinue;
  bool accept_clients = false;
  auto operator<=>(const ShutdownAction&) const = default;
};

// Returns how long the process waits for a client to close its side of a connection that is closed now.
[[nodiscard]] Duration client_close_timeout(const ShutdownTimes& times, Duration elapsed);

// Returns the next step. The caller must set `closing_clients` after it has carried out kCloseClients.
[[nodiscard]] ShutdownAction next_shutdown_step(const ShutdownTimes& times, const ShutdownState& state);

}  // namespace rookproxy::policy
