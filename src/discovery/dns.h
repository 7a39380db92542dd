// Encodes DNS queries for endpoint lists and parses the responses (RFC 1035). A list consists of SRV records
// (RFC 2782) with the A and TXT records of their targets; its version is the serial of the SOA record.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "dispatcher/engine_endpoint.h"
#include "dispatcher/engine_transport.h"
#include "dispatcher/request.h"
#include "dispatcher/routing_time.h"

namespace rookproxy {

// Encodes a query for the SRV records of `service_name`, whose labels are separated by dots.
std::string encode_dns_query(std::uint16_t query_id, std::string_view service_name);

// Why a response cannot be used; kNone if it can.
enum class DnsError {
  kNone,
  kMismatched,   // It is not a response to this query.
  kTruncated,    // The server truncated it to fit a datagram.
  kServerError,  // The response code is an error.
  kMalformed,    // It cannot be parsed.
  kIncomplete    // A record is missing, so the list may lack a running engine.
};
// Returns the description of the error for log lines.
std::string_view dns_error_text(DnsError error);

// A parsed response; `version` and `endpoints` are valid only if `error` is kNone.
struct DnsResponse {
  DnsError error = DnsError::kNone;
  std::uint32_t version = 0;
  std::vector<EngineEndpoint> endpoints;
};

// Parses the response to the query for `service_name` with that id. Errors in the message are returned, not
// thrown.
[[nodiscard]] DnsResponse parse_dns_response(std::string_view message, std::uint16_t query_id,
                                             std::string_view service_name);

}  // namespace rookproxy
