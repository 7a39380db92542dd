// What the core says to the fronts, the engine links and the directory, and hears from them. No wire shows
// here.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "dispatcher/module_time.h"
#include "net/slot_map.h"
#include "net/socket_address.h"
#include "rookproxy/routing/router.h"

namespace rookproxy {

using routing::EngineId;
using routing::LoadReport;
using routing::Outcome;
using RequestKey = SlotKey;  // sorts by arrival, never reused

// What is asked of an engine. Links read it, the core only carries it.
struct Query {
  std::string id;          // the client's id for the request, passed on unchanged
  std::string class_name;  // likewise
  std::string
      idempotency_key;    // likewise: by it engines know repeats of a keyed class's request; empty: none
  std::string statement;  // the bytes that came
  // What is asked with it. Only statements and executions run anything; the platform knows statements alone.
  enum class Kind { kStatement, kPrepare, kExecute, kUseSchema };
  Kind kind = Kind::kStatement;
  std::string parameters;  // of an execution, in the bytes of the front's protocol
  std::vector<std::pair<std::uint16_t, std::string>> long_data;  // of an execution, by parameter
  std::string schema;                                            // the asker's default schema; empty: none
  bool writes = false;             // an engine that has begun it is not to be stopped halfway
  bool rows_as_text_lines = true;  // the result as tab-separated lines; else as the engine's own packets
  std::size_t bytes() const {
    std::size_t sum = statement.size() + parameters.size();
    for (const auto& [parameter, data] : long_data) sum += data.size();
    return sum;
  }
};

struct IncomingRequest {
  std::shared_ptr<const Query> query;
  routing::ClassIndex class_index = 0;
  std::uint64_t table_group = 0;
  Time deadline;
  std::optional<Duration> estimated_work;
  std::optional<double> estimated_memory_mb;
  bool is_client_retry = false;
  std::string tenant;  // whose caller asks, proven or as the request says; empty: nobody's
};

enum class ResponseStatus { kServed, kRejected, kFailed };
enum class ResponseCause { kNone, kDecision, kDeadline, kEngineError, kOverloaded, kShuttingDown };

struct Response {
  ResponseStatus status = ResponseStatus::kFailed;
  std::string body;                            // served: the whole result, as the link read it
  std::optional<Duration> retry_after;         // refused: when to come back
  ResponseCause cause = ResponseCause::kNone;  // for messages and logs
  std::string detail;                          // failed by an engine's error: its own words, if it had any
};

// Where a request came from. `ticket` is the front's own.
class ResponseHandler {
 public:
  // Returns what its client is told, which is what counts: an answer may not fit the front's protocol.
  virtual ResponseStatus on_response(std::uint64_t ticket, Response answer) = 0;

 protected:
  ~ResponseHandler() = default;
};

struct AttemptKey {
  RequestKey request = 0;
  std::uint32_t number = 0;
  auto operator<=>(const AttemptKey&) const = default;
};

struct AttemptRequest {
  AttemptKey key;
  EngineId engine = 0;
  std::shared_ptr<const Query> query;
  Time deadline{};  // called off then
  std::optional<double> memory_grant_mb;
  int priority = 1;
};

struct AttemptResult {
  Outcome outcome = Outcome::kError;
  std::optional<LoadReport> report;
  std::string body;  // served: the result; error: the engine's words
};

// The engine side. It never calls back from inside a call of the core's.
class EngineTransport {
 public:
  virtual void send(const AttemptRequest& order) = 0;
  // The core has ended the attempt: it is called off and never reported. True if no byte of it had left.
  virtual bool cancel(AttemptKey key) = 0;
  // The same, but only while no byte of it has left: else it goes on, and false.
  virtual bool cancel_if_unsent(AttemptKey key) = 0;
  virtual void set_priority(AttemptKey key, int rank) = 0;
  virtual void probe(EngineId engine) = 0;
  // An engine's address, also when it changes or its process is a new one: former connections take nothing
  // new.
  virtual void set_engine_address(EngineId engine, const SocketAddress& address) = 0;
  // Its drain's grace is nearly over, or it is gone: what has not begun to leave for it must not leave.
  virtual void stop_new_attempts(EngineId engine) = 0;

 protected:
  ~EngineTransport() = default;
};

// What links ask and report; the core takes reports in at the turn's end.
class EngineTransportCallbacks {
 public:
  // Asked right before its first byte is handed to the kernel; changes nothing. If not, it ends as not sent.
  virtual bool may_start(AttemptKey key) = 0;
  virtual void on_attempt_ended(AttemptKey key, AttemptResult end) = 0;
  virtual void on_attempt_note(AttemptKey key, routing::AttemptUpdateKind kind, double amount) = 0;
  virtual void on_probe_ended(EngineId engine, Outcome outcome, std::optional<LoadReport> report) = 0;

 protected:
  ~EngineTransportCallbacks() = default;
};

// One engine as a directory names it. The id stays with the engine; its address may pass to another.
struct EngineEndpoint {
  std::string id;
  SocketAddress address;
  routing::EngineState state = routing::EngineState::kServing;
  std::string zone, machine_type;
  std::uint32_t cell = 0;
  double weight = 1;
  std::optional<Time> started_at;  // absent: long ago
  bool operator==(const EngineEndpoint&) const = default;
};

}  // namespace rookproxy
