// Keys, sets of them and tokens for scenarios and tests, made in the test.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "auth/signing_key.h"
#include "fakes/authority.h"

namespace rookproxy::test {

class CredentialFixture {
 public:
  explicit CredentialFixture(std::string folder) : directory_(std::move(folder)) {}
  // [access] with students, teachers and officers of the tenants addis (schemas sales_1 to sales_40) and
  // gondar (sales_41 to sales_60), whose files lie in the folder.
  nlohmann::json access_section() const;
  void make_key(const std::string& name, const std::string& algorithm);
  // The set of these keys, renamed into place. `spec`: a key's name, or name:NBF:EXP in seconds from now
  // ('-': none).
  void publish_keys(const std::vector<std::string>& specs) const;
  // `changes`: a merge patch for the claims; a text like "+3" under exp, nbf or iat is seconds from now.
  std::string mint_token(const std::string& key, const std::string& role,
                         const nlohmann::json& changes = nlohmann::json::object()) const;
  void revoke_token(const std::string& kind, const std::string& what);
  // [tls] for both fronts as far as there are any; clients' certificates as said, and a list if `crl`. Makes
  // the authority's and the server's files.
  nlohmann::json tls_section(bool frames, const std::string& mysql, const std::string& clients, bool crl);
  // A client's certificate; `name` is its common name, `alternative` may be empty.
  void issue_certificate(const std::string& name, const std::string& alternative, int from, int to,
                         bool by_stranger, bool for_clients);
  const Certificate& certificate(const std::string& name) const { return certificates_.at(name); }
  void publish_crl(int from, int to);  // its times, in seconds from now
  void revoke_certificate(const std::string& name) { authority_.revoke(certificate(name)); }
  void renew_server_certificate();  // another certificate and key in place of the server's
  evp_pkey_st* key(const std::string& name) const { return keys_.at(name).get(); }

 private:
  void write_atomically(const std::string& file, const std::string& text) const;
  std::string directory_;
  CertificateAuthority authority_{"Test CA"}, untrusted_authority_{"Test CA"};
  std::map<std::string, Certificate> certificates_;
  std::map<std::string, auth::Pkey> keys_;
  nlohmann::json revocations_ = nlohmann::json::object();
};

}  // namespace rookproxy::test
