/// How the dispatcher of a test cluster is set up, and where its engines stand.
#pragma once

#include <cstddef>
#include <cstdint>

#include "base/time.h"
#include "frontend/frames_frontend.h"
#include "rookproxy/routing/router.h"
#include "upstream/pool_limits.h"

namespace rookproxy::test {

/// The options that points of fault injection differ in.
struct ClusterOptions {
  bool may_cancel = true;
  bool hedging = false;
  std::uint32_t max_attempts = 3;
  Duration idempotency_window = std::chrono::milliseconds(100);
  Duration drain_grace_period = std::chrono::seconds(1);
  Duration connect_timeout = std::chrono::milliseconds(250);
  std::size_t streams_per_connection = 6;  // attempts on a connection before another is opened
  /// Small socket buffers, and reading from a client stops with the first response that it does not read.
  bool small_buffers = false;
};

/// The request classes: idempotent, keyed for all engines, for a zone and for a cell, and non-idempotent.
inline constexpr const char* kClassNames[] = {"safe", "all", "zone", "cell", "unsafe"};
inline constexpr const char* kNonIdempotentClass = "unsafe";

/// The engines: two in the first cell, and two more cells, the last of which is in another zone.
inline constexpr std::size_t kEngineCount = 4;
[[nodiscard]] std::uint32_t cell_of_engine(std::size_t engine);
[[nodiscard]] std::uint32_t zone_of_engine(std::size_t engine);

[[nodiscard]] routing::Settings make_routing_settings(const ClusterOptions& options);
[[nodiscard]] PoolLimits make_pool_limits(const ClusterOptions& options);
[[nodiscard]] FramesFrontend::Limits make_frontend_limits(const ClusterOptions& options);

}  // namespace rookproxy::test
