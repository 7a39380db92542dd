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

// Identifies an attempt by its request and its number, counted from 0 in the order in which the request's
// attempts were sent.
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
  // When the dispatcher cancels the attempt.
  Time deadline{};
  std::optional<double> memory_grant_mb;
  int priority = 1;
};

// How an attempt ended.
struct AttemptResult {
  Outcome outcome = Outcome::kError;
  std::optional<LoadReport> report;
  // The result if the attempt was served; the engine's message if it ended with an error.
  std::string body;
};

// The dispatcher's interface to engine connections. No function calls back into the dispatcher.
class EngineTransport {
 public:
  // Sends an attempt, which waits for a connection if necessary. EngineTransportCallbacks reports its end.
  virtual void send(const AttemptRequest& attempt) = 0;
  // Ends an attempt without reporting it. Returns whether no byte of it had been sent.
  virtual bool cancel(AttemptKey key) = 0;
  // Does the same if no byte of the attempt has been sent; otherwise the attempt continues, and the result is
  // false.
  virtual bool cancel_if_unsent(AttemptKey key) = 0;
  virtual void set_priority(AttemptKey key, int priority) = 0;
  virtual void probe(EngineId engine) = 0;
  // Sets an engine's address. Also called when the address has changed or another process listens there; open
  // connections are then not used for further attempts.
  virtual void set_engine_address(EngineId engine, const SocketAddress& address) = 0;
  // Ends the attempts of which no byte has been sent, since the engine is draining or was removed.
  virtual void stop_new_attempts(EngineId engine) = 0;

 protected:
  ~EngineTransport() = default;
};

// The callbacks of engine connections. The dispatcher handles reports at the end of the loop's iteration.
class EngineTransportCallbacks {
 public:
  // Called right before an attempt's first byte is passed to the kernel. If the result is false, the attempt
  // must not start and ends as not sent.
  virtual bool may_start(AttemptKey key) = 0;
  virtual void on_attempt_ended(AttemptKey key, AttemptResult result) = 0;
  // `amount`: the completed share or the missing memory in megabytes, depending on the kind.
  virtual void on_attempt_update(AttemptKey key, routing::AttemptUpdateKind kind, double amount) = 0;
  virtual void on_probe_ended(EngineId engine, Outcome outcome, std::optional<LoadReport> report) = 0;

 protected:
  ~EngineTransportCallbacks() = default;
};

}  // namespace rookproxy
