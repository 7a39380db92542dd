// The interface between the dispatcher and the connections to engines, independent of every wire protocol.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "base/time.h"
#include "dispatcher/request.h"
#include "net/socket_address.h"
#include "rookproxy/routing/router.h"

namespace rookproxy {

using routing::EngineId;
using routing::LoadReport;
using routing::Outcome;

// Identifies an attempt: its request, and its number in the order in which that request's attempts were sent.
struct AttemptKey {
  RequestKey request = 0;
  std::uint32_t number = 0;
  auto operator<=>(const AttemptKey&) const = default;
};

// An attempt to be sent to an engine.
struct AttemptRequest {
  AttemptKey key;
  EngineId engine = 0;
  std::shared_ptr<const Query> query;
  // The dispatcher cancels the attempt at this time.
  Time deadline{};
  std::optional<double> memory_grant_mb;
  int priority = 1;
};

// How an attempt ended.
struct AttemptResult {
  Outcome outcome = Outcome::kError;
  std::optional<LoadReport> report;
  // Served: the result; error: the engine's message.
  std::string body;
};

// Connections to engines, as the dispatcher uses them. No call of it calls back into the dispatcher.
class EngineTransport {
 public:
  virtual void send(const AttemptRequest& attempt) = 0;
  // Ends an attempt, which is then not reported. Returns whether no byte of it had left.
  virtual bool cancel(AttemptKey key) = 0;
  // Does the same if no byte of it has left; otherwise the attempt continues, and the result is false.
  virtual bool cancel_if_unsent(AttemptKey key) = 0;
  virtual void set_priority(AttemptKey key, int priority) = 0;
  virtual void probe(EngineId engine) = 0;
  // Tells an engine's address, also when it changes or a new process listens there: connections that are open
  // take no further attempts.
  virtual void set_engine_address(EngineId engine, const SocketAddress& address) = 0;
  // The engine's drain grace period is nearly over, or the engine was removed: attempts of which no byte has
  // left must not leave any more.
  virtual void stop_new_attempts(EngineId engine) = 0;

 protected:
  ~EngineTransport() = default;
};

// What connections ask and report. The dispatcher acts on reports at the end of the loop's iteration.
class EngineTransportCallbacks {
 public:
  // Asked right before an attempt's first byte is handed to the kernel; changes nothing. If the result is
  // false, the attempt ends as not sent.
  virtual bool may_start(AttemptKey key) = 0;
  virtual void on_attempt_ended(AttemptKey key, AttemptResult result) = 0;
  // `amount`: the share that is done, or the megabytes that are missing, depending on the kind.
  virtual void on_attempt_update(AttemptKey key, routing::AttemptUpdateKind kind, double amount) = 0;
  virtual void on_probe_ended(EngineId engine, Outcome outcome, std::optional<LoadReport> report) = 0;

 protected:
  ~EngineTransportCallbacks() = default;
};

}  // namespace rookproxy
