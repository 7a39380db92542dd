// The request ids that a connection carried recently.
#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_set>

#include "base/time.h"

namespace rookproxy {

// All attempts of a request share its id. A connection carries each id only once, so that the response to one
// attempt can't be mistaken for the response to another. Ids are removed once their request can't be
// repeated, because connections live for hours. Not thread safe.
class RequestIdHistory {
 public:
  // Adds the id and removes those that were added more than `retention` before `now`.
  void add(const std::string& id, Time now, Duration retention);
  [[nodiscard]] bool contains(const std::string& id) const { return ids_.contains(id); }
  // True if the history has reached its limit, so that the connection should be replaced.
  [[nodiscard]] bool is_full() const { return ids_.size() >= kMaxRequestIds; }

 private:
  static constexpr std::size_t kMaxRequestIds = 4096;

  // An id and the time at which it was added.
  struct Entry {
    Time added_at;
    std::string id;
  };

  std::unordered_set<std::string> ids_;
  std::deque<Entry> by_age_;
};

}  // namespace rookproxy
