// What an operator's file says of callers.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "auth/jwt.h"
#include "auth/keys.h"
#include "policy/access.h"
#include "policy/check_queue.h"
#include "policy/token.h"
#include "policy/token_cache.h"

namespace rookproxy::auth {

struct IdentityMapping {
  std::string tenant;
  std::vector<std::string> roles;
};

struct AuthSettings {
  policy::AccessPolicy policy;
  policy::TokenRules token_rules;
  ClaimNames claim_names;
  std::string token_field = "token";             // of a frame
  std::string keys_file, revocation_file;        // empty: no tokens are taken; nothing is revoked
  std::map<std::string, IdentityMapping> users;  // who logs in by password
  // By a certificate's alternative name ('URI:', 'DNS:' or 'email:' and the name) or its subject ('CN=a,O=b',
  // RFC 2253).
  std::map<std::string, IdentityMapping> certificates;
  policy::TokenCache::Limits token_cache_limits;
  policy::CheckQueue::Limits check_queue_limits;
  std::vector<std::string> watched_files() const {  // which are watched
    std::vector<std::string> list;
    for (const auto& file : {keys_file, revocation_file}) {
      if (!file.empty()) list.push_back(file);
    }
    return list;
  }
};

// Its files as read; throws KeyError with the file's name.
struct AuthFiles {
  KeySet keys;
  policy::RevocationList revocations;
};
AuthFiles load_auth_files(const AuthSettings& settings);

}  // namespace rookproxy::auth
