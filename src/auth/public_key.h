// Public keys: parses JSON Web Keys (RFC 7517, 7518 and 8037) and verifies signatures with libcrypto.
#pragma once

#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

#include "base/errors.h"
#include "policy/token_validation.h"

struct evp_pkey_st;

namespace rookproxy::auth {

// A key, a key set or another of the files for access control is invalid. The message names the member at
// fault.
struct KeyError : SettingsError {
  using SettingsError::SettingsError;
};

// Frees a libcrypto key.
struct PkeyDeleter {
  void operator()(evp_pkey_st* key) const;
};
using Pkey = std::unique_ptr<evp_pkey_st, PkeyDeleter>;

// A verification key and its metadata in the set.
struct PublicKey {
  policy::KeyMetadata metadata;
  Pkey key;
};

// The id of a JSON Web Key. Throws KeyError if the value is not a public signature key or has no valid id.
[[nodiscard]] std::string parse_key_id(const nlohmann::json& jwk);
// Parses a JSON Web Key whose id was read by parse_key_id(). Throws KeyError if the key is invalid.
[[nodiscard]] PublicKey parse_public_key(const nlohmann::json& jwk, std::string id);
// SHA-256 of the key's SubjectPublicKeyInfo, in hexadecimal. Throws KeyError if the key can't be encoded.
[[nodiscard]] std::string public_key_fingerprint(evp_pkey_st* key);
// Whether `signature`, in JOSE format, is a valid signature of `text` by that key.
[[nodiscard]] bool verify_signature(evp_pkey_st* key, policy::Algorithm algorithm, std::string_view text,
                                    std::string_view signature);

}  // namespace rookproxy::auth
