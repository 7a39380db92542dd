// Decides whether a caller may send a statement in a request class.
//
// The decision depends on the access policy, the identity established by a credential, the analysis of the
// statement and the time; it performs no I/O. The effect of the statement is taken from its analysis, not
// from the class that the caller states. A statement that cannot be analyzed is denied.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "policy/denial.h"
#include "policy/identity.h"
#include "policy/statement_analysis.h"

namespace rookproxy::policy {

// A configured role: which request classes it may use, and whether it may write.
struct Role {
  std::string name;
  std::vector<std::string> classes;  // "*" matches every class.
  bool may_write = false;
};

// An inclusive range of table groups.
struct GroupRange {
  std::uint64_t first = 0;
  std::uint64_t last = 0;
};

// A configured tenant and the schemas that belong to it.
struct Tenant {
  std::string name;
  // Schema names; a trailing "*" matches any suffix.
  std::vector<std::string> schemas;
  // If not empty, the number after the last underscore of a schema that matched by prefix must be in one of
  // these ranges. Schemas that are listed by their full name are not restricted by them.
  std::vector<GroupRange> groups;

  [[nodiscard]] bool owns_schema(std::string_view schema) const;
};

// The configured roles and tenants.
struct AccessPolicy {
  std::vector<Role> roles;
  std::vector<Tenant> tenants;

  // The role of that name, or null. The pointer is valid until the policy changes.
  [[nodiscard]] const Role* find_role(std::string_view name) const;
  // The tenant of that name, or null. The pointer is valid until the policy changes.
  [[nodiscard]] const Tenant* find_tenant(std::string_view name) const;
};

// A request to be authorized. It refers to the statement's analysis and to texts, which must
// outlive it.
struct AccessRequest {
  std::string_view class_name;
  // Whether the class accepts writes; its attempts are not repeated once they may have run.
  bool class_may_write = false;
  const StatementAnalysis* statement = nullptr;
  // The default schema of the caller's session; empty if it has none.
  std::string_view session_schema;
};

// The result for one request.
struct Authorization {
  Denial denial = Denial::kNone;
  std::string denied_schema;  // Set for kSchemaNotAllowed only.
};

// Checks that the identity is still valid and that the policy has its tenant and one of its roles.
[[nodiscard]] Denial authorize_identity(const AccessPolicy& policy, const Identity& identity, Time now);
// Checks whether the identity may send this request.
[[nodiscard]] Authorization authorize(const AccessPolicy& policy, const Identity& identity,
                                      const AccessRequest& request, Time now);
// Checks whether the identity may use this schema as the default schema of its session.
[[nodiscard]] Denial authorize_schema(const AccessPolicy& policy, const Identity& identity,
                                      std::string_view schema, Time now);

}  // namespace rookproxy::policy
