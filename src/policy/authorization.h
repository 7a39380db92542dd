// Authorization: may this caller send this statement in this request class?
//
// Decides from the access policy, the identity that a credential has shown, the statement's analysis and the
// time, free of I/O. What a statement does counts, not what its sender calls it; what can't be determined is
// denied.
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

// A role of the operator's file: which request classes it may use, and whether it may write.
struct Role {
  std::string name;
  std::vector<std::string> classes;  // "*" stands for all
  bool may_write = false;
};

// An inclusive range of table groups.
struct GroupRange {
  std::uint64_t first = 0;
  std::uint64_t last = 0;
};

// A tenant of the operator's file and the schemas that belong to it.
struct Tenant {
  std::string name;
  // Names of schemas; a trailing "*" matches any suffix.
  std::vector<std::string> schemas;
  // If not empty, the number after the last underscore of a schema that matched by prefix must lie in one of
  // these ranges. Schemas listed by their full name need none.
  std::vector<GroupRange> groups;

  [[nodiscard]] bool owns_schema(std::string_view schema) const;
};

// The roles and tenants of the operator's file.
struct AccessPolicy {
  std::vector<Role> roles;
  std::vector<Tenant> tenants;

  // The role of that name, or null. The pointer is valid until the policy changes.
  [[nodiscard]] const Role* find_role(std::string_view name) const;
  // The tenant of that name, or null. The pointer is valid until the policy changes.
  [[nodiscard]] const Tenant* find_tenant(std::string_view name) const;
};

// A request to be authorized. It refers to its statement's analysis, which must outlive it.
struct AccessRequest {
  std::string_view class_name;
  bool class_may_write = false;  // attempts of such a class are not repeated once they may have run
  const StatementAnalysis* statement = nullptr;
};

// The outcome for one request.
struct Authorization {
  Denial denial = Denial::kNone;
  std::string denied_schema;  // of kSchemaNotAllowed alone
};

// Whether the identity is still valid and known to this policy, whatever it asks for.
[[nodiscard]] Denial authorize_identity(const AccessPolicy& policy, const Identity& identity, Time now);
// Whether the identity may send this request.
[[nodiscard]] Authorization authorize(const AccessPolicy& policy, const Identity& identity,
                                      const AccessRequest& request, Time now);
// Whether the identity may use this schema as its session's default.
[[nodiscard]] Denial authorize_schema(const AccessPolicy& policy, const Identity& identity,
                                      std::string_view schema, Time now);

}  // namespace rookproxy::policy
