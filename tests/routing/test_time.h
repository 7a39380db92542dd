// Durations that the tests of the routing module are written in.
#pragma once

#include "rookproxy/routing/router.h"

namespace rookproxy::routing {

constexpr Time kMillisecond = 1'000;
constexpr Time kSecond = 1'000'000;

}  // namespace rookproxy::routing
