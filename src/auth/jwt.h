// A token's text taken apart: JWS in compact form (RFC 7515, 7.1) with a JWT's claims (RFC 7519).
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "policy/token.h"

namespace rookproxy::auth {

// Longer ones are not looked into.
constexpr std::size_t kMaxTokenBytes = 8 * 1024;

// Under which names a token says whose its subject is and what it may do.
struct ClaimNames {
  std::string tenant = "tenant", roles = "roles";
};

struct Jwt {
  policy::TokenHeader header;
  policy::TokenClaims claims;
  std::string_view signing_input;  // of the token that was read
  std::string signature;
};
// Nothing if anything in it is not as it must be; what it says is not judged here.
std::optional<Jwt> parse_jwt(std::string_view token, const ClaimNames& names);

}  // namespace rookproxy::auth
