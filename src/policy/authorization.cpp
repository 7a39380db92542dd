#include "policy/authorization.h"

#include <algorithm>

#include "base/numbers.h"

namespace rookproxy::policy {
namespace {

constexpr std::string_view kEveryClass = "*";

bool allows_class(const Role& role, std::string_view class_name) {
  return std::any_of(role.classes.begin(), role.classes.end(),
                     [&](const std::string& name) { return name == kEveryClass || name == class_name; });
}

// What the roles of a caller allow in one request class.
struct ClassRights {
  bool may_use = false;
  bool may_write = false;
};

// A single role must grant both the class and writes: the right to write in one class does not extend to
// another class.
ClassRights rights_for_class(const AccessPolicy& policy, const Identity& identity,
                             std::string_view class_name) {
  ClassRights rights;
  for (const std::string& name : identity.roles) {
    const Role* role = policy.find_role(name);
    if (!role || !allows_class(*role, class_name)) continue;
    rights.may_use = true;
    rights.may_write = rights.may_write || role->may_write;
  }
  return rights;
}

bool matches_by_prefix(std::string_view pattern, std::string_view schema) {
  return pattern.ends_with('*') && schema.starts_with(pattern.substr(0, pattern.size() - 1));
}

bool is_in_group(const std::vector<GroupRange>& groups, std::string_view schema) {
  const auto underscore = schema.rfind('_');
  if (underscore == schema.npos) return false;
  const std::string_view digits = schema.substr(underscore + 1);
  // For engines "marks_017" and "marks_17" are different schemas, so a group has no leading zeros.
  if (digits.size() > 1 && digits.front() == '0') return false;
  const auto group = parse_number<std::uint64_t>(digits);
  return group && std::any_of(groups.begin(), groups.end(), [&](const GroupRange& range) {
           return *group >= range.first && *group <= range.last;
         });
}

}  // namespace

bool Tenant::owns_schema(std::string_view schema) const {
  if (schema.empty()) return false;
  bool by_prefix = false;
  for (const std::string& pattern : schemas) {
    if (pattern == schema) return true;
    if (matches_by_prefix(pattern, schema)) by_prefix = true;
  }
  if (!by_prefix || groups.empty()) return by_prefix;
  return is_in_group(groups, schema);
}

const Role* AccessPolicy::find_role(std::string_view name) const {
  const auto found =
      std::find_if(roles.begin(), roles.end(), [&](const Role& role) { return role.name == name; });
  return found == roles.end() ? nullptr : &*found;
}

const Tenant* AccessPolicy::find_tenant(std::string_view name) const {
  const auto found =
      std::find_if(tenants.begin(), tenants.end(), [&](const Tenant& tenant) { return tenant.name == name; });
  return found == tenants.end() ? nullptr : &*found;
}

Denial authorize_identity(const AccessPolicy& policy, const Identity& identity, Time now) {
  if (identity.credential_kind == CredentialKind::kNone) return Denial::kNoCredentials;
  if (identity.subject.empty()) return Denial::kNoSubject;
  if (identity.not_after && now >= *identity.not_after) return Denial::kExpired;
  if (identity.revocation_known_until && now >= *identity.revocation_known_until) {
    return Denial::kRevocationUnknown;
  }
  if (!policy.find_tenant(identity.tenant)) return Denial::kUnknownTenant;
  const bool has_known_role =
      std::any_of(identity.roles.begin(), identity.roles.end(),
                  [&](const std::string& name) { return policy.find_role(name) != nullptr; });
  return has_known_role ? Denial::kNone : Denial::kNoKnownRole;
}

Authorization authorize(const AccessPolicy& policy, const Identity& identity, const AccessRequest& request,
                        Time now) {
  const Denial identity_denial = authorize_identity(policy, identity, now);
  if (identity_denial != Denial::kNone) return {identity_denial, ""};
  const ClassRights rights = rights_for_class(policy, identity, request.class_name);
  const bool writes = request.statement->effect == StatementEffect::kWrites;
  if (!rights.may_use) return {Denial::kClassNotAllowed, ""};
  if (writes && !request.class_may_write) return {Denial::kWriteInReadClass, ""};
  if (writes && !rights.may_write) return {Denial::kWriteNotAllowed, ""};
  if (!request.statement->tables_resolved) return {Denial::kUnresolvedTables, ""};
  const Tenant& tenant = *policy.find_tenant(identity.tenant);
  for (const std::string_view used_schema : request.statement->schemas) {
    const std::string_view schema = used_schema == kSessionSchema ? request.session_schema : used_schema;
    if (tenant.owns_schema(schema)) continue;
    if (schema.empty()) return {Denial::kUnresolvedTables, ""};
    return {Denial::kSchemaNotAllowed, std::string(schema)};
  }
  return {};
}

Denial authorize_schema(const AccessPolicy& policy, const Identity& identity, std::string_view schema,
                        Time now) {
  const Denial denial = authorize_identity(policy, identity, now);
  if (denial != Denial::kNone) return denial;
  return policy.find_tenant(identity.tenant)->owns_schema(schema) ? Denial::kNone : Denial::kSchemaNotAllowed;
}

}  // namespace rookproxy::policy
