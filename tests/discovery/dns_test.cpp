// Tests the parsing of valid, mismatched, truncated and damaged DNS responses.
#include <catch2/catch.hpp>
#include <string>
#include <string_view>

#include "discovery/dns.h"
#include "fakes/dns_response.h"
#include "support/damaged_input.h"

namespace rookproxy {
namespace {

TEST_CASE("dns: a complete response with compressed names is parsed") {
  EngineEndpoint a;
  a.id = "s-00c41f7a";
  a.address = {0x0a010009, 8443};
  a.zone = "east";
  a.machine_type = "std";
  EngineEndpoint b = a;
  b.id = "s-2";
  b.state = routing::EngineState::kDraining;
  const std::string name = "_app._tcp.cluster.lan";
  const std::string query = encode_dns_query(77, name);
  const std::string message = test::make_dns_response(query, 9, {a, b});
  const DnsResponse response = parse_dns_response(message, 77, name);
  REQUIRE(response.error == DnsError::kNone);
  CHECK(response.version == 9);
  REQUIRE(response.endpoints.size() == 2);
  CHECK(response.endpoints[0] == a);
  CHECK(response.endpoints[1].state == routing::EngineState::kDraining);

  SECTION("a response to another query, and a query, are mismatched") {
    CHECK(parse_dns_response(message, 78, name).error == DnsError::kMismatched);
    CHECK(parse_dns_response(message, 77, "_app._tcp.other.lan").error == DnsError::kMismatched);
    CHECK(parse_dns_response(query, 77, name).error == DnsError::kMismatched);
  }
  SECTION("truncated responses and server errors are reported as errors") {
    std::string changed = message;
    changed[2] = static_cast<char>(changed[2] | 2);
    CHECK(parse_dns_response(changed, 77, name).error == DnsError::kTruncated);
    changed = message;
    changed[3] = 2;
    CHECK(parse_dns_response(changed, 77, name).error == DnsError::kServerError);
    for (std::size_t cut = 0; cut < message.size(); ++cut) {
      CHECK(parse_dns_response(std::string_view(message).substr(0, cut), 77, name).error != DnsError::kNone);
    }
  }
  SECTION("a response without an address or a version is incomplete") {
    std::string changed = message;
    changed[11] = 0;  // No additional records, so no addresses.
    CHECK(parse_dns_response(changed, 77, name).error == DnsError::kIncomplete);
    changed[9] = 0;  // No SOA record either.
    CHECK(parse_dns_response(changed, 77, name).error == DnsError::kIncomplete);
  }
  SECTION("compression pointers in a loop are malformed") {
    std::string loop = query;
    loop[2] = static_cast<char>(0x84);
    loop[7] = 1;
    loop += std::string("\xc0\x21\0\x21\0\1\0\0\0\0\0\0", 12);
    CHECK(parse_dns_response(loop, 77, name).error == DnsError::kMalformed);
  }
  SECTION("damaged responses never crash") {
    test::parse_damaged(message,
                        [&](const std::string& bytes) { (void)parse_dns_response(bytes, 77, name); });
  }
}

}  // namespace
}  // namespace rookproxy
