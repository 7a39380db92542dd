// Decides when commands whose reading takes long are handled, so that all of them together leave half of the
// event loop's time to what other clients send.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "base/time.h"

namespace rookproxy::policy {

// Each turn has to be followed by a pause as long as it took. Pauses of up to kMaxDeferredPause in total may
// still be owed when the next turn begins, so that short turns need no pauses of their own. Commands that
// wait have their turns in the order of their arrival.
class CommandTurns {
 public:
  // Ids grow in the order of arrival. 0 is not a valid id.
  using CommandId = std::uint64_t;

  static constexpr Duration kMaxDeferredPause = std::chrono::milliseconds(10);

  // Returns true if a command that arrives now has its turn at once.
  [[nodiscard]] bool is_turn_free(Time now) const { return waiting_.empty() && now >= next_turn_at(); }
  // Adds a command that waits for its turn, at most until `give_up_at`.
  CommandId add(Time give_up_at);
  // Must be called after a command has been handled, with the time that it took.
  void end_turn(Time started, Time ended);
  // Removes and returns the commands that may not wait any longer.
  [[nodiscard]] std::vector<CommandId> take_overdue(Time now);
  // Removes and returns the command that has its turn now; nothing if there is none.
  [[nodiscard]] std::optional<CommandId> take_next(Time now);
  // Returns when take_overdue() or take_next() may next return a command; requires that one waits.
  [[nodiscard]] Time next_action_at() const;
  // Forgets a command whose client has left or cancelled it.
  void remove(CommandId command);
  [[nodiscard]] bool is_empty() const { return waiting_.empty(); }

 private:
  [[nodiscard]] Time next_turn_at() const { return pauses_end_at_ - kMaxDeferredPause; }

  // The times at which the waiting commands give up, by command and in the order of time.
  std::map<CommandId, Time> waiting_;
  std::set<std::pair<Time, CommandId>> give_up_times_;
  CommandId last_id_ = 0;
  // When the pauses after all turns so far are over, if no further one begins.
  Time pauses_end_at_{};
};

}  // namespace rookproxy::policy
