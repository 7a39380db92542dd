// Tests the settings during a transition, while clients may still use the previous ones.
#include "dispatcher/stricter_settings.h"

#include <catch2/catch.hpp>

using namespace rookproxy;

namespace {

constexpr auto kIdempotent = routing::Idempotency::kIdempotent;
constexpr auto kNonIdempotent = routing::Idempotency::kNonIdempotent;

routing::ClassSettings make_class(const char* name, routing::Idempotency idempotency,
                                  routing::Time latency_objective = 0) {
  routing::ClassSettings cls;
  cls.name = name;
  cls.idempotency = idempotency;
  cls.latency_objective = latency_objective;
  return cls;
}

}  // namespace

TEST_CASE("stricter settings: the stricter value of previous and updated settings applies") {
  routing::Settings previous;
  previous.max_attempts = 2;
  previous.classes = {make_class("a", kNonIdempotent), make_class("removed", kIdempotent),
                      make_class("b", kIdempotent)};
  routing::Settings updated;
  updated.max_attempts = 6;
  updated.classes = {make_class("a", kIdempotent, 7), make_class("b", kNonIdempotent),
                     make_class("new", kIdempotent)};
  const auto merged = merge_stricter(previous, updated);
  REQUIRE(merged.classes.size() == 4);
  CHECK(merged.classes[0].idempotency == kNonIdempotent);
  CHECK(merged.classes[0].latency_objective == 7);
  CHECK(merged.classes[1].idempotency == kNonIdempotent);
  CHECK(merged.classes[3].name == "removed");
  CHECK(merged.max_attempts == 2);
  CHECK(merge_stricter(updated, previous).max_attempts == 2);
}
