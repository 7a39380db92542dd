// Public keys: JSON Web Keys (RFC 7517, 7518 and 8037) and the verification of signatures, by libcrypto.
#pragma once

#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

#include "base/errors.h"
#include "policy/token_validation.h"

struct evp_pkey_st;

namespace rookproxy::auth {

// A key, a key set or one of the operator's files on callers can't be used. The message names the member at
// fault.
struct KeyError : SettingsError {
  using SettingsError::SettingsError;
};

// Frees a key of libcrypto.
struct PkeyDeleter {
  void operator()(evp_pkey_st* key) const;
};
using Pkey = std::unique_ptr<evp_pkey_st, PkeyDeleter>;

// A verification key and what its set says of it.
struct PublicKey {
  policy::KeyMetadata metadata;
  Pkey key;
};

// The id of a JSON Web Key. Throws KeyError if the value is no public signature key or has no usable id.
[[nodiscard]] std::string parse_key_id(const nlohmann::json& jwk);
// A JSON Web Key whose id was read by parse_key_id(). Throws KeyError if the key can't be used.
[[nodiscard]] PublicKey parse_public_key(const nlohmann::json& jwk, std::string id);
// SHA-256 of the key's SubjectPublicKeyInfo, in hexadecimal. Throws KeyError if the key can't be encoded.
[[nodiscard]] std::string public_key_fingerprint(evp_pkey_st* key);
// Whether the signature, in the form that JOSE gives it, is one of `text` by that key.
[[nodiscard]] bool verify_signature(evp_pkey_st* key, policy::Algorithm algorithm, std::string_view text,
                                    std::string_view signature);

}  // namespace rookproxy::auth
