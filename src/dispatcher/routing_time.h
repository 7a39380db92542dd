// Converts between the project's time types and the decision module's microseconds, for all of src.
#pragma once

#include "base/time.h"
#include "rookproxy/routing/router.h"

namespace rookproxy {

// A point in time as the decision module's microseconds.
inline routing::Time to_routing_time(Time at) { return at.time_since_epoch().count(); }

// A duration as the decision module's microseconds.
inline routing::Time to_routing_duration(Duration duration) { return duration.count(); }

// A point in time that the decision module returned.
inline Time from_routing_time(routing::Time at) { return Time(Duration(at)); }

// A duration that the decision module returned.
inline Duration from_routing_duration(routing::Time duration) { return Duration(duration); }

}  // namespace rookproxy
