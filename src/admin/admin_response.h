// The commands of the admin address, and the text format of metrics.
#pragma once

#include <string>
#include <string_view>

#include "admin/admin_source.h"
#include "dispatcher/metrics.h"

namespace rookproxy {

// Formats the metrics for the METRICS command: one name and value per line.
[[nodiscard]] std::string format_metrics(const Metrics& metrics, const Gauges& gauges);

// The whole response to a command, without the final line feed.
[[nodiscard]] std::string admin_response(std::string_view command, const AdminSource& source);

}  // namespace rookproxy
