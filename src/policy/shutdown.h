// What a process does next once it was told to end, from the time since then, what is open, and whether
// another process has its door.
//
//   since SIGTERM                   what holds then                   what it does
//   until it ends its clients       a successor is ready              leaves newcomers to it, serves who is
//   there
//                                   it never opened                   lets nobody in
//                                   neither                           serves all, newcomers too
//   any, never opened               the door is another's as well     exits: who waits there is not ours
//   newcomers_until, never opened   the door is its own               looks, and ends those who waited there
//   serve_until, having opened      a request is on its way in, or    serves on, until take_in_until at the
//   latest
//                                   answers are not taken
//   then                            not all that waits was seen       looks once more, and takes it
//                                   else                              ends its clients
//   clients are being ended         a request is open                 waits; at a door of its own, where
//   newcomers would
//                                                                     hang for as long, it lets them in and
//                                                                     ends them
//                                   a connection is open              waits
//                                   neither                           exits
//   end_by, and a little after the  a connection is open              exits, whoever has not taken his end
//   last answer
//
// Requests that came in time are never given up for the sake of an early exit. What SIGKILL finds unanswered
// of them is nobody's loss, and without one they are served.
#pragma once

#include <cstddef>

#include "base/time.h"

namespace rookproxy::policy {

// Since SIGTERM.
struct ShutdownTimes {
  Duration accept_until{}, serve_until{}, receive_until{}, exit_by{};
};
// `longest_deadline`: of all classes. SIGKILL comes no earlier than that (3 s at most) and 0.7 s after
// SIGTERM.
ShutdownTimes shutdown_times(Duration longest_deadline);

struct ShutdownState {
  Duration elapsed{};
  bool was_ready = true;            // it was ready to serve before it was told to end
  bool listener_is_shared = false;  // the clients' socket was passed: it outlives this process
  bool successor_ready = false;     // another process accepts there
  bool closing_clients = false;     // clients are being ended
  bool is_receiving = false;        // a request is on its way in, or answers are not taken yet
  bool input_drained = false;       // a turn of the loop that waited for nothing found nothing
  bool has_connections = false;     // of clients
  std::size_t open_requests = 0;    // also those whose clients have gone
  Duration idle_for{};              // so long there has been none
};

enum class ShutdownStep { kContinue, kDrainInput, kCloseClients, kExit };
struct ShutdownAction {
  ShutdownStep step = ShutdownStep::kContinue;
  bool accept_clients = false;  // who waits at the door
  auto operator<=>(const ShutdownAction&) const = default;
};

// How long a client has, whose end we tell it now, to end its side.
Duration client_close_timeout(const ShutdownTimes& times, Duration since);
// Once kEndClients was carried out, `ending` holds.
ShutdownAction next_shutdown_step(const ShutdownTimes& times, const ShutdownState& state);

}  // namespace rookproxy::policy
