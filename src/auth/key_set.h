// A JSON Web Key Set (RFC 7517) of verification keys.
#pragma once

#include <cstddef>
#include <memory>
#include <string_view>
#include <vector>

#include "auth/public_key.h"
#include "policy/token_validation.h"

namespace rookproxy::auth {

// The public keys of one set. Immutable after parsing.
class KeySet {
 public:
  // Parses a set. Throws KeyError, which names the member at fault, if any key is not public, not usable for
  // signatures, of an unknown type, too weak (RSA below 2,048 bits), without an id, or has the same id as
  // another.
  [[nodiscard]] static KeySet parse(std::string_view jwks);

  [[nodiscard]] const std::vector<policy::KeyMetadata>& metadata() const { return metadata_; }
  // Verifies the signature of `text` with the key at that index of metadata(). The signature is in JOSE
  // format (ES256: r and s, 32 bytes each).
  [[nodiscard]] bool verify(std::size_t key_index, std::string_view text, std::string_view signature) const;

 private:
  void add(const nlohmann::json& jwk);

  std::vector<policy::KeyMetadata> metadata_;
  std::vector<std::shared_ptr<evp_pkey_st>> keys_;
};

}  // namespace rookproxy::auth
