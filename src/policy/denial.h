// The reasons for denying a credential or a request, with their codes and messages.
#pragma once

#include <string_view>

namespace rookproxy::policy {

// Why access is denied, in the order of the table of descriptions.
enum class Denial {
  kNone,                  // Access is not denied.
  kNoCredentials,         // Neither a token nor a certificate was presented.
  kMalformed,             // The token cannot be parsed or is too large.
  kAlgorithmNotAccepted,  // The algorithm is "none", an HMAC, or not that of the key.
  kCriticalExtension,     // The token requires an extension that is not supported.
  kUnknownKey,            // No key has that id, or the key is not in force.
  kInvalidSignature,      // The signature does not verify.
  kUntrustedIssuer,       // The issuer is not configured.
  kWrongAudience,         // The token was issued for another audience.
  kNoExpiry,              // The expiry is missing or impossible, or the lifetime is too long.
  kNotYetValid,           // The validity period has not started.
  kExpired,               // The validity period is over.
  kRevoked,               // The credential was revoked before its expiry.
  kRevocationUnknown,     // The revocation list is missing or out of date.
  kNoSubject,             // The credential has no subject.
  kWrongUser,             // The subject of the token is not the user who logs in.
  kUntrustedCertificate,  // The certificate has no trusted issuer, or is not for this use.
  kUnmappedIdentity,      // No identity is configured for this certificate or user.
  kUnknownTenant,         // The tenant is not configured.
  kNoKnownRole,           // None of the roles is configured.
  kClassNotAllowed,       // No role allows requests of this class.
  kWriteNotAllowed,       // No role allows writes in this class.
  kWriteInReadClass,      // The statement writes, and its class is for reads.
  kUnresolvedTables,      // The tables of the statement could not be determined.
  kSchemaNotAllowed,      // The statement uses a schema that the tenant does not own.
  kBusy,                  // Too many credentials are waiting for their check; this one was not checked.
};
constexpr Denial kFirstDenial = Denial::kNoCredentials;
constexpr Denial kLastDenial = Denial::kBusy;

// A short code such as "expired", for audit records, metrics and clients.
[[nodiscard]] std::string_view reason_code(Denial denial);
// A message for clients and the log.
[[nodiscard]] std::string_view reason_message(Denial denial);

}  // namespace rookproxy::policy
