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

// Whether two lists say the same of which engines there are and which of them serve, in whatever order.
bool says_the_same(const std::vector<EngineEndpoint>& one, const std::vector<EngineEndpoint>& other) {
  return std::is_permutation(one.begin(), one.end(), other.begin(), other.end(),
                             is_same_engine_in_same_state);
}

bool contains_engine(const std::vector<EngineEndpoint>& endpoints, const std::string& id) {
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
  // Under the newest version an empty list contradicts nothing: its server has loaded no list yet.
  const bool has_newest_content =
      newest_endpoints_.empty() || list.endpoints.empty() || says_the_same(list.endpoints, newest_endpoints_);
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
      if (confirmation_.is_stable()) return ordering;  // nearly every poll: lists may be long
      confirmation_.on_newest_list(to_listing(newest_endpoints_), list.received_at);
      break;
  }
  update_usable_endpoints();
  return ordering;
}

// An engine that the newest list has as serving, and that is not confirmed, stays what it was: draining, or
// not listed. One that served drains.
void EndpointListTracker::update_usable_endpoints() {
  std::vector<EngineEndpoint> usable;
  usable.reserve(newest_endpoints_.size());
  for (const EngineEndpoint& endpoint : newest_endpoints_) {
    const bool is_withheld = endpoint.state == routing::EngineState::kServing &&
                             !confirmation_.may_serve(endpoint.id, endpoint.started_at);
    if (is_withheld && !contains_engine(usable_endpoints_, endpoint.id)) continue;
    usable.push_back(endpoint);
    if (is_withheld) usable.back().state = routing::EngineState::kDraining;
  }
  if (usable == usable_endpoints_) return;
  usable_endpoints_ = std::move(usable);
  ++revision_;
}

}  // namespace rookproxy
