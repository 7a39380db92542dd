// The directory's answers: DNS messages (RFC 1035), with SRV records (RFC 2782) and their A and TXT records.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dispatcher/interfaces.h"

namespace rookproxy {

std::string encode_dns_query(std::uint16_t id, std::string_view name);

enum class DnsError { kNone, kMismatched, kTruncated, kServerError, kMalformed, kIncomplete };
std::string_view dns_error_text(DnsError fault);

struct DnsResponse {
  DnsError error = DnsError::kNone;
  std::uint32_t version = 0;
  std::vector<EngineEndpoint> endpoints;
};

// Reads the answer to the query for `name` with that id. Only a list without a fault may be believed.
DnsResponse parse_dns_response(std::string_view message, std::uint16_t id, std::string_view name);

}  // namespace rookproxy
