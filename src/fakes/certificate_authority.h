/// A certificate authority for tests: certificates that live for seconds, and lists of revoked ones.
#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "auth/key_set.h"

struct x509_st;

namespace rookproxy::test {

/// A certificate with its private key.
struct Certificate {
  auth::Pkey key;
  std::shared_ptr<x509_st> certificate;

  [[nodiscard]] std::string pem() const;
  [[nodiscard]] std::string private_key_pem() const;
};

/// From when to when something is valid, counted from now.
struct ValidityPeriod {
  std::chrono::seconds from{-10};
  std::chrono::seconds to{3600};
};

/// What a certificate is to say.
struct CertificateRequest {
  enum class Usage { kClient, kServer };

  std::string common_name;
  std::vector<std::string> alternative_names = {};  // 'URI:...', 'DNS:...', 'email:...', 'IP:...'
  ValidityPeriod validity = {};
  Usage usage = Usage::kClient;
};

/// Issues and revokes certificates under a root of its own. Every function throws std::runtime_error if
/// OpenSSL fails. For one thread.
class CertificateAuthority {
 public:
  /// Makes the root certificate, with that common name.
  explicit CertificateAuthority(const std::string& name);

  [[nodiscard]] Certificate issue(const CertificateRequest& request);

  /// Puts the certificate on the lists that are made from now on.
  void revoke(const Certificate& certificate);

  /// The list of revoked certificates; `validity` says when it was made and when the next one is due.
  [[nodiscard]] std::string revocation_list_pem(const ValidityPeriod& validity) const;

  /// The root certificate.
  [[nodiscard]] std::string pem() const { return root_.pem(); }

 private:
  Certificate root_;
  long last_serial_ = 1;
  std::vector<std::shared_ptr<x509_st>> revoked_;
};

}  // namespace rookproxy::test
