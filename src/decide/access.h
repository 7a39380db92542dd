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

namespace rookproxy::decide {

// ---- what a statement does (src/sql finds it out)

enum class StatementEffect { kReads, kWrites };

struct StatementFacts {
  StatementEffect effect = StatementEffect::kWrites;
  // False: its tables can't all be made out, for `why`.
  bool tables_known = false;
  std::string why;
  // Each schema whose tables or functions it names, once; empty text: of a table with no schema known.
  std::vector<std::string> schemas;
};

// ---- the policy, as the operator's file has it

struct Role {
  std::string name;
  std::vector<std::string> classes;  // the classes it may ask for; '*': all
  bool writes = false;               // may its statements do more than read?
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
  bool owns(std::string_view schema) const;
};

struct Policy {
  std::vector<Role> roles;
  std::vector<Tenant> tenants;
  const Role* role(std::string_view name) const;
  const Tenant* tenant(std::string_view name) const;
};

// ---- the caller

enum class Credential { kNone, kToken, kCertificate, kPassword };

// What a credential has proven. It holds names, not places in a policy, so it outlives one.
struct Identity {
  Credential by = Credential::kNone;
  std::string subject;
  std::string tenant;
  std::vector<std::string> roles;
  std::optional<Time> not_after;  // with the leeway for clocks; none: it does not end by itself
  std::optional<Time>
      known_until;         // whether it was revoked is known until then; none: it can't be, or for ever
  std::string credential;  // for the audit: a key's id, a certificate's serial; never a secret
};

// A certificate that was verified, as far as decisions go.
struct CertificateFacts {
  std::string subject;             // as 'CN=a,O=b' (RFC 2253)
  std::vector<std::string> names;  // its alternative names, as 'URI:...', 'DNS:...', 'email:...'
  std::string serial;              // hex
  Time not_after{};
};

// ---- the decision

enum class Denial {
  kNone,
  kNoCredentials,      // neither a token nor a certificate was shown
  kMalformed,          // not a token at all, or larger than one may be
  kAlgorithm,          // 'none', an HMAC, or another than its key's
  kCritical,           // it demands extensions that are not understood
  kUnknownKey,         // no key of that id, or one that is not in force
  kSignature,          // it does not verify
  kIssuer,             // issued by someone else
  kAudience,           // meant for somebody else
  kNoExpiry,           // it names no end, or an impossible one
  kNotYet,             // its time has not come
  kExpired,            // its time is over
  kRevoked,            // taken back before its time
  kRevocationUnknown,  // nobody can say whether it was: the list is missing or too old
  kNoSubject,          // it names nobody
  kWrongUser,          // it names another user than the one who logs in
  kUntrusted,          // its certificate leads to nobody trusted here, or is not for this use
  kUnmapped,           // its certificate stands for nobody here
  kTenant,             // of no tenant that is known here
  kNoRole,             // with no role that is known here
  kClass,              // none of its roles may ask for this class
  kWrite,              // none of its roles may write
  kWriteAsRead,        // it writes, and its class is one for reads
  kTables,             // its tables can't be made out
  kSchema,             // it names a schema of somebody else's
  kBusy,               // too many credentials wait to be checked; nothing is said against this one
};
// One word for audits and figures, as 'expired'; a sentence for the client.
std::string_view denial_word(Denial denial);
std::string_view denial_text(Denial denial);
constexpr Denial kFirstDenial = Denial::kNoCredentials, kLastDenial = Denial::kBusy;

// Is the identity still good, and does this policy know it? Independent of what it asks for.
Denial judge_identity(const Policy& policy, const Identity& identity, Time now);

struct Ask {
  std::string_view class_name;
  bool class_may_write = false;  // its attempts are never repeated once they may have run
  const StatementFacts* facts = nullptr;
};
// May it? `schema` gets the one it stumbled over, if that was it.
Denial judge_ask(const Policy& policy, const Identity& identity, const Ask& ask, Time now,
                 std::string* schema = nullptr);
// May it use this schema at all, as the default of a session?
Denial judge_schema(const Policy& policy, const Identity& identity, std::string_view schema, Time now);

}  // namespace rookproxy::decide
