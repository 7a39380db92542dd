// Tenants' quotas, and what they tell of this instance's part of all traffic.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "routing/decaying_counter.h"
#include "routing/routing_state.h"
#include "routing/token_bucket.h"

namespace rookproxy::routing {

// Divides the tenants' quotas, which hold for all instances together, by this instance's part of the traffic.
// Used by the Router's thread alone; `state` has to outlive it.
class Quota {
 public:
  explicit Quota(const RoutingState& state) : state_(state) {}

  // Forgets all tenants and assumes that traffic is spread evenly. To be called when settings have changed.
  void reset();
  // Counts a request of the tenant at `index` of the settings. Returns whether it is within our part of the
  // tenant's quota, of which a few seconds may be saved up. Requests without tenant or quota always are.
  [[nodiscard]] bool admit(const std::optional<std::uint32_t>& index);
  // Updates this instance's part from the tenants' recent traffic. Returns how many instances with our
  // traffic would carry all of it.
  //
  // Where some instances carry far more than others, ours is told by the quotas, which are all instances'.
  // The limits go by all traffic; a tenant's quota by the tenant that sends least of its own, so that one
  // tenant's burst does not raise its own part.
  [[nodiscard]] double update_traffic_share();

 private:
  // What is known of one tenant.
  struct Tenant {
    TokenBucket tokens;
    DecayingCounter requests;
  };
  Tenant& tenant(std::uint32_t index);

  const RoutingState& state_;
  double quota_share_ = 1;  // our part of each tenant's quota
  std::map<std::uint32_t, Tenant> tenants_;
};

}  // namespace rookproxy::routing
