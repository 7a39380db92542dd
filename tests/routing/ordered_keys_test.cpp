// Requests of one key, in their order. Each guard has a test that fails when the guard is taken out.
#include <gtest/gtest.h>

#include <cstdint>

#include "routing/scripted_router.h"
#include "routing/test_events.h"
#include "routing/test_settings.h"
#include "routing/test_time.h"

namespace rookproxy::routing {
namespace {

Settings ordered() {
  auto settings = basic_settings();
  settings.classes[0].ordered = true;
  settings.ordered_key_cooldown = kSecond;
  return settings;
}

RequestArrived keyed_query(RequestId id, std::uint64_t key) {
  auto arrived = query(id);
  arrived.key = key;
  return arrived;
}

TEST(OrderedKeys, OneKeyOneAtATime) {
  ScriptedRouter router(ordered());
  router.update_engines(0, {engine(0), engine(1)});
  router.handle(1, {keyed_query(1, 5), keyed_query(2, 5), keyed_query(3, 6), query(4)});
  ASSERT_EQ(router.sends().size(), 3u);
  for (const auto& send : router.sends()) EXPECT_NE(send.request, 2u);
  router.handle(2, {ended(1, 0, router.sends()[0].engine, Outcome::kServed)});
  ASSERT_EQ(router.sends().size(), 1u);
  EXPECT_EQ(router.sends()[0].request, 2u);
}

TEST(OrderedKeys, AKeyHasACooldownAfterAnAttemptThatMayStillRun) {
  ScriptedRouter router(ordered());
  router.update_engines(0, {engine(0), engine(1)});
  router.handle(1, {keyed_query(1, 5), keyed_query(2, 5)});
  const auto first = router.sends()[0].engine;
  router.handle(2, {ClientDisconnected{1}});
  EXPECT_EQ(router.sends().size(), 0u);
  router.handle(3, {ended(1, 0, first, Outcome::kCancelled)});
  EXPECT_EQ(router.sends().size(), 0u);
  router.advance(20'000, kSecond - 1);
  EXPECT_EQ(router.sends().size(), 0u);
  router.handle(kSecond + 4, {TimerFired{kTickToken}});
  EXPECT_EQ(router.sends().size(), 1u);
}

}  // namespace
}  // namespace rookproxy::routing
