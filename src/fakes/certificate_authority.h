// A certificate authority for tests, which issues short-lived certificates and revocation lists.
#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "auth/key_set.h"

struct x509_st;

namespace rookproxy::test {

// A certificate with its private key.
struct Certificate {
  auth::Pkey key;
  std::shared_ptr<x509_st> certificate;

  [[nodiscard]] std::string pem() const;
  [[nodiscard]] std::string private_key_pem() const;
};

// A validity period, relative to the current time.
struct ValidityPeriod {
  std::chrono::seconds from{-10};
  std::chrono::seconds to{3600};
};

// The contents of a certificate to be issued.
struct CertificateRequest {
  enum class Usage { kClient, kServer };

  std::string common_name;
  std::vector<std::string> alternative_names = {};  // 'URI:...', 'DNS:...', 'email:...', 'IP:...'
  ValidityPeriod validity = {};
  Usage usage = Usage::kClient;
};

// Issues and revokes certificates with its own root certificate. Every function throws std::runtime_error if
// OpenSSL fails. Not thread-safe.
class CertificateAuthority {
 public:
  // Creates the root certificate with the common name.
  explicit CertificateAuthority(const std::string& name);

  [[nodiscard]] Certificate issue(const CertificateRequest& request);

  // Adds the certificate to revocation lists that are created from now on.
  void revoke(const Certificate& certificate);

  // Returns a revocation list in PEM. `validity` determines its last and next update.
  [[nodiscard]] std::string revocation_list_pem(const ValidityPeriod& validity) const;

  // Returns the root certificate in PEM.
  [[nodiscard]] std::string pem() const { return root_.pem(); }

 private:
  Certificate root_;
  long last_serial_ = 1;
  std::vector<std::shared_ptr<x509_st>> revoked_;
};

}  // namespace rookproxy::test
