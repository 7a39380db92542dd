// A certificate authority for tests: certificates that live for seconds, and lists of those that were
// revoked.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "auth/public_key.h"

struct x509_st;

namespace rookproxy::test {

struct Certificate {
  auth::Pkey key;
  std::shared_ptr<x509_st> certificate;
  std::string pem() const;
  std::string private_key_pem() const;
};

class CertificateAuthority {
 public:
  explicit CertificateAuthority(const std::string& name);
  struct CertificateRequest {
    std::string common_name;
    std::vector<std::string> alternative_names;             // 'URI:...', 'DNS:...', 'email:...', 'IP:...'
    int valid_from_seconds = -10, valid_to_seconds = 3600;  // seconds from now
    bool is_for_client_authentication = true;               // else for servers
  };
  Certificate issue(const CertificateRequest& wanted);
  void revoke(const Certificate& one);
  // `from`, `to`: the list's own times, in seconds from now.
  std::string revocation_list_pem(int from = -1, int to = 3600) const;
  std::string pem() const { return root_.pem(); }

 private:
  Certificate root_;
  long last_serial_ = 1;
  std::vector<std::shared_ptr<x509_st>> revoked_;
};

}  // namespace rookproxy::test
