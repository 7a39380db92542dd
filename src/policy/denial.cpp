#include "policy/denial.h"

#include <array>
#include <cstddef>

namespace rookproxy::policy {
namespace {

struct Description {
  Denial denial;
  std::string_view code;
  std::string_view message;
};

constexpr std::array<Description, 26> kDescriptions{{
    {Denial::kNone, "none", "allowed"},
    {Denial::kNoCredentials, "no_credentials", "no token and no certificate was shown"},
    {Denial::kMalformed, "malformed", "the token can't be read"},
    {Denial::kAlgorithmNotAccepted, "algorithm", "the token's algorithm is not taken for its key"},
    {Denial::kCriticalExtension, "critical", "the token demands extensions that are not understood here"},
    {Denial::kUnknownKey, "unknown_key", "the token names no key that is in force"},
    {Denial::kInvalidSignature, "signature", "the token's signature does not verify"},
    {Denial::kUntrustedIssuer, "issuer", "the token is of an issuer that is not trusted here"},
    {Denial::kWrongAudience, "audience", "the token is meant for somebody else"},
    {Denial::kNoExpiry, "no_expiry", "the token names no end"},
    {Denial::kNotYetValid, "not_yet", "the token's time has not come"},
    {Denial::kExpired, "expired", "the credential has expired: go on with a fresh one"},
    {Denial::kRevoked, "revoked", "the credential was revoked"},
    {Denial::kRevocationUnknown, "revocation_unknown", "nobody can tell whether the credential was revoked"},
    {Denial::kNoSubject, "no_subject", "the credential names nobody"},
    {Denial::kWrongUser, "wrong_user", "the token is another user's"},
    {Denial::kUntrustedCertificate, "untrusted", "the certificate is not trusted here"},
    {Denial::kUnmappedIdentity, "unmapped", "the certificate stands for nobody here"},
    {Denial::kUnknownTenant, "tenant", "the caller's tenant is not known here"},
    {Denial::kNoKnownRole, "no_role", "the caller has no role that is known here"},
    {Denial::kClassNotAllowed, "class", "the caller may not ask for this class"},
    {Denial::kWriteNotAllowed, "write", "the caller may only read"},
    {Denial::kWriteInReadClass, "write_as_read", "the statement does more than read, in a class for reads"},
    {Denial::kUnresolvedTables, "tables", "the statement's tables can't be made out"},
    {Denial::kSchemaNotAllowed, "schema", "the statement names data that is not the caller's"},
    {Denial::kBusy, "busy", "too many credentials wait to be checked"},
}};

constexpr bool rows_are_in_order() {
  for (std::size_t row = 0; row < kDescriptions.size(); ++row) {
    if (static_cast<std::size_t>(kDescriptions[row].denial) != row) return false;
  }
  return true;
}
static_assert(rows_are_in_order(), "one row for each denial, in the order of the enumeration");

const Description& description_of(Denial denial) { return kDescriptions[static_cast<std::size_t>(denial)]; }

}  // namespace

std::string_view reason_code(Denial denial) { return description_of(denial).code; }

std::string_view reason_message(Denial denial) { return description_of(denial).message; }

}  // namespace rookproxy::policy
