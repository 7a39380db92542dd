#include "upstream/request_id_history.h"

namespace rookproxy {

void RequestIdHistory::add(const std::string& id, Time now, Duration retention) {
  while (!by_age_.empty() && now - by_age_.front().added_at > retention) {
    ids_.erase(by_age_.front().id);
    by_age_.pop_front();
  }
  if (ids_.insert(id).second) by_age_.push_back({now, id});
}

}  // namespace rookproxy
