// Applies the rules of policy/attempt_guard.h to the dispatcher's requests, engines and settings.
//
// The router follows these rules itself. The dispatcher checks them independently, so that they hold even if
// the router makes a wrong decision.
#pragma once

#include <cstdint>
#include <optional>

#include "base/time.h"
#include "dispatcher/active_settings.h"
#include "dispatcher/engine_registry.h"
#include "dispatcher/request_table.h"
#include "policy/attempt_guard.h"

namespace rookproxy {

// Refers to the dispatcher's settings and engines, which must outlive it.
class AttemptRules {
 public:
  AttemptRules(const ActiveSettings& settings, const EngineRegistry& engines)
      : settings_(settings), engines_(engines) {}

  // Returns why the request's next attempt must not be sent to the engine at `now`; nothing if it may.
  // `request` is null if the request is unknown.
  [[nodiscard]] std::optional<policy::BlockReason> check_send(const Request* request, EngineId engine,
                                                              Time now) const;

  // Returns why the request's attempt `number` must not start at `now`; nothing if it may.
  [[nodiscard]] std::optional<policy::BlockReason> check_start(const Request& request, std::uint32_t number,
                                                               Time now) const;

  // Returns the time from which the request's attempt `number` must not start.
  [[nodiscard]] Time latest_start(const Request& request, std::uint32_t number) const;

  // Whether the client may be told that its request did not run.
  [[nodiscard]] bool may_reject(const Request& request) const;

 private:
  [[nodiscard]] policy::RetryRule retry_rule(const Request& request) const;
  // Returns the limits on the request's attempt `number` to the engine; `number` may be that of the next
  // attempt.
  [[nodiscard]] policy::AttemptGuard guard(const Request& request, EngineId engine, std::size_t number) const;

  const ActiveSettings& settings_;
  const EngineRegistry& engines_;
};

}  // namespace rookproxy
