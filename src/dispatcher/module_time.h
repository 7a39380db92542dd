// The one place where times and spans become the module's microseconds and come back.
#pragma once

#include "base/time.h"
#include "rookproxy/routing/router.h"

namespace rookproxy {

inline routing::Time to_routing_time(Time at) { return at.time_since_epoch().count(); }
inline routing::Time to_routing_duration(Duration span) { return span.count(); }
inline Time from_routing_time(routing::Time at) { return Time(Duration(at)); }
inline Duration from_routing_duration(routing::Time span) { return Duration(span); }

}  // namespace rookproxy
