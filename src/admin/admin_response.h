// The commands of the admin address, and the text format of metrics.
#pragma once

#include <string>
#include <string_view>

#include "admin/admin_source.h"
#include "dispatcher/metrics.h"

namespace rookproxy {

// The metrics as the METRICS command prints them: a name and a value a line, under the names operators know.
[[nodiscard]] std::string format_metrics(const Metrics& metrics, const Gauges& gauges);

// The whole response to a command, without its final line end.
[[nodiscard]] std::string admin_response(std::string_view command, const AdminSource& source);

}  // namespace rookproxy
