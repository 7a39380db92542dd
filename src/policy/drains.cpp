#include "policy/drains.h"

#include <algorithm>

namespace rookproxy::policy {
namespace {
// A busy turn of the loop and a timer that fires late.
constexpr Duration kIterationDelay = std::chrono::milliseconds(30);
}  // namespace

Duration drain_margin(Duration longest_pause) { return longest_pause + kIterationDelay; }

Time latest_drain_start(Time told, Duration grace, Duration margin) {
  return told + std::max(Duration(0), grace - margin);
}

}  // namespace rookproxy::policy
