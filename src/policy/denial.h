// The reasons for which a credential or a request is refused, and how they are shown.
#pragma once

#include <string_view>

namespace rookproxy::policy {

// Why access is denied. The order is that of the table of descriptions.
enum class Denial {
  kNone,                  // nothing is denied
  kNoCredentials,         // neither a token nor a certificate was presented
  kMalformed,             // not a token, or larger than a token may be
  kAlgorithmNotAccepted,  // "none", an HMAC, or an algorithm other than that of the key
  kCriticalExtension,     // the token requires an extension that is not supported
  kUnknownKey,            // no key has that id, or the key is not in force
  kInvalidSignature,      // the signature does not verify
  kUntrustedIssuer,       // issued by an issuer that is not configured
  kWrongAudience,         // intended for another audience
  kNoExpiry,              // without an expiry, or with an impossible one
  kNotYetValid,           // its validity has not started
  kExpired,               // its validity has ended
  kRevoked,               // revoked before its expiry
  kRevocationUnknown,     // the revocation list is missing or out of date
  kNoSubject,             // without a subject
  kWrongUser,             // its subject is not the user who logs in
  kUntrustedCertificate,  // the certificate has no trusted issuer, or is not for this use
  kUnmappedIdentity,      // no identity is configured for this certificate or user
  kUnknownTenant,         // the tenant is not configured
  kNoKnownRole,           // none of the roles is configured
  kClassNotAllowed,       // no role allows requests of this class
  kWriteNotAllowed,       // no role allows writes
  kWriteInReadClass,      // the statement writes, and its class is for reads
  kUnresolvedTables,      // the statement's tables could not be determined
  kSchemaNotAllowed,      // the statement names a schema that the tenant does not own
  kBusy,                  // too many credentials wait to be checked; says nothing against this one
};
constexpr Denial kFirstDenial = Denial::kNoCredentials;
constexpr Denial kLastDenial = Denial::kBusy;

// A short code, as "expired", for audit records, metrics and clients.
[[nodiscard]] std::string_view reason_code(Denial denial);
// A sentence for the client and the log.
[[nodiscard]] std::string_view reason_message(Denial denial);

}  // namespace rookproxy::policy
