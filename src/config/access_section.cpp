// The section [access]: callers, and what their roles and tenants permit. The schema checks types and bounds;
// the code here checks references between the parts.
#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>
#include <utility>

#include "base/numbers.h"
#include "config/sections.h"

namespace rookproxy {
namespace {

using nlohmann::json;
using IdentityMappings = std::map<std::string, auth::IdentityMapping>;

std::vector<std::string> string_list(const json& list) { return list.get<std::vector<std::string>>(); }

policy::GroupRange read_group_range(const std::string& text, const std::string& path) {
  const std::string_view view = text;
  const std::size_t dash = view.find('-');
  const auto first = parse_number<std::uint64_t>(view.substr(0, dash));
  const auto last =
      dash == std::string_view::npos ? first : parse_number<std::uint64_t>(view.substr(dash + 1));
  if (!first || !last || *first > *last) throw ConfigError(path, "not a range like 1-40 ('" + text + "')");
  return {*first, *last};
}

// The requirements on tokens. Without `keys`, tokens are not accepted, so there must be users or
// certificates.
void read_token_rules(const ConfigReader& reader, auth::AuthSettings& access) {
  access.keys_file = reader.text_or("keys", "");
  access.revocation_file = reader.text_or("revoked", "");
  if (reader.has("issuers")) access.token_rules.issuers = string_list(reader.required("issuers"));
  access.token_rules.audience = reader.text_or("audience", "");
  if (!access.keys_file.empty()) {
    static_cast<void>(reader.required("issuers"));
    static_cast<void>(reader.required("audience"));
  } else if (!reader.has("users") && !reader.has("certificates")) {
    throw ConfigError("access.keys",
                      "missing, and there are neither users nor certificates: no caller could authenticate");
  }
  access.token_rules.leeway = reader.milliseconds_or("leeway_ms", std::chrono::seconds(5), 0);
  if (reader.has("longest_life_ms")) {
    const auto milliseconds = reader.required("longest_life_ms").get<std::int64_t>();
    access.token_rules.max_lifetime = std::chrono::milliseconds(milliseconds);
  }
  access.token_field = reader.text_or("token_field", access.token_field);
  access.claim_names.tenant = reader.text_or("tenant_claim", access.claim_names.tenant);
  access.claim_names.roles = reader.text_or("roles_claim", access.claim_names.roles);
}

void read_check_limits(const ConfigReader& reader, auth::AuthSettings& access) {
  access.token_cache_limits.max_entries =
      static_cast<std::size_t>(reader.integer_or("cache_entries", 10'000, 0, 1'000'000));
  if (!reader.has("check_share")) return;
  access.check_queue_limits.cpu_share = reader.number("check_share", 0.01, 0.9);
}

void read_roles(const json& roles, const routing::Settings& settings, policy::AccessPolicy& policy) {
  const auto is_class = [&](const std::string& name) {
    return std::any_of(settings.classes.begin(), settings.classes.end(),
                       [&](const routing::ClassSettings& known) { return known.name == name; });
  };
  std::size_t number = 0;
  for (const json& entry : roles) {
    const std::string path = "access.roles." + std::to_string(number++);
    policy::Role role{entry.at("name"), string_list(entry.at("classes")), entry.value("writes", false)};
    if (policy.find_role(role.name)) throw ConfigError(path + ".name", "appears twice ('" + role.name + "')");
    for (const std::string& name : role.classes) {
      if (name == "*" || is_class(name)) continue;
      throw ConfigError(path + ".classes", "no class '" + name + "' in settings.grades");
    }
    policy.roles.push_back(std::move(role));
  }
}

void read_tenants(const json& tenants, policy::AccessPolicy& policy) {
  std::size_t number = 0;
  for (const json& entry : tenants) {
    const std::string path = "access.tenants." + std::to_string(number++);
    policy::Tenant tenant{entry.at("name"), string_list(entry.at("schemas")), {}};
    if (policy.find_tenant(tenant.name)) {
      throw ConfigError(path + ".name", "appears twice ('" + tenant.name + "')");
    }
    for (const json& range : entry.value("groups", json::array())) {
      tenant.groups.push_back(read_group_range(range.get<std::string>(), path + ".groups"));
    }
    policy.tenants.push_back(std::move(tenant));
  }
}

// Reads `users` or `certificates`: the tenant and roles of each name.
IdentityMappings read_mappings(const ConfigReader& reader, const std::string& key,
                               const policy::AccessPolicy& policy) {
  IdentityMappings mappings;
  if (!reader.has(key)) return mappings;
  std::size_t number = 0;
  for (const json& entry : reader.required(key)) {
    const std::string path = "access." + key + "." + std::to_string(number++);
    auth::IdentityMapping mapping{entry.at("tenant"), string_list(entry.at("roles"))};
    if (!policy.find_tenant(mapping.tenant)) {
      throw ConfigError(path + ".tenant", "no tenant '" + mapping.tenant + "' in access.tenants");
    }
    for (const std::string& role : mapping.roles) {
      if (policy.find_role(role)) continue;
      throw ConfigError(path + ".roles", "no role '" + role + "' in access.roles");
    }
    const std::string name = entry.at("name");
    const bool is_new = mappings.emplace(name, std::move(mapping)).second;
    if (!is_new) throw ConfigError(path + ".name", "appears twice ('" + name + "')");
  }
  return mappings;
}

}  // namespace

auth::AuthSettings read_access(const json& section, const routing::Settings& settings) {
  check_schema(section, "access");
  const ConfigReader reader(section, "access");
  auth::AuthSettings access;
  read_token_rules(reader, access);
  read_check_limits(reader, access);
  read_roles(reader.required("roles"), settings, access.policy);
  read_tenants(reader.required("tenants"), access.policy);
  access.users = read_mappings(reader, "users", access.policy);
  access.certificates = read_mappings(reader, "certificates", access.policy);
  return access;
}

}  // namespace rookproxy
