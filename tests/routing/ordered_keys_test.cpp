// Tests of the ordering of requests that have the same key.
#include <gtest/gtest.h>

#include <cstdint>

#include "routing/router_script.h"

namespace rookproxy::routing {
namespace {

Settings ordered() {
  auto settings = basic_settings();
  settings.classes[0].ordered = true;
  settings.ordered_key_cooldown = kSecond;
  return settings;
}

RequestArrived keyed_query(RequestId id, std::uint64_t key) {
  auto q = query(id);
  q.key = key;
  return q;
}

TEST(OrderedKeys, RequestsOfOneKeyRunOneAtATime) {
  Script s(ordered());
  s.list(0, {engine(0), engine(1)});
  s.at(1, {keyed_query(1, 5), keyed_query(2, 5), keyed_query(3, 6), query(4)});
  ASSERT_EQ(s.sends().size(), 3u);
  for (const auto& send : s.sends()) EXPECT_NE(send.request, 2u);
  s.at(2, {ended(1, 0, s.sends()[0].engine, Outcome::kServed)});
  ASSERT_EQ(s.sends().size(), 1u);
  EXPECT_EQ(s.sends()[0].request, 2u);
}

TEST(OrderedKeys, KeyIsHeldBackAfterAttemptThatMayStillRun) {
  Script s(ordered());
  s.list(0, {engine(0), engine(1)});
  s.at(1, {keyed_query(1, 5), keyed_query(2, 5)});
  const auto first = s.sends()[0].engine;
  s.at(2, {ClientDisconnected{1}});
  EXPECT_EQ(s.sends().size(), 0u);
  s.at(3, {ended(1, 0, first, Outcome::kCancelled)});
  EXPECT_EQ(s.sends().size(), 0u);
  s.wait(20'000, kSecond - 1);
  EXPECT_EQ(s.sends().size(), 0u);
  s.at(kSecond + 4, {TimerFired{1}});
  EXPECT_EQ(s.sends().size(), 1u);
}

}  // namespace
}  // namespace rookproxy::routing
