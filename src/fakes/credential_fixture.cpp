#include "fakes/credential_fixture.h"

#include <chrono>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace rookproxy::test {
namespace {

using nlohmann::json;

double unix_now() {
  return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

// Adds a time claim, given in seconds from now. Adds nothing if the text is "-" or empty.
void add_time_claim(json& claims, const char* name, const std::string& seconds_from_now) {
  if (seconds_from_now.empty() || seconds_from_now == "-") return;
  claims[name] = unix_now() + std::stod(seconds_from_now);
}

}  // namespace

json CredentialFixture::access_section() const {
  const json roles{{{"name", "student"}, {"classes", {"lookup"}}},
                   {{"name", "officer"}, {"classes", {"*"}}, {"writes", true}}};
  const json tenants{{{"name", "addis"}, {"schemas", {"sales_*", "school_4"}}, {"groups", {"1-40"}}},
                     {{"name", "gondar"}, {"schemas", {"sales_*"}}, {"groups", {"41-60"}}}};
  const json certificates{{{"name", "URI:urn:test:officer"}, {"tenant", "addis"}, {"roles", {"officer"}}},
                          {{"name", "CN=pupil"}, {"tenant", "addis"}, {"roles", {"student"}}}};
  return {{"keys", path_of("keys.json")},
          {"revoked", path_of("revoked.json")},
          {"issuers", {"https://id.test"}},
          {"audience", "rookproxy"},
          {"leeway_ms", 0},
          {"poll_ms", 20},
          {"roles", roles},
          {"tenants", tenants},
          {"certificates", certificates},
          {"users", {{{"name", "school"}, {"tenant", "addis"}, {"roles", {"officer"}}}}}};
}

// Renames the new file into place, so that a reader never sees a partial file.
void CredentialFixture::replace_file(const std::string& file, const std::string& text) const {
  const std::string new_file = path_of("aside");
  std::ofstream(new_file) << text;
  std::filesystem::rename(new_file, path_of(file));
}

void CredentialFixture::make_key(const std::string& name, const std::string& algorithm) {
  keys_[name] = auth::generate_key(policy::parse_algorithm(algorithm).value());
}

void CredentialFixture::publish_keys(const std::vector<std::string>& specs) const {
  json list = json::array();
  for (const std::string& spec : specs) {
    std::istringstream parts(spec);
    std::string name;
    std::string not_before;
    std::string expiry;
    std::getline(parts, name, ':');
    std::getline(parts, not_before, ':');
    std::getline(parts, expiry);
    json jwk = auth::to_public_jwk(key(name), name);
    add_time_claim(jwk, "nbf", not_before);
    add_time_claim(jwk, "exp", expiry);
    list.push_back(std::move(jwk));
  }
  replace_file("keys.json", json{{"keys", list}}.dump());
  if (!std::filesystem::exists(path_of("revoked.json"))) replace_file("revoked.json", "{}");
}

std::string CredentialFixture::mint_token(const std::string& key_name, const std::string& role,
                                          const json& changes) const {
  json claims{
      {"iss", "https://id.test"}, {"aud", "rookproxy"}, {"sub", "s-1"},          {"jti", "j-1"},
      {"tenant", "addis"},        {"roles", {role}},    {"iat", unix_now() - 1}, {"exp", unix_now() + 600}};
  claims.merge_patch(changes);
  for (const char* name : {"exp", "nbf", "iat"}) {
    if (!claims.contains(name) || !claims[name].is_string()) continue;
    claims[name] = unix_now() + std::stod(claims[name].get<std::string>());
  }
  return auth::sign_token(key(key_name), key_name, claims);
}

json CredentialFixture::tls_section(const TlsOptions& options) {
  renew_server_certificate();
  replace_file("ca.pem", authority_.pem());
  json section{{"certificate", path_of("server.pem")},
               {"key", path_of("server.key")},
               {"client_certificates", options.client_certificates},
               {"crl_grace_ms", 0},
               {"frames", options.frames_enabled},
               {"mysql", options.mysql_mode}};
  if (options.client_certificates != "none") section["client_ca"] = path_of("ca.pem");
  if (options.has_revocation_list) {
    publish_revocation_list();
    section["crl"] = path_of("crl.pem");
  }
  return section;
}

void CredentialFixture::renew_server_certificate() {
  const Certificate server =
      authority_.issue({"rookproxy", {"IP:127.0.0.1"}, {}, CertificateRequest::Usage::kServer});
  replace_file("server.key", server.private_key_pem());
  replace_file("server.pem", server.pem());
}

void CredentialFixture::issue_certificate(const ClientCertificateRequest& request) {
  CertificateAuthority& issuer = request.is_from_untrusted_authority ? untrusted_authority_ : authority_;
  std::vector<std::string> alternative_names;
  if (!request.alternative_name.empty()) alternative_names.push_back(request.alternative_name);
  certificates_[request.name] =
      issuer.issue({request.name, alternative_names, request.validity, request.usage});
}

void CredentialFixture::publish_revocation_list(const ValidityPeriod& validity) {
  replace_file("crl.pem", authority_.revocation_list_pem(validity));
}

void CredentialFixture::revoke_token(const std::string& kind, const std::string& value) {
  revocations_[kind].push_back(value);
  replace_file("revoked.json", revocations_.dump());
}

}  // namespace rookproxy::test
