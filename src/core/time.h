// The project's clock: Unix time that only moves forward, in chrono types throughout.
#pragma once

#include <chrono>

#include "lemonshift/router.h"

namespace rookproxy {

using Duration = std::chrono::microseconds;
using Time = std::chrono::time_point<std::chrono::system_clock, Duration>;

// The steady clock, shifted once at the start to read as Unix time: a step of the system's clock must not
// fire every deadline at once or hold them all back, and the module's clock may never go backward.
inline Time wall_now() {
  using std::chrono::duration_cast;
  static const auto shift = duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch()) -
                            duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch());
  return Time(duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()) + shift);
}

// The one place where times and spans become the module's microseconds and come back.
inline lemonshift::Time to_module(Time at) { return at.time_since_epoch().count(); }
inline lemonshift::Time to_module(Duration span) { return span.count(); }
inline Time time_from_module(lemonshift::Time at) { return Time(Duration(at)); }
inline Duration span_from_module(lemonshift::Time span) { return Duration(span); }

}  // namespace rookproxy
