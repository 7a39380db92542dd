// Tests of the slot map with keys that outlive their values.
#include "net/slot_map.h"

#include <catch2/catch.hpp>

using namespace rookproxy;

TEST_CASE("slot map: the key of a removed value does not find a later value in the same slot") {
  SlotMap<int> table;
  const SlotKey first = table.insert(1);
  CHECK(table.take(first) == 1);
  const SlotKey second = table.insert(2);
  CHECK(second != first);
  CHECK(second > first);  // Keys sort by age, even if a slot is reused.
  CHECK(table.find(first) == nullptr);
  CHECK_FALSE(table.take(first));
  CHECK(*table.find(second) == 2);
  CHECK(table.find(0) == nullptr);
  CHECK(table.keys() == std::vector<SlotKey>{second});
}
