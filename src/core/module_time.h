// The one place where times and spans become the module's microseconds and come back.
#pragma once

#include "base/time.h"
#include "lemonshift/router.h"

namespace rookproxy {

inline lemonshift::Time to_module(Time at) { return at.time_since_epoch().count(); }
inline lemonshift::Time to_module(Duration span) { return span.count(); }
inline Time time_from_module(lemonshift::Time at) { return Time(Duration(at)); }
inline Duration span_from_module(lemonshift::Time span) { return Duration(span); }

}  // namespace rookproxy
