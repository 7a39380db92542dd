// The state that the parts of Membership share while one event is handled.
#pragma once

#include <random>

#include "cluster/member_table.h"
#include "cluster/membership_settings.h"
#include "cluster/rate_limited_outbox.h"

namespace rookproxy::cluster {

// Valid for the handling of one event; refers to members of Membership.
struct MembershipContext {
  const MembershipSettings& settings;
  Time now;  // The time of the event.
  MemberTable& table;
  RateLimitedOutbox& outbox;
  MembershipMetrics& metrics;
  std::mt19937& random;
};

}  // namespace rookproxy::cluster
