#include "discovery/endpoint_list_tracker.h"

#include <algorithm>
#include <utility>

namespace rookproxy {
namespace {

policy::EngineListing to_listing(const std::vector<EngineEndpoint>& endpoints) {
  policy::EngineListing listing;
  for (const EngineEndpoint& endpoint : endpoints) {
    const bool serving = endpoint.state == routing::EngineState::kServing;
    listing.push_back({endpoint.id, endpoint.started_at, serving});
  }
  return listing;
}

bool is_same_engine_in_same_state(const EngineEndpoint& one, const EngineEndpoint& other) {
  return one.id == other.id && one.started_at == other.started_at && one.state == other.state;
}

// Whether two lists have the same engines in the same states, in any order.
bool has_same_engine_states(const std::vector<EngineEndpoint>& one,
                            const std::vector<EngineEndpoint>& other) {
  return std::is_permutation(one.begin(), one.end(), other.begin(), other.end(),
                             is_same_engine_in_same_state);
}

bool contains_id(const std::vector<EngineEndpoint>& endpoints, const std::string& id) {
  return std::any_of(endpoints.begin(), endpoints.end(),
                     [&id](const EngineEndpoint& endpoint) { return endpoint.id == id; });
}

}  // namespace

EndpointListTracker::EndpointListTracker(const EndpointList& known, Time now)
    : list_version_(static_cast<std::uint32_t>(known.version), now),
      confirmation_(to_listing(known.endpoints), now),
      newest_endpoints_(known.endpoints),
      usable_endpoints_(known.endpoints) {}

EndpointListTracker::Ordering EndpointListTracker::take(ReceivedEndpointList list) {
  // An empty list with the newest version is no contradiction: its server has not loaded a list yet.
  const bool has_newest_content = newest_endpoints_.empty() || list.endpoints.empty() ||
                                  has_same_engine_states(list.endpoints, newest_endpoints_);
  const Ordering ordering =
      list_version_.classify(list.version, has_newest_content, list.polled_at, list.received_at);
  switch (ordering) {
    case Ordering::kStale:
      return ordering;
    case Ordering::kFirstContradicting:
    case Ordering::kContradicting:
      confirmation_.on_contradicting_list(to_listing(list.endpoints), list.received_at);
      break;
    case Ordering::kNewestDiscarded:
      confirmation_.on_newest_discarded(list.received_at);
      [[fallthrough]];
    case Ordering::kServerRestarted:
    case Ordering::kNewer:
      newest_endpoints_ = std::move(list.endpoints);
      confirmation_.on_newest_list(to_listing(newest_endpoints_), list.received_at);
      break;
    case Ordering::kSame:
      if (confirmation_.is_stable()) return ordering;  // The usual case; avoids copying the list.
      confirmation_.on_newest_list(to_listing(newest_endpoints_), list.received_at);
      break;
  }
  update_usable_endpoints();
  return ordering;
}

// An engine that the newest list has as serving, but that may not serve, is draining in the usable list if it
// was in that list before, and is left out otherwise.
void EndpointListTracker::update_usable_endpoints() {
  std::vector<EngineEndpoint> usable;
  usable.reserve(newest_endpoints_.size());
  for (const EngineEndpoint& endpoint : newest_endpoints_) {
    const bool is_blocked = endpoint.state == routing::EngineState::kServing &&
                            !confirmation_.may_serve(endpoint.id, endpoint.started_at);
    if (is_blocked && !contains_id(usable_endpoints_, endpoint.id)) continue;
    usable.push_back(endpoint);
    if (is_blocked) usable.back().state = routing::EngineState::kDraining;
  }
  if (usable == usable_endpoints_) return;
  usable_endpoints_ = std::move(usable);
  ++revision_;
}

}  // namespace rookproxy
