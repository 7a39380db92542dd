// Tests of tenants that exceed their quota.
#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <vector>

#include "routing/router_script.h"

namespace rookproxy::routing {
namespace {

TEST(Quota, TenantBeyondItsQuotaWaitsBehindOthers) {
  auto settings = basic_settings();
  settings.machine_types[0].cores = 0.5;  // One query fits.
  settings.over_quota_weight = 0.05;
  settings.tenants = {{"a", 1, 0.5}, {"b", 1, 0.5}};
  Script s(settings);
  s.list(0, {engine(0)});
  const auto tenant_query = [](RequestId id, std::uint32_t tenant) {
    auto q = query(id);
    q.tenant = tenant;
    return q;
  };
  std::vector<Event> burst;
  for (RequestId id = 1; id <= 8; ++id)
    burst.push_back(tenant_query(id, 0));  // Five seconds' worth of quota are saved.
  burst.push_back(tenant_query(9, 1));
  s.at(1, burst);
  std::vector<RequestId> order;
  for (std::size_t i = 0; i < 9; ++i) {
    for (const auto& one : s.sends()) order.push_back(one.request);
    ASSERT_GT(order.size(), i);
    s.at(static_cast<Time>(2 + i), {ended(order[i], 0, 0, Outcome::kServed)});
  }
  const auto at = [&](RequestId id) { return std::find(order.begin(), order.end(), id) - order.begin(); };
  for (RequestId over = 6; over <= 8; ++over) EXPECT_LT(at(9), at(over));
}

}  // namespace
}  // namespace rookproxy::routing
