#include <set>

#include "base/numbers.h"
#include "config/reader.h"

namespace rookproxy {
namespace {

std::vector<std::string> texts(const nlohmann::json& list) { return list.get<std::vector<std::string>>(); }

policy::GroupRange group_range(const std::string& text, const std::string& path) {
  const auto dash = text.find('-');
  const auto first = parse_number<std::uint64_t>(std::string_view(text).substr(0, dash));
  const auto last =
      dash == text.npos ? first : parse_number<std::uint64_t>(std::string_view(text).substr(dash + 1));
  if (!first || !last || *first > *last) throw ConfigError(path, "no range like 1-40 ('" + text + "')");
  return {*first, *last};
}

}  // namespace

// The schema has seen to types and bounds; what is checked here is how the parts hang together.
auth::AuthSettings read_access(const nlohmann::json& section, const routing::Settings& settings) {
  check_schema(section, "access");
  const ConfigReader reader(section, "access");
  auth::AuthSettings access;
  access.keys_file = reader.text_or("keys", "");
  access.revocation_file = reader.text_or("revoked", "");
  if (reader.has("issuers")) access.token_rules.issuers = texts(reader.required("issuers"));
  access.token_rules.audience = reader.text_or("audience", "");
  if (!access.keys_file.empty()) {
    reader.required("issuers");
    reader.required("audience");
  } else if (!reader.has("users") && !reader.has("certificates")) {
    throw ConfigError("access.keys",
                      "missing, and neither users nor certificates are named: nobody could call");
  }
  access.token_rules.leeway = reader.milliseconds_or("leeway_ms", std::chrono::seconds(5), 0);
  if (reader.has("longest_life_ms"))
    access.token_rules.max_lifetime =
        std::chrono::milliseconds(reader.required("longest_life_ms").get<std::int64_t>());
  access.token_field = reader.text_or("token_field", access.token_field);
  access.claim_names.tenant = reader.text_or("tenant_claim", access.claim_names.tenant);
  access.claim_names.roles = reader.text_or("roles_claim", access.claim_names.roles);
  access.token_cache_limits.max_entries =
      static_cast<std::size_t>(reader.integer_or("cache_entries", 10'000, 0, 1'000'000));
  if (reader.has("check_share"))
    access.check_queue_limits.cpu_share = reader.number("check_share", 0.01, 0.9);

  std::size_t number = 0;
  for (const auto& one : reader.required("roles")) {
    const std::string path = "access.roles." + std::to_string(number++);
    policy::Role role{one.at("name"), texts(one.at("classes")), one.value("writes", false)};
    if (access.policy.find_role(role.name))
      throw ConfigError(path + ".name", "there twice ('" + role.name + "')");
    for (const auto& name : role.classes) {
      const bool known = name == "*" || std::any_of(settings.classes.begin(), settings.classes.end(),
                                                    [&](const auto& cls) { return cls.name == name; });
      if (!known) throw ConfigError(path + ".classes", "no class '" + name + "' in settings.grades");
    }
    access.policy.roles.push_back(std::move(role));
  }
  number = 0;
  for (const auto& one : reader.required("tenants")) {
    const std::string path = "access.tenants." + std::to_string(number++);
    policy::Tenant tenant{one.at("name"), texts(one.at("schemas")), {}};
    if (access.policy.find_tenant(tenant.name))
      throw ConfigError(path + ".name", "there twice ('" + tenant.name + "')");
    for (const auto& range : one.value("groups", nlohmann::json::array()))
      tenant.groups.push_back(group_range(range.get<std::string>(), path + ".groups"));
    access.policy.tenants.push_back(std::move(tenant));
  }
  const auto standings = [&](const char* key) {
    std::map<std::string, auth::IdentityMapping> list;
    if (!reader.has(key)) return list;
    std::size_t at = 0;
    for (const auto& one : reader.required(key)) {
      const std::string path = std::string("access.") + key + "." + std::to_string(at++);
      auth::IdentityMapping standing{one.at("tenant"), texts(one.at("roles"))};
      if (!access.policy.find_tenant(standing.tenant))
        throw ConfigError(path + ".tenant", "no tenant '" + standing.tenant + "' in access.tenants");
      for (const auto& role : standing.roles) {
        if (!access.policy.find_role(role))
          throw ConfigError(path + ".roles", "no role '" + role + "' in access.roles");
      }
      const std::string name = one.at("name");
      if (!list.emplace(name, std::move(standing)).second)
        throw ConfigError(path + ".name", "there twice ('" + name + "')");
    }
    return list;
  };
  access.users = standings("users");
  access.certificates = standings("certificates");
  return access;
}

TlsConfig read_tls(const nlohmann::json& section) {
  check_schema(section, "tls");
  const ConfigReader reader(section, "tls");
  TlsConfig config;
  tls::ServerSettings& server = config.server;
  server.certificate = reader.text("certificate");
  server.key = reader.text("key");
  server.client_ca = reader.text_or("client_ca", "");
  server.crl = reader.text_or("crl", "");
  server.crl_grace_period = reader.milliseconds_or("crl_grace_ms", std::chrono::hours(1), 0);
  server.clock_leeway = reader.milliseconds_or("leeway_ms", std::chrono::seconds(5), 0);
  const std::string clients = reader.text_or("client_certificates", "none");
  if (clients == "optional") server.client_certificates = tls::ClientCertificates::kOptional;
  if (clients == "required") server.client_certificates = tls::ClientCertificates::kRequired;
  if (clients != "none") reader.required("client_ca");
  if (clients == "none" && !server.crl.empty())
    throw ConfigError("tls.crl", "no client certificates are asked for (client_certificates)");
  config.frames = section.value("frames", false);
  const std::string mysql = reader.text_or("mysql", "off");
  if (mysql == "optional") config.mysql = TlsConfig::MysqlMode::kOptional;
  if (mysql == "required") config.mysql = TlsConfig::MysqlMode::kRequired;
  if (!config.frames && mysql == "off") throw ConfigError("tls", "for neither front: set frames or mysql");
  return config;
}

}  // namespace rookproxy
