#include "policy/input_schedule.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace rookproxy::policy {

void InputSchedule::on_input(ConnectionId id) {
  Connection& connection = connections_[id];
  if (connection.position) return;
  connection.tag = std::max(connection.tag, last_tag_);
  connection.position = Position{connection.tag, ++last_arrival_, id};
  insert(*connection.position);
}

void InputSchedule::insert(const Position& position) {
  waiting_.insert(std::upper_bound(waiting_.begin(), waiting_.end(), position, std::greater<>()), position);
}

void InputSchedule::erase(const Position& position) {
  waiting_.erase(std::lower_bound(waiting_.begin(), waiting_.end(), position, std::greater<>()));
}

void InputSchedule::remove(ConnectionId id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  if (found->second.position) erase(*found->second.position);
  connections_.erase(found);
}

std::optional<InputSchedule::ConnectionId> InputSchedule::begin_turn() {
  if (waiting_.empty() || used_in_iteration_ >= kMaxTimePerIteration) return std::nullopt;
  const Position next = waiting_.back();
  waiting_.pop_back();
  connections_.at(next.connection).position.reset();
  last_tag_ = next.tag;
  current_ = next.connection;
  return current_;
}

void InputSchedule::end_turn(Duration used) {
  used_in_iteration_ += used;
  const auto found = connections_.find(std::exchange(current_, 0));
  if (found == connections_.end()) return;
  Connection& connection = found->second;
  connection.tag += used;
  if (!connection.position) return;
  // Input arrived during the turn, under the tag from before it.
  erase(*connection.position);
  connection.position->tag = connection.tag;
  insert(*connection.position);
}

}  // namespace rookproxy::policy
