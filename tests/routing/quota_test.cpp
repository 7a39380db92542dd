// Tenants beyond their quota. Each guard has a test that fails when the guard is taken out.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "routing/scripted_router.h"
#include "routing/test_events.h"
#include "routing/test_settings.h"
#include "routing/test_time.h"

namespace rookproxy::routing {
namespace {

TEST(Quota, BeyondItsQuotaATenantWaitsBehindTheOthers) {
  auto settings = basic_settings();
  settings.machine_types[0].cores = 0.5;  // a limit of one query
  settings.over_quota_weight = 0.05;
  settings.tenants = {{"a", 1, 0.5}, {"b", 1, 0.5}};
  ScriptedRouter router(settings);
  router.update_engines(0, {engine(0)});
  const auto query_of_tenant = [](RequestId id, std::uint32_t tenant) {
    auto arrived = query(id);
    arrived.tenant = tenant;
    return arrived;
  };
  std::vector<Event> burst;
  for (RequestId id = 1; id <= 8; ++id)
    burst.push_back(query_of_tenant(id, 0));  // five seconds of quota are saved up
  burst.push_back(query_of_tenant(9, 1));
  router.handle(1, burst);
  std::vector<RequestId> order;
  for (std::size_t i = 0; i < 9; ++i) {
    for (const auto& one : router.sends()) order.push_back(one.request);
    ASSERT_GT(order.size(), i);
    router.handle(static_cast<Time>(2 + i), {ended(order[i], 0, 0, Outcome::kServed)});
  }
  const auto place_of = [&](RequestId id) {
    return std::find(order.begin(), order.end(), id) - order.begin();
  };
  for (RequestId over = 6; over <= 8; ++over) EXPECT_LT(place_of(9), place_of(over));
}

}  // namespace
}  // namespace rookproxy::routing
