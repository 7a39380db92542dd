#include "app/limits.h"

#include <algorithm>

#include "net/file_descriptor.h"
#include "net/socket_address.h"
#include "net/sockets.h"
#include "policy/descriptor_budget.h"
#include "policy/drain.h"
#include "policy/poll_schedule.h"

namespace rookproxy {
namespace {

// Bounds the attempts that fail together when a connection breaks. These are few, and a connection for each
// attempt costs engines more than it saves.
constexpr std::size_t kPreferredStreams = 6;

// The operating system may allow fewer descriptors than the configuration does.
policy::DescriptorBudget descriptor_budget(std::size_t sockets) {
  return policy::descriptor_budget(std::min(sockets, descriptor_limit()));
}

}  // namespace

std::size_t max_client_connections(std::size_t sockets) { return descriptor_budget(sockets).clients; }

std::size_t max_admin_connections(std::size_t sockets) { return descriptor_budget(sockets).admin; }

PoolLimits pool_limits(const Config& config, std::size_t process_count) {
  PoolLimits limits;
  limits.max_connections = descriptor_budget(config.sockets).engines / process_count;
  limits.max_streams_per_connection = config.streams_per_connection;
  limits.preferred_streams_per_connection = std::min(kPreferredStreams, config.streams_per_connection);
  limits.connect_timeout = config.connect_timeout;
  limits.probe_timeout = config.connect_timeout;
  limits.idle_timeout = config.keepalive / 3;
  limits.response_timeout = config.connect_timeout;
  limits.cancel_unresponsive_timeout = config.connect_timeout;
  limits.page_timeout = 3 * config.connect_timeout;
  for (const routing::ClassSettings& request_class : config.settings.classes) {
    const Duration timeout = from_routing_duration(request_class.timeout);
    limits.request_id_retention = std::max(limits.request_id_retention, timeout);
  }
  const auto interval = config.settings.progress_interval;
  limits.unresponsive_timeout = interval ? 3 * from_routing_duration(*interval) : Duration(0);
  if (config.engine_protocol == EngineProtocol::kMysql) {
    // A session runs one statement at a time and sends nothing until it has a response.
    limits.max_streams_per_connection = 1;
    limits.unresponsive_timeout = Duration(0);
  }
  return limits;
}

DispatcherLimits dispatcher_limits(const Config& config) {
  const Duration poll_pause =
      config.nameserver ? policy::PollSchedule(config.discovery_poll_interval).max_pause() : Duration(0);
  DispatcherLimits limits;
  limits.default_retry_after = config.rejection_retry_after;
  limits.cancel_report_delay = config.timer_resolution;
  limits.drain_margin = policy::drain_margin(poll_pause);
  return limits;
}

}  // namespace rookproxy
