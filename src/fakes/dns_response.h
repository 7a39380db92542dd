// Creates DNS responses of a service discovery server, with one SRV record per engine and the engine's
// address and attributes as additional records.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "discovery/dns.h"

namespace rookproxy::test {

// Returns a response to `query`, a complete DNS message with one question, that lists the endpoints. The
// serial of the SOA record is the version of the list.
[[nodiscard]] std::string make_dns_response(std::string_view query, std::uint32_t version,
                                            const std::vector<EngineEndpoint>& endpoints);

}  // namespace rookproxy::test
