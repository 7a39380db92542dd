// Schedules commands whose reading takes long, so that the event loop also serves all other clients.
#pragma once

#include <cstddef>
#include <functional>
#include <unordered_map>

#include "base/time.h"
#include "net/clock.h"
#include "net/event_loop.h"
#include "policy/command_turns.h"

namespace rookproxy {

// Whether a command that has waited for its turn is handled now, or is rejected because it has waited for too
// long.
enum class TurnDecision { kGranted, kRefused };

// Gives turns to the commands of all frontends of an event loop, as policy::CommandTurns decides. Must be
// used on the loop's thread.
class TurnScheduler {
 public:
  // 0 stands for no wait.
  using WaitId = policy::CommandTurns::CommandId;
  using Callback = std::function<void(TurnDecision)>;

  // The turn of a command, which lasts until destruction.
  class Turn {
   public:
    explicit Turn(TurnScheduler& scheduler, Time started = monotonic_now())
        : scheduler_(scheduler), started_(started) {}
    ~Turn() { scheduler_.end_turn(started_); }
    Turn(const Turn&) = delete;
    Turn& operator=(const Turn&) = delete;

   private:
    TurnScheduler& scheduler_;
    Time started_;
  };

  explicit TurnScheduler(EventLoop& loop) : loop_(loop) {}
  ~TurnScheduler() { loop_.cancel(timer_); }
  TurnScheduler(const TurnScheduler&) = delete;
  TurnScheduler& operator=(const TurnScheduler&) = delete;

  // Returns true if a statement of this size is long enough to need a turn. Shorter ones cost no more than
  // other requests.
  [[nodiscard]] static bool needs_turn(std::size_t statement_bytes) {
    return statement_bytes > kMaxBytesWithoutTurn;
  }
  // Returns true if a command that has just arrived has its turn at once.
  [[nodiscard]] bool is_turn_free() const { return turns_.is_turn_free(loop_.now()); }
  // Waits for the turn of a command with this deadline. `callback` is called once with the decision, early
  // enough for a response before the deadline, unless the wait is cancelled before. A callback that handles
  // the command must hold a Turn while it does.
  [[nodiscard]] WaitId wait(Time deadline, Callback callback);
  // Has no effect if there is no such wait.
  void cancel(WaitId id);
  [[nodiscard]] bool has_waiting_commands() const { return !turns_.is_empty(); }

 private:
  static constexpr std::size_t kMaxBytesWithoutTurn = 1024;

  void end_turn(Time started);
  void schedule_next_decision();
  void decide();
  void complete_wait(WaitId id, TurnDecision decision);

  EventLoop& loop_;
  policy::CommandTurns turns_;
  std::unordered_map<WaitId, Callback> callbacks_;
  TimerId timer_{};
};

}  // namespace rookproxy
