// Parses tokens: JWS compact serialization (RFC 7515, section 7.1) with the claims of a JWT (RFC 7519).
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "policy/token_validation.h"

namespace rookproxy::auth {

// Longer tokens are rejected.
constexpr std::size_t kMaxTokenBytes = 8UL * 1024;

// The names of the claims that hold the caller's tenant and roles.
struct ClaimNames {
  std::string tenant = "tenant";
  std::string roles = "roles";
};

// A parsed token that has not been validated.
struct Jwt {
  policy::TokenHeader header;
  policy::TokenClaims claims;
  std::string_view signing_input;  // Refers to the text of the token.
  std::string signature;           // Decoded from base64url.
};

// Parses a token. Returns nothing if it is malformed. The result refers to `token`.
[[nodiscard]] std::optional<Jwt> parse_jwt(std::string_view token, const ClaimNames& names);

}  // namespace rookproxy::auth
