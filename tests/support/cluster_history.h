/// What clients and engines of a test cluster saw, from which its invariants are checked.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "support/scripted_engine.h"

namespace rookproxy::test {

/// One request and what its client received for it.
struct ClusterRequest {
  std::string call_id;
  std::string class_name;
  std::size_t client = 0;
  std::uint32_t stream_id = 0;
  Duration time_to_live{};
  std::optional<Time> sent_at;
  std::optional<Time> client_disconnected_at;
  /// Its attempt may lie unread at an engine: when it started can't be seen there.
  bool may_lie_unread = false;
  std::vector<std::pair<int, std::string>> responses;  // code and body
};

/// Times are those of the test's clock.
struct ClusterHistory {
  std::deque<ClusterRequest> requests;
  std::deque<ObservedAttempt> attempts;
  std::map<std::string, std::set<std::string>> produced_bodies;  // what engines sent in full, by call id
  std::map<std::size_t, Time> drain_started_at;  // when each engine was first published as not serving
  std::multiset<std::string> protocol_violations;
};

}  // namespace rookproxy::test
