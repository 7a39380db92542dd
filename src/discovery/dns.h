// Endpoint lists as DNS messages (RFC 1035): SRV records (RFC 2782) with the A and TXT records of their
// targets, and the list's version in the SOA record's serial.
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

/// Encodes the query for the SRV records of `service_name`, whose labels are separated by dots.
std::string encode_dns_query(std::uint16_t query_id, std::string_view service_name);

/// Why a response cannot be used; kNone if it can.
enum class DnsError {
  kNone,
  kMismatched,   // not a response to this query
  kTruncated,    // the server cut it to fit a datagram
  kServerError,  // its response code is an error
  kMalformed,    // it cannot be read to its end
  kIncomplete    // a record is missing, so the list may lack an engine that runs
};
/// The error in words, for log lines.
std::string_view dns_error_text(DnsError error);

/// A parsed response; `version` and `endpoints` count only if `error` is kNone.
struct DnsResponse {
  DnsError error = DnsError::kNone;
  std::uint32_t version = 0;
  std::vector<EngineEndpoint> endpoints;
};

/// Parses the response to the query for `service_name` with that id. Never throws for what a message holds.
[[nodiscard]] DnsResponse parse_dns_response(std::string_view message, std::uint16_t query_id,
                                             std::string_view service_name);

}  // namespace rookproxy
