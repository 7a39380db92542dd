// Validation of a token's header and claims (RFC 7519, 7515, 7517, and the advice of RFC 8725).
//
// The decisions depend on the parsed token, the keys in force and the time. The caller verifies the signature
// between select_key() and identity_from_claims().
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "policy/denial.h"
#include "policy/identity.h"

namespace rookproxy::policy {

// The accepted signature algorithms. Each key is used with one of them only, whatever the token states (RFC
// 8725, 3.1).
enum class Algorithm { kEs256, kRs256, kEdDsa };
// Returns the algorithm with that JOSE name, which is case-sensitive; nothing if it is not accepted.
[[nodiscard]] std::optional<Algorithm> parse_algorithm(std::string_view name);
[[nodiscard]] std::string_view algorithm_name(Algorithm algorithm);

// The metadata of a verification key in the key set; the key itself is stored elsewhere.
struct KeyMetadata {
  std::string id;
  Algorithm algorithm = Algorithm::kEs256;
  // The key is in force from `not_before` (inclusive) to `not_after` (exclusive), the additional JWK members
  // "nbf" and "exp"; absent: unbounded. The validity periods of an old and a new key may overlap.
  std::optional<Time> not_before;
  std::optional<Time> not_after;
  // The fingerprint of the public key. A key with the same id and another fingerprint is a different key.
  std::string fingerprint;
};

// The header of a token.
struct TokenHeader {
  std::string algorithm;
  std::string key_id;
  std::string type;
  // Whether it has a "crit" parameter; no extensions are supported.
  bool has_critical_extension = false;
  // Whether it has a "jwk", "jku", "x5u" or "x5c" parameter; only keys of the key set are accepted.
  bool has_embedded_key = false;
};

// The claims of a token that the dispatcher uses.
struct TokenClaims {
  std::string issuer;
  std::string subject;
  std::string tenant;
  std::string id;
  std::vector<std::string> audience;
  std::vector<std::string> roles;
  // Times in seconds since the Unix epoch.
  std::optional<double> expires;
  std::optional<double> not_before;
  std::optional<double> issued_at;
};

// The configured requirements for tokens.
struct TokenRules {
  std::vector<std::string> issuers;
  std::string audience;
  // Allows for clock differences at both ends of a validity period.
  Duration leeway{};
  // The longest time from "iat" to "exp"; 0: unbounded.
  Duration max_lifetime{};
};

// Tokens and subjects revoked before their expiry. Both lists are sorted.
struct RevocationList {
  std::vector<std::string> token_ids;  // Values of "jti".
  std::vector<std::string> subjects;   // Values of "sub".

  [[nodiscard]] bool contains(const TokenClaims& claims) const;
};

// An accepted credential, with the data to validate it again without another signature check when keys, rules
// or revocations change.
struct VerifiedCredential {
  Identity identity;
  // The following members are set for tokens only.
  TokenClaims claims;
  std::string key_id;
  std::string key_fingerprint;
};

// The key to verify a token's signature with.
struct KeySelection {
  Denial denial = Denial::kNone;
  // The index in the list of keys, if `denial` is kNone.
  std::size_t key_index = 0;
};

// Selects the key that the token's header names, or returns why the header is not accepted.
[[nodiscard]] KeySelection select_key(const TokenHeader& header, const std::vector<KeyMetadata>& keys,
                                      Time now, Duration leeway);
// Validates everything but the signature. To be called before the signature check, which costs more.
[[nodiscard]] Denial validate_claims(const TokenClaims& claims, const TokenRules& rules,
                                     const RevocationList& revocations, Time now);
// Validates a token whose signature was verified before: its key must still be in the key set, unchanged, and
// its claims must be valid.
[[nodiscard]] KeySelection revalidate_credential(const VerifiedCredential& credential,
                                                 const std::vector<KeyMetadata>& keys,
                                                 const TokenRules& rules, const RevocationList& revocations,
                                                 Time now);
// Returns the identity established by a token whose signature was verified with `key`.
[[nodiscard]] Identity identity_from_claims(const TokenClaims& claims, const TokenRules& rules,
                                            const KeyMetadata& key);

}  // namespace rookproxy::policy
