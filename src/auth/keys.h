// Verification keys: a JSON Web Key Set (RFC 7517) and signatures checked with its keys, by libcrypto.
#pragma once

#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "base/errors.h"
#include "policy/token.h"

struct evp_pkey_st;

namespace rookproxy::auth {

// What is wrong with a key or a set, in words that name the member at fault.
struct KeyError : SettingsError {
  using SettingsError::SettingsError;
};

struct PkeyDeleter {
  void operator()(evp_pkey_st* key) const;
};
using Pkey = std::unique_ptr<evp_pkey_st, PkeyDeleter>;

class KeySet {
 public:
  // Throws KeyError: on a key that is not public, not usable for signatures, of an unknown kind, too weak
  // (RSA under 2,048 bits), without an id, or with another's. A set is taken whole or not at all.
  static KeySet parse(std::string_view jwks);
  const std::vector<policy::KeyMetadata>& metadata() const { return metadata_; }
  // `signature` as JOSE has it (ES256: r and s, 32 bytes each).
  bool verify(std::size_t key, std::string_view text, std::string_view signature) const;

 private:
  std::vector<policy::KeyMetadata> metadata_;
  std::vector<std::shared_ptr<evp_pkey_st>> keys_;
};

// SHA-256 over the key's SubjectPublicKeyInfo, in hex.
std::string public_key_fingerprint(evp_pkey_st* key);

}  // namespace rookproxy::auth
