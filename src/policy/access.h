// Who may do what: caller x class x statement -> allowed, or denied with a reason. Decides from the policy,
// what a credential has proven, what the statement does and the time; knows no wire, no file and no clock.
//
// What counts is what a statement does, not what its sender calls it; whatever can't be made out is denied.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace rookproxy::policy {

// ---- what a statement does (src/sql finds it out)

enum class StatementEffect { kReads, kWrites };

struct StatementAnalysis {
  StatementEffect effect = StatementEffect::kWrites;
  // False: its tables can't all be made out, for `why`.
  bool tables_resolved = false;
  std::string unresolved_reason;
  // Each schema whose tables or functions it names, once; empty text: of a table with no schema known.
  std::vector<std::string> schemas;
};

// ---- the policy, as the operator's file has it

struct Role {
  std::string name;
  std::vector<std::string> classes;  // the classes it may ask for; '*': all
  bool may_write = false;            // may its statements do more than read?
};

struct GroupRange {
  std::uint64_t first = 0, last = 0;  // both within
};

struct Tenant {
  std::string name;
  // Names of schemas; one that ends in '*' stands for all that begin so.
  std::vector<std::string> schemas;
  // If there are any, the number after a schema's last underscore must lie in one of them; schemas that are
  // named in full need none.
  std::vector<GroupRange> groups;
  bool owns_schema(std::string_view schema) const;
};

struct AccessPolicy {
  std::vector<Role> roles;
  std::vector<Tenant> tenants;
  const Role* find_role(std::string_view name) const;
  const Tenant* find_tenant(std::string_view name) const;
};

// ---- the caller

enum class CredentialKind { kNone, kToken, kCertificate, kPassword };

// What a credential has proven. It holds names, not places in a policy, so it outlives one.
struct Identity {
  CredentialKind credential_kind = CredentialKind::kNone;
  std::string subject;
  std::string tenant;
  std::vector<std::string> roles;
  std::optional<Time> not_after;  // with the leeway for clocks; none: it does not end by itself
  std::optional<Time>
      revocation_known_until;  // whether it was revoked is known until then; none: it can't be, or for ever
  std::string credential_id;   // for the audit: a key's id, a certificate's serial; never a secret
};

// A certificate that was verified, as far as decisions go.
struct CertificateInfo {
  std::string subject;                         // as 'CN=a,O=b' (RFC 2253)
  std::vector<std::string> alternative_names;  // its alternative names, as 'URI:...', 'DNS:...', 'email:...'
  std::string serial;                          // hex
  Time not_after{};
};

// ---- the decision

enum class Denial {
  kNone,
  kNoCredentials,         // neither a token nor a certificate was shown
  kMalformed,             // not a token at all, or larger than one may be
  kAlgorithmNotAccepted,  // 'none', an HMAC, or another than its key's
  kCriticalExtension,     // it demands extensions that are not understood
  kUnknownKey,            // no key of that id, or one that is not in force
  kInvalidSignature,      // it does not verify
  kUntrustedIssuer,       // issued by someone else
  kWrongAudience,         // meant for somebody else
  kNoExpiry,              // it names no end, or an impossible one
  kNotYetValid,           // its time has not come
  kExpired,               // its time is over
  kRevoked,               // taken back before its time
  kRevocationUnknown,     // nobody can say whether it was: the list is missing or too old
  kNoSubject,             // it names nobody
  kWrongUser,             // it names another user than the one who logs in
  kUntrustedCertificate,  // its certificate leads to nobody trusted here, or is not for this use
  kUnmappedIdentity,      // its certificate stands for nobody here
  kUnknownTenant,         // of no tenant that is known here
  kNoKnownRole,           // with no role that is known here
  kClassNotAllowed,       // none of its roles may ask for this class
  kWriteNotAllowed,       // none of its roles may write
  kWriteInReadClass,      // it writes, and its class is one for reads
  kUnresolvedTables,      // its tables can't be made out
  kSchemaNotAllowed,      // it names a schema of somebody else's
  kBusy,                  // too many credentials wait to be checked; nothing is said against this one
};
// One word for audits and figures, as 'expired'; a sentence for the client.
std::string_view reason_code(Denial denial);
std::string_view reason_message(Denial denial);
constexpr Denial kFirstDenial = Denial::kNoCredentials, kLastDenial = Denial::kBusy;

// Is the identity still good, and does this policy know it? Independent of what it asks for.
Denial authorize_identity(const AccessPolicy& policy, const Identity& identity, Time now);

struct AccessRequest {
  std::string_view class_name;
  bool class_may_write = false;  // its attempts are never repeated once they may have run
  const StatementAnalysis* statement = nullptr;
};
// May it? `schema` gets the one it stumbled over, if that was it.
Denial authorize(const AccessPolicy& policy, const Identity& identity, const AccessRequest& ask, Time now,
                 std::string* schema = nullptr);
// May it use this schema at all, as the default of a session?
Denial authorize_schema(const AccessPolicy& policy, const Identity& identity, std::string_view schema,
                        Time now);

}  // namespace rookproxy::policy
