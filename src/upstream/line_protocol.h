// Parses and formats messages of the line protocol between dispatchers and engines (PROTOCOL, "Dispatchers to
// query engines"), without any I/O.
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

// One response of an engine. The views point into the bytes that it was parsed from.
struct LineResponse {
  std::string_view id;
  std::string_view kind;
  std::string_view fields;
  std::string_view body;
};

// Tells whether a buffer begins with a complete response.
enum class LineParseStatus { kIncomplete, kComplete, kMalformed };

// The result of parse_line_response(). `response` and `consumed` are set only for a complete response.
struct LineParseResult {
  LineParseStatus status = LineParseStatus::kIncomplete;
  LineResponse response;
  // The size of the response in bytes.
  std::size_t consumed = 0;
};

// Parses one response at the front of `bytes`.
[[nodiscard]] LineParseResult parse_line_response(std::string_view bytes);
// Returns the value of a field in "name=value,name=value"; empty if there is no such field.
[[nodiscard]] std::optional<std::string_view> find_line_field(std::string_view fields, std::string_view name);
// Parses a load report, "name:value;name:value". Ignores values that are not numbers. Returns an empty result
// if no value is left.
[[nodiscard]] std::optional<LoadReport> parse_load_report(std::string_view text);
// Formats the command that starts an attempt. Its time budget is counted from `now`.
[[nodiscard]] std::string make_line_request(const AttemptRequest& request, Time now);
// Formats the command that changes an attempt's priority.
[[nodiscard]] std::string make_line_priority_change(std::string_view id, int priority);

}  // namespace rookproxy
