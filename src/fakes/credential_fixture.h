/// Keys, tokens, certificates and the configuration that trusts them, made in the test.
#pragma once

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "auth/signing_key.h"
#include "fakes/certificate_authority.h"

namespace rookproxy::test {

/// Writes the files of a [access] and a [tls] section into a directory and makes the credentials that fit
/// them. For one thread.
class CredentialFixture {
 public:
  /// A [tls] section's variants. `mysql_mode` and `client_certificates` are the configuration's own words.
  struct TlsOptions {
    bool frames_enabled = true;
    std::string mysql_mode = "off";            // off or required
    std::string client_certificates = "none";  // none, optional or required
    bool has_revocation_list = false;
  };

  /// A client's certificate; the name that it is kept under is its common name, too.
  struct ClientCertificateRequest {
    std::string name;
    std::string alternative_name;  // or empty
    ValidityPeriod validity = {};
    bool is_from_untrusted_authority = false;
    CertificateRequest::Usage usage = CertificateRequest::Usage::kClient;
  };

  /// The directory has to exist.
  explicit CredentialFixture(std::string directory) : directory_(std::move(directory)) {}

  /// [access] with the roles student and officer in the tenants addis (the schemas sales_1 to sales_40, and
  /// school_4) and gondar (sales_41 to sales_60).
  [[nodiscard]] nlohmann::json access_section() const;

  /// Makes a key pair; `algorithm` is a JOSE name, such as ES256.
  void make_key(const std::string& name, const std::string& algorithm);

  /// Replaces the set of trusted keys. A spec is a key's name, or NAME:NBF:EXP in seconds from now ('-':
  /// none).
  void publish_keys(const std::vector<std::string>& specs) const;

  /// A signed token. `changes` is a merge patch for its claims; a text such as "+3" under exp, nbf or iat is
  /// in seconds from now.
  [[nodiscard]] std::string mint_token(const std::string& key_name, const std::string& role,
                                       const nlohmann::json& changes = nlohmann::json::object()) const;

  /// Adds `value` to the revocations of that kind, jti or sub.
  void revoke_token(const std::string& kind, const std::string& value);

  /// [tls], with the authority's and the server's files.
  [[nodiscard]] nlohmann::json tls_section(const TlsOptions& options);

  void issue_certificate(const ClientCertificateRequest& request);
  [[nodiscard]] const Certificate& certificate(const std::string& name) const {
    return certificates_.at(name);
  }

  /// Revokes the certificate on the lists that are published from now on.
  void revoke_certificate(const std::string& name) { authority_.revoke(certificate(name)); }
  void publish_revocation_list(const ValidityPeriod& validity = kRevocationListValidity);

  /// Replaces the server's certificate and key.
  void renew_server_certificate();

  [[nodiscard]] evp_pkey_st* key(const std::string& name) const { return keys_.at(name).get(); }

  /// A revocation list that is in force at once.
  static constexpr ValidityPeriod kRevocationListValidity{std::chrono::seconds(-1), std::chrono::hours(1)};

 private:
  [[nodiscard]] std::string path_of(const std::string& file) const { return directory_ + "/" + file; }
  void replace_file(const std::string& file, const std::string& text) const;

  std::string directory_;
  CertificateAuthority authority_{"Test CA"};
  CertificateAuthority untrusted_authority_{"Test CA"};  // of the same name, with another key
  std::map<std::string, Certificate> certificates_;
  std::map<std::string, auth::Pkey> keys_;
  nlohmann::json revocations_ = nlohmann::json::object();
};

}  // namespace rookproxy::test
