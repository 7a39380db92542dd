// The request ids that a connection has lately carried.
#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_set>

#include "base/time.h"

namespace rookproxy {

// Attempts of one request share its id, and a response to one must never be taken for another's: so a
// connection carries each id once. Ids are forgotten once their request can't be sent again, since
// connections live for hours. Not thread safe.
class RequestIdHistory {
 public:
  // Remembers the id, and forgets those that were added more than `retention` before `now`.
  void add(const std::string& id, Time now, Duration retention);
  [[nodiscard]] bool contains(const std::string& id) const { return ids_.contains(id); }
  // True if it holds so many ids that the connection is better replaced.
  [[nodiscard]] bool is_full() const { return ids_.size() >= kMaxRequestIds; }

 private:
  static constexpr std::size_t kMaxRequestIds = 4096;

  // An id and when it was added.
  struct Entry {
    Time added_at;
    std::string id;
  };

  std::unordered_set<std::string> ids_;
  std::deque<Entry> by_age_;
};

}  // namespace rookproxy
