#include "simulator/request_table.h"

#include <stdexcept>

namespace rookproxy::simulator {

routing::RequestId RequestTable::add(std::string_view wire_id) {
  const auto [entry, is_new] = ids_.try_emplace(std::string(wire_id), next_id_);
  if (is_new) {
    requests_[next_id_].wire_id = entry->first;
    ++next_id_;
  }
  return entry->second;
}

std::optional<routing::RequestId> RequestTable::find(std::string_view wire_id) const {
  const auto found = ids_.find(std::string(wire_id));
  if (found == ids_.end()) return std::nullopt;
  return found->second;
}

const std::string& RequestTable::wire_id(routing::RequestId request) const {
  const auto found = requests_.find(request);
  if (found == requests_.end()) throw std::logic_error("action for an unknown request");
  return found->second.wire_id;
}

void RequestTable::start_attempt(routing::RequestId request) {
  const auto found = requests_.find(request);
  if (found == requests_.end()) throw std::logic_error("action for an unknown request");
  ++found->second.in_flight;
}

void RequestTable::end_attempt(routing::RequestId request) { --requests_.at(request).in_flight; }

void RequestTable::complete(routing::RequestId request) {
  const auto found = requests_.find(request);
  if (found != requests_.end()) found->second.completed = true;
}

void RequestTable::release_if_finished(routing::RequestId request) {
  const auto found = requests_.find(request);
  if (found == requests_.end() || !found->second.completed || found->second.in_flight > 0) return;
  ids_.erase(found->second.wire_id);
  requests_.erase(found);
}

void RequestTable::clear() {
  ids_.clear();
  requests_.clear();
}

}  // namespace rookproxy::simulator
