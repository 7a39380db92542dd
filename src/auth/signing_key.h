// The issuer's side, for operators' tools and tests: creates keys, key sets and tokens. A dispatcher signs
// nothing.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "auth/public_key.h"

namespace rookproxy::auth {

// All of these throw KeyError if libcrypto fails or the key is not of an accepted type.

[[nodiscard]] Pkey generate_key(policy::Algorithm algorithm);
// The private key in PKCS #8, PEM.
[[nodiscard]] std::string to_private_pem(evp_pkey_st* key);
[[nodiscard]] Pkey parse_private_pem(const std::string& pem);
// The algorithm that a key of this type signs with.
[[nodiscard]] policy::Algorithm algorithm_of(evp_pkey_st* key);
// The public key as a JSON Web Key with `kid`, `alg` and `use`.
[[nodiscard]] nlohmann::json to_public_jwk(evp_pkey_st* key, const std::string& id);
// The signature of `text` in the form that JOSE gives it.
[[nodiscard]] std::string sign(evp_pkey_st* key, policy::Algorithm algorithm, std::string_view text);
// A whole token. `header` is given `alg` and `kid` where it lacks them.
[[nodiscard]] std::string sign_token(evp_pkey_st* key, const std::string& id, const nlohmann::json& claims,
                                     nlohmann::json header = nlohmann::json::object());

}  // namespace rookproxy::auth
