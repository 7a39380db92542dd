// Slot maps: keys that outlive their values.
#include "net/slot_map.h"

#include <catch2/catch.hpp>

using namespace rookproxy;

TEST_CASE("slot map: a key outlives its value and never finds the next one") {
  SlotMap<int> table;
  const SlotKey first = table.insert(1);
  CHECK(table.take(first) == 1);
  const SlotKey second = table.insert(2);
  CHECK(second != first);
  CHECK(second > first);  // keys sort by age, also in a slot used again
  CHECK(table.find(first) == nullptr);
  CHECK_FALSE(table.take(first));
  CHECK(*table.find(second) == 2);
  CHECK(table.find(0) == nullptr);
  CHECK(table.keys() == std::vector<SlotKey>{second});
}
