#include "policy/command_turns.h"

#include <algorithm>

namespace rookproxy::policy {

CommandTurns::CommandId CommandTurns::add(Time give_up_at) {
  const CommandId command = ++last_id_;
  waiting_.emplace(command, give_up_at);
  give_up_times_.emplace(give_up_at, command);
  return command;
}

void CommandTurns::end_turn(Time started, Time ended) {
  const Duration turn_and_pause = 2 * (ended - started);
  pauses_end_at_ = std::max(pauses_end_at_, started) + turn_and_pause;
}

Time CommandTurns::next_action_at() const { return std::min(next_turn_at(), give_up_times_.begin()->first); }

std::vector<CommandTurns::CommandId> CommandTurns::take_overdue(Time now) {
  std::vector<CommandId> overdue;
  while (!give_up_times_.empty() && give_up_times_.begin()->first <= now) {
    overdue.push_back(give_up_times_.begin()->second);
    remove(overdue.back());
  }
  return overdue;
}

std::optional<CommandTurns::CommandId> CommandTurns::take_next(Time now) {
  if (waiting_.empty() || now < next_turn_at()) return std::nullopt;
  const CommandId command = waiting_.begin()->first;
  remove(command);
  return command;
}

void CommandTurns::remove(CommandId command) {
  const auto found = waiting_.find(command);
  if (found == waiting_.end()) return;
  give_up_times_.erase({found->second, command});
  waiting_.erase(found);
}

}  // namespace rookproxy::policy
