// Decides in which order the event loop reads from connections, and for how long, so that connections with
// much input don't delay the others.
//
// Start-time fair queueing: each connection has a tag, the time that was spent on its input, and the one with
// the lowest tag is read next, for a turn. A connection that had no input begins at the tag of the one that
// was read last: it neither saves up time nor has to wait for connections that have used more.
//
//   event                     without input        waiting              being read
//   input arrives             waiting, new tag     -                    -
//   its turn comes            -                    being read           -
//   its turn ends             -                    -                    without input, tag + time used
//   it closes                 forgotten            forgotten            forgotten
//
// Input that remains after a turn arrives again. An iteration of the event loop has time for several turns;
// then the loop looks for other events before it gives more.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "base/time.h"

namespace rookproxy::policy {

// Used by one thread at a time; the caller provides the time.
class InputSchedule {
 public:
  using ConnectionId = std::uint64_t;

  // The time after which a connection with more input has to wait for its next turn.
  static constexpr Duration kMaxTurn = std::chrono::microseconds(500);
  // The time of an iteration's turns after which no further one begins.
  static constexpr Duration kMaxTimePerIteration = std::chrono::milliseconds(4);

  // Must be called when there may be input on a connection. Has no effect while it waits for its turn.
  void on_input(ConnectionId connection);
  // Must be called when a connection closes.
  void remove(ConnectionId connection);

  void begin_iteration() { used_in_iteration_ = Duration(0); }
  // Returns the connection whose turn it is, which must be followed by end_turn(); nothing if none waits or
  // the iteration's time is used up.
  [[nodiscard]] std::optional<ConnectionId> begin_turn();
  // Ends the turn, which took `used`. The connection may have closed in it.
  void end_turn(Duration used);

  // Returns true if a connection waits for its turn.
  [[nodiscard]] bool has_waiting() const { return !waiting_.empty(); }

 private:
  // Orders connections: the lowest tag first, among equal ones the one that has waited longest.
  struct Position {
    Duration tag{};
    std::uint64_t arrival = 0;
    ConnectionId connection = 0;
    auto operator<=>(const Position&) const = default;
  };
  struct Connection {
    Duration tag{};
    // Its position among the waiting connections; nothing while it has no input.
    std::optional<Position> position;
  };

  void insert(const Position& position);
  void erase(const Position& position);

  std::unordered_map<ConnectionId, Connection> connections_;
  // The positions of the waiting connections, the next one last.
  std::vector<Position> waiting_;
  // The connection that is being read; 0 if there is none.
  ConnectionId current_ = 0;
  // The tag of the connection that was read last.
  Duration last_tag_{};
  Duration used_in_iteration_{};
  std::uint64_t last_arrival_ = 0;
};

}  // namespace rookproxy::policy
