#include "routing/request_table.h"

namespace rookproxy::routing {

Request* RequestTable::find(RequestId id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

Request& RequestTable::add(const RequestArrived& arrived) {
  Request& request = requests_[arrived.id];
  request.id = arrived.id;
  request.class_index = arrived.class_index;
  request.key = arrived.key;
  request.group = arrived.group;
  request.memory_mb = arrived.memory_mb;
  request.deadline = arrived.deadline;
  return request;
}

void RequestTable::remove_completed() {
  for (const RequestId id : completed_) {
    const Request* const request = find(id);
    if (request && request->completed && request->attempts_in_flight == 0) requests_.erase(id);
  }
  completed_.clear();
}

}  // namespace rookproxy::routing
