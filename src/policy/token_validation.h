// Validation of a token's header and claims (RFC 7519, 7515, 7517, and the advice of RFC 8725).
//
// Decides from the parsed token, the keys in force and the time; the signature itself is verified elsewhere,
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

// The accepted signature algorithms. Each key is for one of them, whatever a token says (RFC 8725, 3.1).
enum class Algorithm { kEs256, kRs256, kEdDsa };
// The algorithm of that JOSE name, which is case-sensitive; nothing if it is not accepted.
[[nodiscard]] std::optional<Algorithm> parse_algorithm(std::string_view name);
[[nodiscard]] std::string_view algorithm_name(Algorithm algorithm);

// What the key set says of a verification key; the key itself is held elsewhere.
struct KeyMetadata {
  std::string id;
  Algorithm algorithm = Algorithm::kEs256;
  // The key is in force from `not_before` up to, not including, `not_after` ("nbf" and "exp" beside the JWK's
  // own members); absent: unbounded. They let an old and a new key overlap.
  std::optional<Time> not_before;
  std::optional<Time> not_after;
  // Of the public key: a key that returns under the same id with another fingerprint is another key.
  std::string fingerprint;
};

// The header of a token.
struct TokenHeader {
  std::string algorithm;
  std::string key_id;
  std::string type;
  bool has_critical_extension = false;  // "crit", whatever it holds: no extension is supported
  bool has_embedded_key = false;        // "jwk", "jku", "x5u" or "x5c": keys come from the key set alone
};

// The claims of a token that are used here.
struct TokenClaims {
  std::string issuer;
  std::string subject;
  std::string tenant;
  std::string id;
  std::vector<std::string> audience;
  std::vector<std::string> roles;
  // Seconds of Unix time.
  std::optional<double> expires;
  std::optional<double> not_before;
  std::optional<double> issued_at;
};

// What a token has to satisfy, from the operator's file.
struct TokenRules {
  std::vector<std::string> issuers;
  std::string audience;
  Duration leeway{};        // for clocks that differ, applied at either end
  Duration max_lifetime{};  // from "iat" to "exp"; 0: unbounded
};

// Tokens and subjects revoked before their expiry. Both lists are sorted.
struct RevocationList {
  std::vector<std::string> token_ids;  // "jti"
  std::vector<std::string> subjects;   // "sub"

  [[nodiscard]] bool contains(const TokenClaims& claims) const;
};

// A credential that was accepted, with what is needed to validate it again, without another signature check,
// once keys, rules or revocations change.
struct VerifiedCredential {
  Identity identity;
  // Of a token alone.
  TokenClaims claims;
  std::string key_id;
  std::string key_fingerprint;
};

// The key that a token's signature is to be verified with.
struct KeySelection {
  Denial denial = Denial::kNone;
  std::size_t key_index = 0;  // in the list of keys, if nothing is denied
};

[[nodiscard]] KeySelection select_key(const TokenHeader& header, const std::vector<KeyMetadata>& keys,
                                      Time now, Duration leeway);
// Everything but the signature. It is cheap and comes first, so that a token that fails costs no signature
// check.
[[nodiscard]] Denial validate_claims(const TokenClaims& claims, const TokenRules& rules,
                                     const RevocationList& revocations, Time now);
// For a token that was verified before: its key must still be in the set, unchanged, and its claims valid.
[[nodiscard]] KeySelection revalidate_credential(const VerifiedCredential& credential,
                                                 const std::vector<KeyMetadata>& keys,
                                                 const TokenRules& rules, const RevocationList& revocations,
                                                 Time now);
// The identity shown by a token whose signature verified with `key`.
[[nodiscard]] Identity identity_from_claims(const TokenClaims& claims, const TokenRules& rules,
                                            const KeyMetadata& key);

}  // namespace rookproxy::policy
