#include "policy/token_validation.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace rookproxy::policy {
namespace {

// A time in the year 2514. Later ones are treated as invalid, so that no conversion to microseconds overflows
// 64 bits.
constexpr double kMaxUnixSeconds = 17'179'869'184.0;
constexpr double kMicrosecondsPerSecond = 1e6;

std::optional<Time> time_from_unix_seconds(std::optional<double> seconds) {
  if (!seconds || !std::isfinite(*seconds)) return std::nullopt;
  if (*seconds < 0 || *seconds > kMaxUnixSeconds) return std::nullopt;
  return Time(Duration(static_cast<std::int64_t>(*seconds * kMicrosecondsPerSecond)));
}

bool contains_value(const std::vector<std::string>& values, std::string_view value) {
  return std::find(values.begin(), values.end(), value) != values.end();
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
  if (!claims.id.empty() && std::binary_search(token_ids.begin(), token_ids.end(), claims.id)) return true;
  return std::binary_search(subjects.begin(), subjects.end(), claims.subject);
}

KeySelection select_key(const TokenHeader& header, const std::vector<KeyMetadata>& keys, Time now,
                        Duration leeway) {
  const auto algorithm = parse_algorithm(header.algorithm);
  if (!algorithm) return {Denial::kAlgorithmNotAccepted, 0};
  if (header.has_critical_extension) return {Denial::kCriticalExtension, 0};
  if (header.has_embedded_key) return {Denial::kUnknownKey, 0};
  for (std::size_t index = 0; index < keys.size(); ++index) {
    const KeyMetadata& key = keys[index];
    if (key.id != header.key_id) continue;
    if (key.algorithm != *algorithm) return {Denial::kAlgorithmNotAccepted, 0};
    if (key.not_before && now + leeway < *key.not_before) return {Denial::kUnknownKey, 0};
    if (key.not_after && now >= *key.not_after + leeway) return {Denial::kUnknownKey, 0};
    return {Denial::kNone, index};
  }
  return {Denial::kUnknownKey, 0};
}

Denial validate_claims(const TokenClaims& claims, const TokenRules& rules, const RevocationList& revocations,
                       Time now) {
  if (!contains_value(rules.issuers, claims.issuer)) return Denial::kUntrustedIssuer;
  if (!contains_value(claims.audience, rules.audience)) return Denial::kWrongAudience;
  const auto expires = time_from_unix_seconds(claims.expires);
  if (!expires) return Denial::kNoExpiry;
  if (now >= *expires + rules.leeway) return Denial::kExpired;
  // A claim with an invalid time must not be treated as absent.
  const auto not_before = time_from_unix_seconds(claims.not_before);
  const auto issued_at = time_from_unix_seconds(claims.issued_at);
  if (claims.not_before && (!not_before || now + rules.leeway < *not_before)) return Denial::kNotYetValid;
  if (claims.issued_at && (!issued_at || now + rules.leeway < *issued_at)) return Denial::kNotYetValid;
  const bool has_max_lifetime = rules.max_lifetime > Duration(0);
  if (has_max_lifetime && (!issued_at || *expires - *issued_at > rules.max_lifetime)) {
    return Denial::kNoExpiry;
  }
  if (claims.subject.empty()) return Denial::kNoSubject;
  if (revocations.contains(claims)) return Denial::kRevoked;
  return Denial::kNone;
}

KeySelection revalidate_credential(const VerifiedCredential& credential, const std::vector<KeyMetadata>& keys,
                                   const TokenRules& rules, const RevocationList& revocations, Time now) {
  const auto key = std::find_if(keys.begin(), keys.end(), [&](const KeyMetadata& candidate) {
    return candidate.id == credential.key_id && candidate.fingerprint == credential.key_fingerprint;
  });
  if (key == keys.end()) return {Denial::kUnknownKey, 0};
  const Denial denial = validate_claims(credential.claims, rules, revocations, now);
  return {denial, static_cast<std::size_t>(key - keys.begin())};
}

Identity identity_from_claims(const TokenClaims& claims, const TokenRules& rules, const KeyMetadata& key) {
  Identity identity;
  identity.credential_kind = CredentialKind::kToken;
  identity.subject = claims.subject;
  identity.tenant = claims.tenant;
  identity.roles = claims.roles;
  if (const auto expires = time_from_unix_seconds(claims.expires)) {
    identity.not_after = *expires + rules.leeway;
  }
  // A token does not outlive the key that signed it.
  if (key.not_after) {
    const Time key_end = *key.not_after + rules.leeway;
    identity.not_after = std::min(identity.not_after.value_or(key_end), key_end);
  }
  identity.credential_id = key.id;
  return identity;
}

}  // namespace rookproxy::policy
