#include "support/cluster_options.h"

#include <optional>

#include "dispatcher/routing_time.h"

namespace rookproxy::test {
namespace {

using namespace std::chrono_literals;
using routing::Idempotency;
using routing::IdempotencyScope;

constexpr Duration kLatencyObjective = 300ms;
constexpr Duration kClassTimeout = 1000ms;
constexpr Duration kProgressInterval = 500ms;
constexpr std::size_t kMaxStreamsPerConnection = 32;
constexpr std::size_t kSmallUnreadLimit = 100;  // bytes

routing::ClassSettings make_class(const char* name, Idempotency idempotency,
                                  std::optional<IdempotencyScope> scope, Duration idempotency_window) {
  routing::ClassSettings settings;
  settings.name = name;
  settings.latency_objective = to_routing_duration(kLatencyObjective);
  settings.timeout = to_routing_duration(kClassTimeout);
  settings.idempotency = idempotency;
  settings.idempotency_scope = scope;
  if (scope) settings.idempotency_window = to_routing_duration(idempotency_window);
  return settings;
}

}  // namespace

std::uint32_t cell_of_engine(std::size_t engine) {
  return engine < 2 ? 0 : static_cast<std::uint32_t>(engine - 1);
}

std::uint32_t zone_of_engine(std::size_t engine) { return engine == kEngineCount - 1 ? 1 : 0; }

routing::Settings make_routing_settings(const ClusterOptions& options) {
  const Duration window = options.idempotency_window;
  routing::Settings settings;
  settings.zones = 2;
  settings.machine_types = {{"m", 64.0, 65536.0}};
  settings.may_cancel = options.may_cancel;
  settings.hedging = options.hedging;
  settings.reports_load = false;
  settings.max_attempts = options.max_attempts;
  settings.drain_grace_period = to_routing_duration(options.drain_grace_period);
  settings.progress_interval = to_routing_duration(kProgressInterval);
  settings.classes = {
      make_class("safe", Idempotency::kIdempotent, std::nullopt, window),
      make_class("all", Idempotency::kKeyed, IdempotencyScope::kAll, window),
      make_class("zone", Idempotency::kKeyed, IdempotencyScope::kZone, window),
      make_class("cell", Idempotency::kKeyed, IdempotencyScope::kCell, window),
      make_class(kNonIdempotentClass, Idempotency::kNonIdempotent, std::nullopt, window),
  };
  return settings;
}

PoolLimits make_pool_limits(const ClusterOptions& options) {
  PoolLimits limits;
  limits.max_streams_per_connection = kMaxStreamsPerConnection;
  limits.preferred_streams_per_connection = options.streams_per_connection;
  limits.connect_timeout = options.connect_timeout;
  return limits;
}

FramesFrontend::Limits make_frontend_limits(const ClusterOptions& options) {
  FramesFrontend::Limits limits;
  if (options.small_buffers) limits.max_unread_bytes_per_connection = kSmallUnreadLimit;
  return limits;
}

}  // namespace rookproxy::test
