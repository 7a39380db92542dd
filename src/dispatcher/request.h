// A client's request and its response, independent of every wire protocol.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "net/slot_map.h"
#include "rookproxy/routing/router.h"

namespace rookproxy {

// Identifies a request in the dispatcher. Keys sort by arrival and are never reused.
using RequestKey = SlotKey;

// What is sent to an engine. Upstream connections read it; the dispatcher only passes it on.
struct Query {
  // Only statements and executions run anything; the platform's protocol has statements alone.
  enum class Kind { kStatement, kPrepare, kExecute, kUseSchema };

  // The client's identifier for the request, passed on unchanged.
  std::string id;
  // The class as the client named it, passed on unchanged.
  std::string class_name;
  // By it engines recognize repeated requests of a keyed class; empty: none.
  std::string idempotency_key;
  // The statement's bytes as they were received.
  std::string statement;
  Kind kind = Kind::kStatement;
  // Parameters of an execution, encoded in the frontend's protocol.
  std::string parameters;
  // Long data of an execution, each with its parameter's number.
  std::vector<std::pair<std::uint16_t, std::string>> long_data;
  // The client's default schema; empty: none.
  std::string schema;
  // An engine that has started a write must not be stopped halfway.
  bool writes = false;
  // Whether the result is wanted as tab-separated lines or as the engine's own packets.
  bool rows_as_text_lines = true;

  // The memory its contents take.
  [[nodiscard]] std::size_t bytes() const {
    std::size_t sum = statement.size() + parameters.size();
    for (const auto& [parameter, data] : long_data) sum += data.size();
    return sum;
  }
};

// A request as a frontend submits it.
struct IncomingRequest {
  std::shared_ptr<const Query> query;
  routing::ClassIndex class_index = 0;
  std::uint64_t table_group = 0;
  // When the client stops waiting.
  Time deadline;
  // Time of one thread.
  std::optional<Duration> estimated_work;
  std::optional<double> estimated_memory_mb;
  // The client marked it as a retry of its own.
  bool is_client_retry = false;
  // The caller's tenant, authenticated or as the request states it; empty: none.
  std::string tenant;
};

// How a request ended for its client.
enum class ResponseStatus { kServed, kRejected, kFailed };

// What a response that was not served is due to.
enum class ResponseCause { kNone, kDecision, kDeadline, kEngineError, kOverloaded, kShuttingDown };

// The one response to a request.
struct Response {
  ResponseStatus status = ResponseStatus::kFailed;
  // Served: the whole result as the upstream connection read it.
  std::string body;
  // Rejected: when the client should try again.
  std::optional<Duration> retry_after;
  // For messages and logs.
  ResponseCause cause = ResponseCause::kNone;
  // Failed by an engine's error: the engine's message, if it sent one.
  std::string detail;

  [[nodiscard]] static Response served(std::string body) {
    return {ResponseStatus::kServed, std::move(body), std::nullopt, ResponseCause::kNone, ""};
  }
  [[nodiscard]] static Response rejected(Duration retry_after, ResponseCause cause) {
    return {ResponseStatus::kRejected, "", retry_after, cause, ""};
  }
  [[nodiscard]] static Response failed(ResponseCause cause) {
    return {ResponseStatus::kFailed, "", std::nullopt, cause, ""};
  }
};

// Receives the responses of the requests it submitted; implemented by frontends.
class ResponseHandler {
 public:
  // `correlation_id` is the number the handler gave when it submitted the request. Returns the status that
  // its client is told, which may differ from the response's: a result may not fit the frontend's protocol.
  virtual ResponseStatus on_response(std::uint64_t correlation_id, Response response) = 0;

 protected:
  ~ResponseHandler() = default;
};

}  // namespace rookproxy
