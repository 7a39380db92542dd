// Creates keys, tokens, certificates and the configuration that trusts them for a test.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "auth/signing_key.h"
#include "fakes/certificate_authority.h"

namespace rookproxy::test {

// Writes the files of an [access] and a [tls] section into a directory and creates matching credentials. Not
// thread-safe.
class CredentialFixture {
 public:
  // Options of a [tls] section. `mysql_mode` and `client_certificates` are values of the configuration.
  struct TlsOptions {
    bool frames_enabled = true;
    std::string mysql_mode = "off";            // off or required
    std::string client_certificates = "none";  // none, optional or required
    bool has_revocation_list = false;
  };

  // A client certificate to be issued. Its name in the fixture is also its common name.
  struct ClientCertificateRequest {
    std::string name;
    std::string alternative_name;  // may be empty
    ValidityPeriod validity = {};
    bool is_from_untrusted_authority = false;
    CertificateRequest::Usage usage = CertificateRequest::Usage::kClient;
  };

  // The directory must exist.
  explicit CredentialFixture(std::string directory) : directory_(std::move(directory)) {}

  // Returns an [access] section with the roles student and officer in the tenants addis (schemas sales_1 to
  // sales_40, and school_4) and gondar (schemas sales_41 to sales_60).
  [[nodiscard]] nlohmann::json access_section() const;

  // Creates a key pair. `algorithm` is a JOSE name, such as ES256.
  void make_key(const std::string& name, const std::string& algorithm);

  // Replaces the set of trusted keys. A spec is the name of a key, or NAME:NBF:EXP with times in seconds from
  // now or '-' for none.
  void publish_keys(const std::vector<std::string>& specs) const;

  // Returns a signed token. `changes` is a merge patch for its claims, in which a text such as "+3" for exp,
  // nbf or iat is a time in seconds from now.
  [[nodiscard]] std::string mint_token(const std::string& key_name, const std::string& role,
                                       const nlohmann::json& changes = nlohmann::json::object()) const;

  // Revokes the tokens whose claim `kind`, which is jti or sub, has the value.
  void revoke_token(const std::string& kind, const std::string& value);

  // Returns a [tls] section and writes its files.
  [[nodiscard]] nlohmann::json tls_section(const TlsOptions& options);

  void issue_certificate(const ClientCertificateRequest& request);
  [[nodiscard]] const Certificate& certificate(const std::string& name) const {
    return certificates_.at(name);
  }

  // Adds the certificate to revocation lists that are published from now on.
  void revoke_certificate(const std::string& name) { authority_.revoke(certificate(name)); }
  void publish_revocation_list(const ValidityPeriod& validity = kRevocationListValidity);

  // Replaces the server's certificate and key.
  void renew_server_certificate();

  [[nodiscard]] evp_pkey_st* key(const std::string& name) const { return keys_.at(name).get(); }

  // Validity of a revocation list that is already in force.
  static constexpr ValidityPeriod kRevocationListValidity{std::chrono::seconds(-1), std::chrono::hours(1)};

 private:
  [[nodiscard]] std::string path_of(const std::string& file) const { return directory_ + "/" + file; }
  void replace_file(const std::string& file, const std::string& text) const;

  std::string directory_;
  CertificateAuthority authority_{"Test CA"};
  CertificateAuthority untrusted_authority_{"Test CA"};  // the same name with another key
  std::map<std::string, Certificate> certificates_;
  std::map<std::string, auth::Pkey> keys_;
  nlohmann::json revocations_ = nlohmann::json::object();
};

}  // namespace rookproxy::test
