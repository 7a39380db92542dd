// Tenants' quotas and this instance's share of the traffic.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "routing/decaying_counter.h"
#include "routing/routing_state.h"
#include "routing/token_bucket.h"

namespace rookproxy::routing {

// Applies this instance's share of the tenants' quotas, which are limits for all instances together. Used
// only by the Router's thread; `state` must outlive it.
class Quota {
 public:
  explicit Quota(const RoutingState& state) : state_(state) {}

  // Drops the state of all tenants and assumes that traffic is spread evenly. Call after the settings have
  // changed.
  void reset();
  // Counts a request of the tenant with this index in the settings. Returns whether it is within this
  // instance's share of the tenant's quota, including a few seconds' worth of unused quota. Requests without
  // a tenant or quota always are.
  [[nodiscard]] bool admit(const std::optional<std::uint32_t>& index);
  // Updates this instance's share from the tenants' recent traffic. Returns the total traffic divided by this
  // instance's traffic.
  //
  // Where traffic is uneven, the ratio of this instance's traffic to the quotas of all tenants shows its
  // share. A tenant's quota is divided by the smallest such ratio of any tenant, so that a burst of one
  // tenant does not raise its own share.
  [[nodiscard]] double update_traffic_share();

 private:
  // The state of one tenant.
  struct Tenant {
    TokenBucket tokens;
    DecayingCounter requests;
  };
  Tenant& tenant(std::uint32_t index);

  const RoutingState& state_;
  // Fraction of each tenant's quota that this instance grants.
  double quota_share_ = 1;
  std::map<std::uint32_t, Tenant> tenants_;
};

}  // namespace rookproxy::routing
