#include "policy/token.h"

#include <algorithm>
#include <cmath>

namespace rookproxy::policy {
namespace {

// Seconds beyond this (the year 2514) would overflow microseconds sooner or later, and mean nothing.
constexpr double kMaxUnixSeconds = 17'179'869'184.0;

std::optional<Time> time_from_unix_seconds(std::optional<double> seconds) {
  if (!seconds || !std::isfinite(*seconds) || *seconds < 0 || *seconds > kMaxUnixSeconds) return std::nullopt;
  return Time(Duration(static_cast<std::int64_t>(*seconds * 1e6)));
}

bool contains_value(const std::vector<std::string>& list, std::string_view one) {
  return std::find(list.begin(), list.end(), one) != list.end();
}

}  // namespace

std::optional<Algorithm> parse_algorithm(std::string_view name) {
  if (name == "ES256") return Algorithm::kEs256;
  if (name == "RS256") return Algorithm::kRs256;
  if (name == "EdDSA") return Algorithm::kEdDsa;
  return std::nullopt;
}

std::string_view algorithm_name(Algorithm algorithm) {
  switch (algorithm) {
    case Algorithm::kEs256:
      return "ES256";
    case Algorithm::kRs256:
      return "RS256";
    case Algorithm::kEdDsa:
      return "EdDSA";
  }
  return "";
}

bool RevocationList::contains(const TokenClaims& claims) const {
  return (!claims.id.empty() && std::binary_search(token_ids.begin(), token_ids.end(), claims.id)) ||
         std::binary_search(subjects.begin(), subjects.end(), claims.subject);
}

KeySelection select_key(const TokenHeader& header, const std::vector<KeyMetadata>& keys, Time now,
                        Duration leeway) {
  const auto algorithm = parse_algorithm(header.algorithm);
  if (!algorithm) return {Denial::kAlgorithmNotAccepted, 0};
  if (header.has_critical_extension) return {Denial::kCriticalExtension, 0};
  if (header.has_embedded_key) return {Denial::kUnknownKey, 0};
  for (std::size_t i = 0; i < keys.size(); ++i) {
    const KeyMetadata& key = keys[i];
    if (key.id != header.key_id) continue;
    if (key.algorithm != *algorithm) return {Denial::kAlgorithmNotAccepted, 0};
    if (key.not_before && now + leeway < *key.not_before) return {Denial::kUnknownKey, 0};
    if (key.not_after && now >= *key.not_after + leeway) return {Denial::kUnknownKey, 0};
    return {Denial::kNone, i};
  }
  return {Denial::kUnknownKey, 0};
}

Denial validate_claims(const TokenClaims& claims, const TokenRules& rules, const RevocationList& revoked,
                       Time now) {
  if (!contains_value(rules.issuers, claims.issuer)) return Denial::kUntrustedIssuer;
  if (!contains_value(claims.audience, rules.audience)) return Denial::kWrongAudience;
  const auto expires = time_from_unix_seconds(claims.expires);
  if (!expires) return Denial::kNoExpiry;
  if (now >= *expires + rules.leeway) return Denial::kExpired;
  // A time that is there and can't be is no absence of one.
  const auto not_before = time_from_unix_seconds(claims.not_before),
             issued = time_from_unix_seconds(claims.issued_at);
  if (claims.not_before && (!not_before || now + rules.leeway < *not_before)) return Denial::kNotYetValid;
  if (claims.issued_at && (!issued || now + rules.leeway < *issued)) return Denial::kNotYetValid;
  if (rules.max_lifetime > Duration(0) && (!issued || *expires - *issued > rules.max_lifetime)) {
    return Denial::kNoExpiry;
  }
  if (claims.subject.empty()) return Denial::kNoSubject;
  if (revoked.contains(claims)) return Denial::kRevoked;
  return Denial::kNone;
}

Denial revalidate_credential(const VerifiedCredential& proven, const std::vector<KeyMetadata>& keys,
                             const TokenRules& rules, const RevocationList& revoked, Time now,
                             std::size_t* key) {
  const auto found = std::find_if(keys.begin(), keys.end(), [&](const KeyMetadata& one) {
    return one.id == proven.key_id && one.fingerprint == proven.key_fingerprint;
  });
  if (found == keys.end()) return Denial::kUnknownKey;
  *key = static_cast<std::size_t>(found - keys.begin());
  return validate_claims(proven.claims, rules, revoked, now);
}

Identity identity_from_claims(const TokenClaims& claims, const TokenRules& rules, const KeyMetadata& key) {
  Identity identity;
  identity.credential_kind = CredentialKind::kToken;
  identity.subject = claims.subject;
  identity.tenant = claims.tenant;
  identity.roles = claims.roles;
  if (const auto expires = time_from_unix_seconds(claims.expires))
    identity.not_after = *expires + rules.leeway;
  // A token is good no longer than the key that signed it.
  if (key.not_after) {
    const Time end = *key.not_after + rules.leeway;
    identity.not_after = std::min(identity.not_after.value_or(end), end);
  }
  identity.credential_id = key.id;
  return identity;
}

}  // namespace rookproxy::policy
