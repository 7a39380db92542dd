// Decides what a process does next after SIGTERM, from the time since then, what is open, and whether another
// process holds the clients' listener.
//
//   time since SIGTERM             state                             action
//   until clients are closed       a successor is ready              leave new clients to it, serve the
//   others
//                                  the process was never ready       accept nobody
//                                  neither                           serve all, new clients too
//   any, never ready               the listener is shared            exit: waiting clients belong to others
//   accept_until, never ready      the listener is its own           drain input, close the waiting clients
//   serve_until, was ready         a request is being received or    serve on, until receive_until at the
//                                  responses are unread              latest
//   then                           input not drained yet             drain input
//                                  else                              close clients
//   clients are being closed       a request is open                 wait; with a listener of its own accept
//                                                                    new clients (they would hang for as
//                                                                    long) and close them
//                                  a connection is open              wait
//                                  neither                           exit
//   exit_by, and a little after    a connection is open              exit, even if clients have not closed
//   the last response
//
// Requests that came in time are never dropped for an earlier exit. Requests that SIGKILL finds unanswered
// count against nobody, and without a SIGKILL they are served.
#pragma once

#include <cstddef>

#include "base/time.h"

namespace rookproxy::policy {

// Limits, each counted from SIGTERM.
struct ShutdownTimes {
  Duration accept_until{};
  Duration serve_until{};
  Duration receive_until{};
  Duration exit_by{};
};

// `longest_deadline` is that of all classes. SIGKILL comes no earlier than that (3 s at most) and 0.7 s after
// SIGTERM.
[[nodiscard]] ShutdownTimes shutdown_times(Duration longest_deadline);

// What the process knows when it decides.
struct ShutdownState {
  // Since SIGTERM.
  Duration elapsed{};
  // The process was ready to serve before SIGTERM.
  bool was_ready = true;
  // The clients' listener was passed to this process and outlives it.
  bool listener_is_shared = false;
  // Another process accepts on the shared listener.
  bool successor_ready = false;
  // kCloseClients was carried out.
  bool closing_clients = false;
  // A request is being received, or responses are not read yet.
  bool is_receiving = false;
  // An iteration of the event loop that did not wait found nothing to do.
  bool input_drained = false;
  // A client's connection is open.
  bool has_connections = false;
  // Includes those whose clients have disconnected.
  std::size_t open_requests = 0;
  // For how long no request has been open.
  Duration idle_for{};
};

// What the process does next.
enum class ShutdownStep { kContinue, kDrainInput, kCloseClients, kExit };

// A step, and how new clients are treated meanwhile.
struct ShutdownAction {
  ShutdownStep step = ShutdownStep::kContinue;
  bool accept_clients = false;
  auto operator<=>(const ShutdownAction&) const = default;
};

// How long a client whose connection is closed now has to close its side.
[[nodiscard]] Duration client_close_timeout(const ShutdownTimes& times, Duration elapsed);

// The caller sets `closing_clients` once it has carried out kCloseClients.
[[nodiscard]] ShutdownAction next_shutdown_step(const ShutdownTimes& times, const ShutdownState& state);

}  // namespace rookproxy::policy
