// The platform's line protocol between dispatchers and engines (PROTOCOL, "Dispatchers to query engines"):
// the grammar of responses, free of any connection.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "dispatcher/engine_endpoint.h"
#include "dispatcher/engine_transport.h"
#include "dispatcher/request.h"
#include "dispatcher/routing_time.h"

namespace rookproxy {

// One response of an engine; the views point into the bytes it was read from.
struct LineResponse {
  std::string_view id;
  std::string_view kind;
  std::string_view fields;
  std::string_view body;
};

// How far the bytes at the front of a buffer make up a response.
enum class LineParseStatus { kIncomplete, kComplete, kMalformed };

// What parse_line_response() found; `response` and `consumed` mean something only for a complete one.
struct LineParseResult {
  LineParseStatus status = LineParseStatus::kIncomplete;
  LineResponse response;
  std::size_t consumed = 0;  // bytes
};

// Reads one response off the front of `bytes`.
[[nodiscard]] LineParseResult parse_line_response(std::string_view bytes);
// The value of one field in "name=value,name=value"; empty if it is not there.
[[nodiscard]] std::optional<std::string_view> find_line_field(std::string_view fields, std::string_view name);
// A load report, "name:value;name:value". Values that are not numbers are left out; empty if none is left.
[[nodiscard]] std::optional<LoadReport> parse_load_report(std::string_view text);
// The command that starts an attempt; `now` is what its time budget is counted from.
[[nodiscard]] std::string make_line_request(const AttemptRequest& request, Time now);
// The command that changes an attempt's priority.
[[nodiscard]] std::string make_line_priority_change(std::string_view id, int priority);

}  // namespace rookproxy
