// The directory's answers: DNS messages (RFC 1035), with SRV records (RFC 2782) and their A and TXT records.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/interfaces.h"

namespace rookproxy {

std::string dns_query(std::uint16_t id, std::string_view name);

enum class DnsFault { kNone, kForged, kTruncated, kRefused, kMalformed, kIncomplete };
std::string_view dns_fault_text(DnsFault fault);

struct DnsList {
  DnsFault fault = DnsFault::kNone;
  std::uint32_t serial = 0;
  std::vector<Member> members;
};

// Reads the answer to the query for `name` with that id. Only a list without a fault may be believed.
DnsList parse_dns(std::string_view message, std::uint16_t id, std::string_view name);

}  // namespace rookproxy
