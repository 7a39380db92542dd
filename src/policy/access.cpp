#include "policy/access.h"

#include <algorithm>
#include <array>

#include "base/numbers.h"

namespace rookproxy::policy {
namespace {

struct DenialDescription {
  Denial denial;
  std::string_view code, message;
};
constexpr std::array<DenialDescription, 26> kDenialDescriptions{{
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

constexpr bool descriptions_are_in_order() {
  for (std::size_t i = 0; i < kDenialDescriptions.size(); ++i) {
    if (static_cast<std::size_t>(kDenialDescriptions[i].denial) != i) return false;
  }
  return true;
}
static_assert(descriptions_are_in_order(), "one row for each denial, in their order");

const DenialDescription& describe(Denial denial) {
  return kDenialDescriptions[static_cast<std::size_t>(denial)];
}

bool allows_class(const Role& role, std::string_view class_name) {
  return std::any_of(role.classes.begin(), role.classes.end(),
                     [&](const std::string& name) { return name == "*" || name == class_name; });
}

}  // namespace

std::string_view reason_code(Denial denial) { return describe(denial).code; }
std::string_view reason_message(Denial denial) { return describe(denial).message; }

bool Tenant::owns_schema(std::string_view schema) const {
  if (schema.empty()) return false;
  bool by_prefix = false;
  for (const std::string& rule : schemas) {
    if (rule == schema) return true;
    if (rule.ends_with('*') && schema.starts_with(std::string_view(rule).substr(0, rule.size() - 1)))
      by_prefix = true;
  }
  if (!by_prefix || groups.empty()) return by_prefix;
  const auto underscore = schema.rfind('_');
  if (underscore == schema.npos) return false;
  const std::string_view digits = schema.substr(underscore + 1);
  // '017' would be group 17 to the dispatcher and another schema to an engine.
  if (digits.size() > 1 && digits.front() == '0') return false;
  const auto group = parse_number<std::uint64_t>(digits);
  return group && std::any_of(groups.begin(), groups.end(), [&](const GroupRange& range) {
           return *group >= range.first && *group <= range.last;
         });
}

const Role* AccessPolicy::find_role(std::string_view name) const {
  const auto found = std::find_if(roles.begin(), roles.end(), [&](const Role& r) { return r.name == name; });
  return found == roles.end() ? nullptr : &*found;
}

const Tenant* AccessPolicy::find_tenant(std::string_view name) const {
  const auto found =
      std::find_if(tenants.begin(), tenants.end(), [&](const Tenant& t) { return t.name == name; });
  return found == tenants.end() ? nullptr : &*found;
}

Denial authorize_identity(const AccessPolicy& policy, const Identity& identity, Time now) {
  if (identity.credential_kind == CredentialKind::kNone) return Denial::kNoCredentials;
  if (identity.subject.empty()) return Denial::kNoSubject;
  if (identity.not_after && now >= *identity.not_after) return Denial::kExpired;
  if (identity.revocation_known_until && now >= *identity.revocation_known_until)
    return Denial::kRevocationUnknown;
  if (!policy.find_tenant(identity.tenant)) return Denial::kUnknownTenant;
  const bool any = std::any_of(identity.roles.begin(), identity.roles.end(),
                               [&](const std::string& name) { return policy.find_role(name) != nullptr; });
  return any ? Denial::kNone : Denial::kNoKnownRole;
}

Denial authorize(const AccessPolicy& policy, const Identity& identity, const AccessRequest& ask, Time now,
                 std::string* schema) {
  if (const Denial denial = authorize_identity(policy, identity, now); denial != Denial::kNone) return denial;
  // One role must allow the whole of it: a student who also writes elsewhere gains no writes in lookups.
  bool class_allowed = false, write_allowed = false;
  const bool writes = ask.statement->effect == StatementEffect::kWrites;
  for (const std::string& name : identity.roles) {
    const Role* role = policy.find_role(name);
    if (!role || !allows_class(*role, ask.class_name)) continue;
    class_allowed = true;
    write_allowed = write_allowed || role->may_write;
  }
  if (!class_allowed) return Denial::kClassNotAllowed;
  if (writes && !ask.class_may_write) return Denial::kWriteInReadClass;
  if (writes && !write_allowed) return Denial::kWriteNotAllowed;
  if (!ask.statement->tables_resolved) return Denial::kUnresolvedTables;
  const Tenant& tenant = *policy.find_tenant(identity.tenant);
  for (const std::string& name : ask.statement->schemas) {
    if (tenant.owns_schema(name)) continue;
    if (name.empty()) return Denial::kUnresolvedTables;
    if (schema) *schema = name;
    return Denial::kSchemaNotAllowed;
  }
  return Denial::kNone;
}

Denial authorize_schema(const AccessPolicy& policy, const Identity& identity, std::string_view schema,
                        Time now) {
  if (const Denial denial = authorize_identity(policy, identity, now); denial != Denial::kNone) return denial;
  return policy.find_tenant(identity.tenant)->owns_schema(schema) ? Denial::kNone : Denial::kSchemaNotAllowed;
}

}  // namespace rookproxy::policy
