// Is a token good? From what it says (already read), the keys in force and the time; the signature itself is
// checked elsewhere, in between. RFC 7519 (JWT), 7515 (JWS), 7517 (JWK), and RFC 8725's advice.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "policy/access.h"

namespace rookproxy::policy {

// The algorithms that are taken. Each key is for one of them, whatever a token says (RFC 8725, 3.1).
enum class Algorithm { kEs256, kRs256, kEdDsa };
std::optional<Algorithm> parse_algorithm(std::string_view name);
std::string_view algorithm_name(Algorithm algorithm);

// A verification key as its set tells of it; the key itself is elsewhere.
struct KeyMetadata {
  std::string id;
  Algorithm algorithm = Algorithm::kEs256;
  // In force from the first to before the second ("nbf" and "exp" beside the JWK's own members). They let the
  // old and the new key overlap; none: no bound.
  std::optional<Time> not_before, not_after;
  std::string fingerprint;  // of its public part: a key that comes back changed under its id is another one
};

struct TokenHeader {
  std::string algorithm, key_id, type;
  bool has_critical_extension = false;  // "crit", whatever is in it: no extension is understood here
  bool has_embedded_key = false;        // "jwk", "jku", "x5u", "x5c": keys come from the set alone
};

struct TokenClaims {
  std::string issuer, subject, tenant, id;
  std::vector<std::string> audience, roles;
  std::optional<double> expires, not_before, issued_at;  // seconds of Unix time
};

struct TokenRules {
  std::vector<std::string> issuers;
  std::string audience;
  Duration leeway{};        // for clocks that differ, at either end
  Duration max_lifetime{};  // from "iat" to "exp" at most; 0: no bound
};

// Tokens and subjects that were taken back before their time.
struct RevocationList {
  std::vector<std::string> token_ids;  // by "jti", sorted
  std::vector<std::string> subjects;   // sorted
  bool contains(const TokenClaims& claims) const;
};

// Which key the token's signature is to be checked with: its place in `keys`, or why there is none.
struct KeySelection {
  Denial denial = Denial::kNone;
  std::size_t key_index = 0;
};
KeySelection select_key(const TokenHeader& header, const std::vector<KeyMetadata>& keys, Time now,
                        Duration leeway);

// Everything but the signature. It is cheap, so it comes first: what fails here costs no check.
Denial validate_claims(const TokenClaims& claims, const TokenRules& rules, const RevocationList& revoked,
                       Time now);
// A credential that was found good, and by what: enough to judge it anew when keys, rules or revocations
// change, with no signature to check again.
struct VerifiedCredential {
  Identity identity;
  TokenClaims claims;                   // of a token
  std::string key_id, key_fingerprint;  // likewise
};
// A token's that was proven before: its key must be in the set, unchanged, and what it says must still do.
// `key` gets the key's place.
Denial revalidate_credential(const VerifiedCredential& proven, const std::vector<KeyMetadata>& keys,
                             const TokenRules& rules, const RevocationList& revoked, Time now,
                             std::size_t* key);
// What a token whose signature verified has proven.
Identity identity_from_claims(const TokenClaims& claims, const TokenRules& rules, const KeyMetadata& key);

}  // namespace rookproxy::policy
