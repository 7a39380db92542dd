// Creates keys, key sets and tokens, for operators' tools and tests. A dispatcher only verifies signatures.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "auth/public_key.h"

namespace rookproxy::auth {

// All functions throw KeyError if libcrypto fails or the key is not of an accepted type.

[[nodiscard]] Pkey generate_key(policy::Algorithm algorithm);
// The private key in PKCS #8, PEM.
[[nodiscard]] std::string to_private_pem(evp_pkey_st* key);
[[nodiscard]] Pkey parse_private_pem(const std::string& pem);
// The signature algorithm for a key of this type.
[[nodiscard]] policy::Algorithm algorithm_of(evp_pkey_st* key);
// The public key as a JSON Web Key with `kid`, `alg` and `use`.
[[nodiscard]] nlohmann::json to_public_jwk(evp_pkey_st* key, const std::string& id);
// The signature of `text`, in JOSE format.
[[nodiscard]] std::string sign(evp_pkey_st* key, policy::Algorithm algorithm, std::string_view text);
// A signed token. `alg` and `kid` are added to `header` if they are missing.
[[nodiscard]] std::string sign_token(evp_pkey_st* key, const std::string& id, const nlohmann::json& claims,
                                     nlohmann::json header = nlohmann::json::object());

}  // namespace rookproxy::auth
