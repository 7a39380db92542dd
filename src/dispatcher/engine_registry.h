// The engines that service discovery has listed, by the ids that the router uses.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "dispatcher/active_settings.h"
#include "dispatcher/engine_endpoint.h"
#include "dispatcher/engine_transport.h"
#include "dispatcher/limits.h"
#include "log/log.h"
#include "log/log_rate_limiter.h"
#include "net/event_loop.h"

namespace rookproxy {

// Keeps the engines and tells the transport their addresses and when attempts must no longer start on them.
// Ids are consecutive from 0, and an engine keeps its id until the process exits. The dispatcher's settings
// and limits must outlive the registry.
class EngineRegistry {
 public:
  EngineRegistry(EventLoop& loop, Logger& log, const ActiveSettings& settings, const DispatcherLimits& limits)
      : loop_(loop), log_(log), settings_(settings), limits_(limits) {}

  void set_transport(EngineTransport& transport) { transport_ = &transport; }
  // The names of the settings' zones, by index.
  void set_zones(std::vector<std::string> zones) { zones_ = std::move(zones); }

  // Replaces the endpoint list with one that was announced at `announced_at`; engines that are not in it are
  // removed. Returns the list for the router.
  [[nodiscard]] routing::EngineList update(const std::vector<EngineEndpoint>& endpoints, bool is_cached,
                                           Time announced_at);
  // To be called when settings have changed: applies the new drain grace period, which may be shorter, and
  // returns the list for the router, in which zones and machine types may have other indexes.
  [[nodiscard]] routing::EngineList update_for_settings();

  [[nodiscard]] bool contains(EngineId id) const { return id < engines_.size(); }
  [[nodiscard]] const EngineEndpoint& endpoint(EngineId id) const { return engines_[id].endpoint; }
  // Whether no engine has ever been listed.
  [[nodiscard]] bool empty() const { return engines_.empty(); }
  // The number of engines in the current list.
  [[nodiscard]] std::size_t listed_count() const;
  // Until when attempts may start on the engine: Time::max() while it serves, Time::min() once it is removed.
  // On a draining engine they may start until the end of its grace period, unless another engine is serving.
  [[nodiscard]] Time accepts_attempts_until(EngineId id) const;

  // Sends a probe unless one is in flight or the engine is unknown.
  void start_probe(EngineId id);
  // Ends the probe in flight and returns its duration; nothing if there is none.
  [[nodiscard]] std::optional<Duration> end_probe(EngineId id);

 private:
  struct Engine {
    // The engine as it was last listed; the state is kRemoved if it is no longer listed.
    EngineEndpoint endpoint;
    // When the engine's drain or removal was announced.
    Time closing_since{};
    // Whether no attempt may start on the engine although its drain grace period is not over.
    bool stopped = false;
    // When the probe in flight was sent.
    std::optional<Time> probe_sent_at;

    [[nodiscard]] bool is_serving() const { return endpoint.state == routing::EngineState::kServing; }
    [[nodiscard]] bool is_draining() const { return endpoint.state == routing::EngineState::kDraining; }
    [[nodiscard]] bool is_removed() const { return endpoint.state == routing::EngineState::kRemoved; }
  };

  EngineId update_endpoint(const EngineEndpoint& endpoint, Time announced_at);
  void remove_unlisted(const std::vector<bool>& is_listed, Time announced_at);
  void start_drain(EngineId id, Time announced_at);
  void schedule_drain_end(EngineId id);
  void stop_draining_engines();
  void stop_draining_engine(EngineId id);
  [[nodiscard]] bool has_serving_engine() const;
  [[nodiscard]] Time latest_drain_start(const Engine& engine) const;
  void log_state_change(const Engine& engine, routing::EngineState previous, Time announced_at);
  [[nodiscard]] routing::EngineEntry entry(EngineId id) const;

  // Limits the log lines on state changes, since a release may replace many engines at the same time.
  static constexpr int kMaxStateLinesPerSecond = 40;

  EventLoop& loop_;
  Logger& log_;
  const ActiveSettings& settings_;
  const DispatcherLimits& limits_;
  EngineTransport* transport_ = nullptr;
  std::vector<std::string> zones_;
  std::unordered_map<std::string, EngineId> ids_;
  std::vector<Engine> engines_;
  LogRateLimiter state_log_limiter_{kMaxStateLinesPerSecond};
};

}  // namespace rookproxy
