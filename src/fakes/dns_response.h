/// DNS responses as a service discovery server sends them: one SRV record an engine, with its address and
/// attributes as additional records.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "discovery/dns.h"

namespace rookproxy::test {

/// The response to `query` (a whole DNS message with one question) that lists these endpoints; the SOA
/// record's serial is the list's version.
[[nodiscard]] std::string make_dns_response(std::string_view query, std::uint32_t version,
                                            const std::vector<EngineEndpoint>& endpoints);

}  // namespace rookproxy::test
