// A client's request and its response, independent of wire protocols.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "net/slot_map.h"
#include "policy/memory_ledger.h"
#include "rookproxy/routing/router.h"

namespace rookproxy {

// Identifies a request in the dispatcher. Keys increase in the order of arrival and are never reused.
using RequestKey = SlotKey;

// The query to be sent to an engine. Engine connections read it; the dispatcher only passes it on.
struct Query {
  // Only statements and executions run on an engine. The platform's protocol has statements only.
  enum class Kind { kStatement, kPrepare, kExecute, kUseSchema };

  // The client's id of the request, passed on unchanged.
  std::string id;
  // The class as stated by the client, passed on unchanged.
  std::string class_name;
  // The key by which engines recognize repeated requests of a keyed class; empty: none.
  std::string idempotency_key;
  // The client's id as a number, if the client may send it again and the request must not run twice.
  std::optional<std::uint64_t> execution_id;
  // The bytes of the statement as received.
  std::string statement;
  Kind kind = Kind::kStatement;
  // Parameters of an execution, encoded in the frontend's protocol.
  std::string parameters;
  // Long data of an execution, with the number of its parameter.
  std::vector<std::pair<std::uint16_t, std::string>> long_data;
  // The client's default schema; empty: none.
  std::string schema;
  // Whether it may write; an engine must not be stopped while it runs a write.
  bool writes = false;
  // Whether its class allows it to run any number of times.
  bool is_idempotent = false;
  // Whether the result is returned as tab-separated lines or as the engine's packets.
  bool rows_as_text_lines = true;
  // What its contents hold, from its submission until the last connection to an engine has sent it.
  policy::MemoryHolding memory;

  // The size of its contents.
  [[nodiscard]] std::size_t bytes() const {
    std::size_t sum = statement.size() + parameters.size();
    for (const auto& [parameter, data] : long_data) sum += data.size();
    return sum;
  }
};

// A request as submitted by a frontend.
struct IncomingRequest {
  std::shared_ptr<Query> query;
  routing::ClassIndex class_index = 0;
  std::uint64_t table_group = 0;
  // When the client stops waiting.
  Time deadline;
  // The CPU time of a single thread.
  std::optional<Duration> estimated_work;
  std::optional<double> estimated_memory_mb;
  // Whether the client marked it as a retry.
  bool is_client_retry = false;
  // The client's tenant, as authenticated or as stated in the request; empty: none.
  std::string tenant;
};

// The status of a response for the client.
enum class ResponseStatus { kServed, kRejected, kFailed };

// Why a request was not served.
enum class ResponseCause { kNone, kDecision, kDeadline, kEngineError, kOverloaded, kShuttingDown, kRepeated };

// The one response to a request.
struct Response {
  ResponseStatus status = ResponseStatus::kFailed;
  // The complete result of a served request, as read by the engine connection.
  std::string body;
  // The time after which the client of a rejected request should try again.
  std::optional<Duration> retry_after;
  // The cause, for messages and logs.
  ResponseCause cause = ResponseCause::kNone;
  // The engine's message for a request that failed with an engine error, if there is one.
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
  // `correlation_id` is the number that the handler passed to Dispatcher::submit(). Returns the status sent
  // to the client, which differs from that of the response if the result does not fit the frontend's
  // protocol.
  virtual ResponseStatus on_response(std::uint64_t correlation_id, Response response) = 0;

 protected:
  ~ResponseHandler() = default;
};

}  // namespace rookproxy
