// What the operator's file says of callers, and the files that it names.
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

// The tenant and roles that the operator's file gives to a user or a certificate.
struct IdentityMapping {
  std::string tenant;
  std::vector<std::string> roles;
};

// The settings of the file's section `access`.
struct AuthSettings {
  policy::AccessPolicy policy;
  policy::TokenRules token_rules;
  ClaimNames claim_names;
  std::string token_field = "token";  // of a request's frame
  std::string keys_file;              // empty: tokens are not accepted
  std::string revocation_file;        // empty: nothing is revoked
  // Users that log in by password, by name.
  std::map<std::string, IdentityMapping> users;
  // By a certificate's alternative name ("URI:", "DNS:" or "email:" and the name) or its subject ("CN=a,O=b",
  // RFC 2253).
  std::map<std::string, IdentityMapping> certificates;
  policy::TokenCache::Limits token_cache_limits;
  policy::CheckQueue::Limits check_queue_limits;

  // The files to be watched for changes.
  [[nodiscard]] std::vector<std::string> watched_files() const;
};

// The contents of the files that the settings name.
struct AuthFiles {
  KeySet keys;
  policy::RevocationList revocations;
};
// Reads the files. Throws KeyError, which names the file, if one can't be used.
AuthFiles load_auth_files(const AuthSettings& settings);

}  // namespace rookproxy::auth
