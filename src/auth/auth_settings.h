// The settings for callers in the operator's file, and the files that they name.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "auth/jwt.h"
#include "auth/key_set.h"
#include "policy/authorization.h"
#include "policy/check_queue.h"
#include "policy/token_cache.h"
#include "policy/token_validation.h"

namespace rookproxy::auth {

// The tenant and roles that the operator's file assigns to a user or a certificate.
struct IdentityMapping {
  std::string tenant;
  std::vector<std::string> roles;
};

// The settings in the section `access` of the file.
struct AuthSettings {
  policy::AccessPolicy policy;
  policy::TokenRules token_rules;
  ClaimNames claim_names;
  // The field of a request's frame that holds the token.
  std::string token_field = "token";
  // Empty if tokens are not accepted.
  std::string keys_file;
  // Empty if nothing is revoked.
  std::string revocation_file;
  // Users that log in with a password, by name.
  std::map<std::string, IdentityMapping> users;
  // Certificates, by alternative name ("URI:", "DNS:" or "email:" and the name) or subject ("CN=a,O=b", RFC
  // 2253).
  std::map<std::string, IdentityMapping> certificates;
  policy::TokenCache::Limits token_cache_limits;
  policy::CheckQueue::Limits check_queue_limits;

  // The files to watch for changes.
  [[nodiscard]] std::vector<std::string> watched_files() const;
};

// The contents of the files that the settings name.
struct AuthFiles {
  KeySet keys;
  policy::RevocationList revocations;
};
// Reads the files. Throws KeyError, which names the file, if one is invalid.
AuthFiles load_auth_files(const AuthSettings& settings);

}  // namespace rookproxy::auth
