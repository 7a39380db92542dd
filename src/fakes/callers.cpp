#include "fakes/callers.h"

#include <chrono>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace rookproxy::test {
namespace {

using nlohmann::json;

double unix_now() {
  return std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
}

}  // namespace

json CredentialFixture::access_section() const {
  return {{"keys", directory_ + "/keys.json"},
          {"revoked", directory_ + "/revoked.json"},
          {"issuers", {"https://id.test"}},
          {"audience", "rookproxy"},
          {"leeway_ms", 0},
          {"poll_ms", 20},
          {"roles",
           {{{"name", "student"}, {"classes", {"lookup"}}},
            {{"name", "officer"}, {"classes", {"*"}}, {"writes", true}}}},
          {"tenants",
           {{{"name", "addis"}, {"schemas", {"sales_*", "school_4"}}, {"groups", {"1-40"}}},
            {{"name", "gondar"}, {"schemas", {"sales_*"}}, {"groups", {"41-60"}}}}},
          {"certificates",
           {{{"name", "URI:urn:test:officer"}, {"tenant", "addis"}, {"roles", {"officer"}}},
            {{"name", "CN=pupil"}, {"tenant", "addis"}, {"roles", {"student"}}}}},
          {"users", {{{"name", "school"}, {"tenant", "addis"}, {"roles", {"officer"}}}}}};
}

void CredentialFixture::write_atomically(const std::string& file, const std::string& text) const {
  const std::string aside = directory_ + "/aside";
  std::ofstream(aside) << text;
  std::filesystem::rename(aside, directory_ + "/" + file);
}

void CredentialFixture::make_key(const std::string& name, const std::string& algorithm) {
  keys_[name] = auth::generate_key(policy::parse_algorithm(algorithm).value());
}

void CredentialFixture::publish_keys(const std::vector<std::string>& specs) const {
  json list = json::array();
  for (const std::string& spec : specs) {
    std::istringstream parts(spec);
    std::string name, from, to;
    std::getline(parts, name, ':');
    std::getline(parts, from, ':');
    std::getline(parts, to);
    json jwk = auth::to_public_jwk(key(name), name);
    if (!from.empty() && from != "-") jwk["nbf"] = unix_now() + std::stod(from);
    if (!to.empty() && to != "-") jwk["exp"] = unix_now() + std::stod(to);
    list.push_back(std::move(jwk));
  }
  write_atomically("keys.json", json{{"keys", list}}.dump());
  if (!std::filesystem::exists(directory_ + "/revoked.json")) write_atomically("revoked.json", "{}");
}

std::string CredentialFixture::mint_token(const std::string& key_name, const std::string& role,
                                          const json& changes) const {
  json claims{
      {"iss", "https://id.test"}, {"aud", "rookproxy"}, {"sub", "s-1"},          {"jti", "j-1"},
      {"tenant", "addis"},        {"roles", {role}},    {"iat", unix_now() - 1}, {"exp", unix_now() + 600}};
  claims.merge_patch(changes);
  for (const char* name : {"exp", "nbf", "iat"}) {
    if (claims.contains(name) && claims[name].is_string())
      claims[name] = unix_now() + std::stod(claims[name].get<std::string>());
  }
  return auth::sign_token(key(key_name), key_name, claims);
}

json CredentialFixture::tls_section(bool frames, const std::string& mysql, const std::string& clients,
                                    bool crl) {
  renew_server_certificate();
  write_atomically("ca.pem", authority_.pem());
  json section{{"certificate", directory_ + "/server.pem"},
               {"key", directory_ + "/server.key"},
               {"client_certificates", clients},
               {"crl_grace_ms", 0},
               {"frames", frames},
               {"mysql", mysql}};
  if (clients != "none") section["client_ca"] = directory_ + "/ca.pem";
  if (!crl) return section;
  publish_crl(-1, 3600);
  section["crl"] = directory_ + "/crl.pem";
  return section;
}

void CredentialFixture::renew_server_certificate() {
  const Certificate server = authority_.issue({"rookproxy", {"IP:127.0.0.1"}, -10, 3600, false});
  write_atomically("server.key", server.private_key_pem());
  write_atomically("server.pem", server.pem());
}

void CredentialFixture::issue_certificate(const std::string& name, const std::string& alternative, int from,
                                          int to, bool by_stranger, bool for_clients) {
  CertificateAuthority& by = by_stranger ? untrusted_authority_ : authority_;
  std::vector<std::string> names;
  if (!alternative.empty()) names.push_back(alternative);
  certificates_[name] = by.issue({name, names, from, to, for_clients});
}

void CredentialFixture::publish_crl(int from, int to) {
  write_atomically("crl.pem", authority_.revocation_list_pem(from, to));
}

void CredentialFixture::revoke_token(const std::string& kind, const std::string& what) {
  revocations_[kind].push_back(what);
  write_atomically("revoked.json", revocations_.dump());
}

}  // namespace rookproxy::test
