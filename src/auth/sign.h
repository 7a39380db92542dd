// The other side, for operators and tests: making keys, sets of them, and tokens. No dispatcher signs
// anything.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "auth/keys.h"

namespace rookproxy::auth {

Pkey generate_key(policy::Algorithm algorithm);
// PKCS #8 in PEM. Reading throws KeyError.
std::string to_private_pem(evp_pkey_st* key);
Pkey parse_private_pem(const std::string& pem);
policy::Algorithm algorithm_of(evp_pkey_st* key);
// The public part as a JWK with `kid`, `alg` and `use`.
nlohmann::json to_public_jwk(evp_pkey_st* key, const std::string& id);
std::string sign(evp_pkey_st* key, policy::Algorithm algorithm, std::string_view text);
// A whole token. `header` gets `alg` and `kid` where it has none.
std::string sign_token(evp_pkey_st* key, const std::string& id, const nlohmann::json& claims,
                       nlohmann::json header = nlohmann::json::object());

}  // namespace rookproxy::auth
