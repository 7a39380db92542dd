// Converts between the time types of src and the microseconds of the routing library.
#pragma once

#include "base/time.h"
#include "rookproxy/routing/router.h"

namespace rookproxy {

// Converts a point in time to microseconds.
inline routing::Time to_routing_time(Time at) { return at.time_since_epoch().count(); }

// Converts a duration to microseconds.
inline routing::Time to_routing_duration(Duration duration) { return duration.count(); }

// Converts a point in time returned by the router.
inline Time from_routing_time(routing::Time at) { return Time(Duration(at)); }

// Converts a duration returned by the router.
inline Duration from_routing_duration(routing::Time duration) { return Duration(duration); }

}  // namespace rookproxy
